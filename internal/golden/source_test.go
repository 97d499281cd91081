package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Guards against untagged fields in encoded structs, unexported ones included. If one field of a struct type has a JSON tag,
// each exported field needs one; so does each field of an anonymous struct variable in a file that imports encoding/json.
func TestSourcesHaveTags(t *testing.T) {
	files := token.NewFileSet()
	structs := 0
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		decodes := false
		for _, imported := range file.Imports {
			decodes = decodes || imported.Path.Value == `"encoding/json"`
		}
		ast.Inspect(file, func(node ast.Node) bool {
			local := false
			var structType *ast.StructType
			switch n := node.(type) {
			case *ast.TypeSpec:
				structType, _ = n.Type.(*ast.StructType)
			case *ast.ValueSpec:
				structType, _ = n.Type.(*ast.StructType)
				local = decodes
			}
			if structType == nil {
				return true
			}
			structs++
			checkTags(t, files, structType, local || anyTagged(structType))
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if structs < 300 {
		t.Errorf("only %d structs found: the walk misses source files", structs)
	}
}

func jsonTag(field *ast.Field) bool {
	if field.Tag == nil {
		return false
	}
	_, ok := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Lookup("json")
	return ok
}

func anyTagged(structType *ast.StructType) bool {
	for _, field := range structType.Fields.List {
		if jsonTag(field) {
			return true
		}
	}
	return false
}

// innerStruct returns the anonymous struct type that a field's type contains, directly or as the element of slices, arrays,
// maps or pointers, or nil if there is none.
func innerStruct(expr ast.Expr) *ast.StructType {
	switch k := expr.(type) {
	case *ast.StructType:
		return k
	case *ast.ArrayType:
		return innerStruct(k.Elt)
	case *ast.StarExpr:
		return innerStruct(k.X)
	case *ast.MapType:
		return innerStruct(k.Value)
	}
	return nil
}

func checkTags(t *testing.T, files *token.FileSet, structType *ast.StructType, required bool) {
	for _, field := range structType.Fields.List {
		for _, name := range field.Names {
			if required && name.IsExported() && !jsonTag(field) {
				t.Errorf("%v: %s has no json tag", files.Position(name.Pos()), name.Name)
			}
		}
		if inner := innerStruct(field.Type); inner != nil && required {
			checkTags(t, files, inner, true)
		}
	}
}
