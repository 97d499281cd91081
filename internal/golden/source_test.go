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

// In the sources a struct that has one json tag has one on each exported field, also a struct that no other package can name;
// and a struct type without a name, which functions read answers into, has tags wherever JSON is read in its file.
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
			var kind *ast.StructType
			switch n := node.(type) {
			case *ast.TypeSpec:
				kind, _ = n.Type.(*ast.StructType)
			case *ast.ValueSpec:
				kind, _ = n.Type.(*ast.StructType)
				local = decodes
			}
			if kind == nil {
				return true
			}
			structs++
			checkTags(t, files, kind, local || anyTagged(kind))
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if structs < 300 {
		t.Errorf("%d structs were found: the walk misses sources", structs)
	}
}

func jsonTag(field *ast.Field) bool {
	if field.Tag == nil {
		return false
	}
	_, ok := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Lookup("json")
	return ok
}

func anyTagged(kind *ast.StructType) bool {
	for _, field := range kind.Fields.List {
		if jsonTag(field) {
			return true
		}
	}
	return false
}

// innerStruct is the struct that a field of an unnamed type holds, through lists and pointers.
func innerStruct(kind ast.Expr) *ast.StructType {
	switch k := kind.(type) {
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

func checkTags(t *testing.T, files *token.FileSet, kind *ast.StructType, wanted bool) {
	for _, field := range kind.Fields.List {
		for _, name := range field.Names {
			if wanted && name.IsExported() && !jsonTag(field) {
				t.Errorf("%v: %s has no json tag", files.Position(name.Pos()), name.Name)
			}
		}
		if inner := innerStruct(field.Type); inner != nil && wanted {
			checkTags(t, files, inner, true)
		}
	}
}
