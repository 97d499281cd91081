// Package golden compares encoded bytes with golden files, which live in the testdata folder of the package under test and
// pin the storage and wire formats. Processes of different releases exchange these bytes, and a release reads data stored by
// earlier ones, so renaming or splitting code must not change the files.
//
// A changed golden file means a changed format. To regenerate the files after an intentional format change:
//
//	PORTFLOW_REWRITE_GOLDEN_FILES=yes go test ./...
//
// Each test whose file differs then rewrites it and fails, so that a rewriting run never passes; run the tests again without
// the variable to compare. The disk image is only regenerated if its folder has been removed. The commit message must say why
// the format changed and how earlier releases read it.
package golden

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// rewriteVariable is the environment variable that enables rewriting of golden files; its value must be "yes".
const rewriteVariable = "PORTFLOW_REWRITE_GOLDEN_FILES"

// Equal compares got with the golden file testdata/golden/name byte for byte and returns the content of the file. It ends the
// test if they differ, or rewrites the file if rewriting is enabled.
func Equal(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(path)
	if err == nil && bytes.Equal(want, got) {
		return want
	}
	if os.Getenv(rewriteVariable) != "yes" {
		t.Fatalf("%s: bytes differ from the golden file (%v)\n got %q\nwant %q", path, err, got, want)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, got, 0o644); err != nil {
		t.Fatal(err)
	}
	t.Errorf("%s: golden file rewritten; run the test again without %s", path, rewriteVariable)
	return got
}

// Read returns the content of the golden file testdata/golden/name, without comparing it with anything.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// jsonName returns the JSON name of a struct field. tagged is false if the name falls back to the Go name, and ok is false if
// the field isn't encoded.
func jsonName(f reflect.StructField) (name string, tagged, ok bool) {
	tag, tagged := f.Tag.Lookup("json")
	name, _, _ = strings.Cut(tag, ",")
	if tag == "-" || !f.IsExported() && !f.Anonymous {
		return "", tagged, false
	}
	if tagged = tagged && name != ""; !tagged {
		name = f.Name
	}
	return name, tagged, true
}

// Untagged lists the exported fields of a type, and of all types reachable from it, whose JSON names are derived from their Go
// names. Embedded structs without a tag are not listed, as they are flattened and have no JSON name of their own.
func Untagged(root reflect.Type) (fields []string) {
	seen := map[reflect.Type]bool{}
	var walk func(reflect.Type)
	walk = func(t reflect.Type) {
		if seen[t] {
			return
		}
		seen[t] = true
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			walk(t.Elem())
		case reflect.Map:
			walk(t.Key())
			walk(t.Elem())
		case reflect.Struct:
			if marshalsItself(t) {
				return
			}
			for i := range t.NumField() {
				f := t.Field(i)
				_, tagged, ok := jsonName(f)
				if !ok {
					continue
				}
				if !tagged && !(f.Anonymous && isStruct(f.Type)) {
					fields = append(fields, fmt.Sprintf("%v.%s", t, f.Name))
				}
				walk(f.Type)
			}
		}
	}
	walk(root)
	return fields
}

func isStruct(t reflect.Type) bool {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.Kind() == reflect.Struct
}

// marshalsItself reports whether the type, or a pointer to it, has its own JSON or text marshaler.
func marshalsItself(t reflect.Type) bool {
	for _, name := range []string{"MarshalJSON", "MarshalText"} {
		if _, ok := reflect.PointerTo(t).MethodByName(name); ok {
			return true
		}
	}
	return false
}

// Fill sets every encoded field of the value that v points to. Each field's value depends only on its path of JSON names, so
// it stays the same when Go names change or sibling fields are added. Strings contain characters that JSON escapes; integers
// use the full width of their type.
func Fill(v any) { fill(reflect.ValueOf(v).Elem(), "$") }

// elementCount is the number of elements in each slice and entries in each map that Fill creates.
const elementCount = 2

func fill(v reflect.Value, path string) {
	hash := fnv.New64a()
	hash.Write([]byte(path))
	number := hash.Sum64() | 1<<62
	if v.Type() == reflect.TypeFor[netip.AddrPort]() {
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(number)}), uint16(number>>8))))
		return
	}
	switch t := v.Type(); t.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(path + ` <&>"é`)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(number >> (65 - t.Bits()))) // positive for every size
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(number >> (64 - t.Bits()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number%1e9) / 1024)
	case reflect.Pointer:
		v.Set(reflect.New(t.Elem()))
		fill(v.Elem(), path)
	case reflect.Array:
		for i := range t.Len() {
			fill(v.Index(i), fmt.Sprintf("%s.%d", path, i))
		}
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 { // []byte or json.RawMessage: a quoted string is valid for both
			v.SetBytes(fmt.Appendf(nil, "%q", path))
			return
		}
		v.Set(reflect.MakeSlice(t, elementCount, elementCount))
		for i := range elementCount {
			fill(v.Index(i), fmt.Sprintf("%s.%d", path, i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(t))
		for i := range elementCount {
			key, value := reflect.New(t.Key()).Elem(), reflect.New(t.Elem()).Elem()
			fill(key, fmt.Sprintf("%s.key%d", path, i))
			fill(value, fmt.Sprintf("%s.%d", path, i))
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for i := range t.NumField() {
			name, tagged, ok := jsonName(t.Field(i))
			switch {
			case !ok || !v.Field(i).CanSet():
			case !tagged && t.Field(i).Anonymous && isStruct(t.Field(i).Type): // flattened into this struct
				fill(v.Field(i), path)
			default:
				fill(v.Field(i), path+"."+name)
			}
		}
	}
}
