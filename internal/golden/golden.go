// Package golden has what tests need that compare bytes with golden files: files in the testdata folder of the package under
// test that say what is stored and what is sent. Processes of different releases exchange these bytes, and a release reads the
// disks of earlier ones, so the files must not change when code is renamed or split.
//
// A change of a golden file is a change of a format. To write the files anew, after the format was changed on purpose:
//
//	PORTFLOW_REWRITE_GOLDEN_FILES=yes go test ./...
//
// Each test whose file differed then writes it and fails, so that no run passes by rewriting; the next run without the
// variable compares. The disk image is written only where its folder was removed. The commit says why the format changed and
// how earlier releases read it.
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

// rewriteVariable is the environment variable that has golden files written anew.
const rewriteVariable = "PORTFLOW_REWRITE_GOLDEN_FILES"

// Equal compares bytes with the golden file of that name, byte for byte, and returns the file's bytes.
func Equal(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(path)
	if err == nil && bytes.Equal(want, got) {
		return want
	}
	if os.Getenv(rewriteVariable) != "yes" {
		t.Fatalf("%s: the bytes are others (%v)\n got %q\nwant %q", path, err, got, want)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, got, 0o644); err != nil {
		t.Fatal(err)
	}
	t.Errorf("%s: written anew; run the test again without %s", path, rewriteVariable)
	return got
}

// Read reads the golden file of that name.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// jsonName is the name of a field in JSON; tagged is false where the Go name would be taken, ok is false where it isn't encoded.
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

// Untagged lists the exported fields, in a type and in all types that it holds, whose names in JSON would follow from their Go
// names. Embedded structs without a tag have no name of their own in JSON.
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

// marshalsItself tells whether a type's JSON is made by a method of it.
func marshalsItself(t reflect.Type) bool {
	for _, name := range []string{"MarshalJSON", "MarshalText"} {
		if _, ok := reflect.PointerTo(t).MethodByName(name); ok {
			return true
		}
	}
	return false
}

// Fill gives every encoded field of what v points to a value of its own. Each follows from the field's path of JSON names
// alone, so that it stays the same when Go names change, or fields are added beside it. Texts hold what JSON escapes; numbers
// need all their bits.
func Fill(v any) { fill(reflect.ValueOf(v).Elem(), "$") }

const elements = 2 // of each slice and map

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
		v.SetInt(int64(number >> (65 - t.Bits()))) // positive, whatever its size
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
		if t.Elem().Kind() == reflect.Uint8 { // bytes, or JSON as it is: a JSON text is both
			v.SetBytes(fmt.Appendf(nil, "%q", path))
			return
		}
		v.Set(reflect.MakeSlice(t, elements, elements))
		for i := range elements {
			fill(v.Index(i), fmt.Sprintf("%s.%d", path, i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(t))
		for i := range elements {
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
			case !tagged && t.Field(i).Anonymous && isStruct(t.Field(i).Type): // its fields are those of this struct
				fill(v.Field(i), path)
			default:
				fill(v.Field(i), path+"."+name)
			}
		}
	}
}
