// Package digest pins the behaviour of a state machine: a test feeds the machine inputs generated from fixed seeds, adds every
// effect to a digest, and compares the digest with a constant.
//
// The encoding contains no Go identifiers, so renaming a type, a field or a constant changes no digest. It does depend on the
// order of struct fields and on the values of enumeration constants: reordering or adding fields, or renumbering constants,
// changes the digests of every machine whose effects contain them. Moving consecutive fields into a nested struct does not.
package digest

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// maxDepth limits the nesting of values, so that a cyclic value panics with a clear message.
const maxDepth = 100

// shownBytes is the number of leading bytes of the hash that String returns.
const shownBytes = 8

// Digest accumulates a hash of values. A nil Digest ignores Add, so that a simulation can record unconditionally.
type Digest struct {
	hash hash.Hash
}

// New returns an empty digest.
func New() *Digest {
	return &Digest{hash: sha256.New()}
}

// Add appends values to the digest; their order matters. It panics on cyclic values and on kinds that have no encoding.
func (d *Digest) Add(values ...any) {
	if d == nil {
		return
	}
	for _, value := range values {
		d.hash.Write(encode(nil, reflect.ValueOf(value), 0))
	}
}

// String returns the first shownBytes bytes of the hash in hexadecimal.
func (d *Digest) String() string {
	return hex.EncodeToString(d.hash.Sum(nil)[:shownBytes])
}

// Pin calls play for len(want) blocks of perBlock seeds each, with seeds counting up from 0, and compares the digest of each
// block with want. The failure of a block names its range of seeds.
func Pin(t testing.TB, perBlock int, want []string, play func(seed uint64, d *Digest)) {
	t.Helper()
	got := make([]string, len(want))
	for block := range want {
		d := New()
		for n := range perBlock {
			play(uint64(block*perBlock+n), d)
		}
		got[block] = d.String()
		if got[block] != want[block] {
			t.Errorf("seeds %d to %d: digest %s, want %s", block*perBlock, (block+1)*perBlock-1, got[block], want[block])
		}
	}
	if t.Failed() {
		t.Logf("all digests: %s", strings.Join(got, " "))
	}
}

// encode appends the canonical encoding of a value: a letter for its kind, then its content. Structs are encoded as their
// fields, without a letter or names. Nil slices and maps are encoded as empty ones, errors as their text, and functions and
// channels only as nil or non-nil.
func encode(b []byte, v reflect.Value, depth int) []byte {
	if depth > maxDepth {
		panic("digest: value is cyclic or nested too deeply")
	}
	if !v.IsValid() {
		return append(b, '0')
	}
	if v.Type().NumMethod() > 0 && v.CanInterface() && !isNil(v) {
		if err, ok := v.Interface().(error); ok {
			return appendText(append(b, 'e'), err.Error())
		}
	}
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return append(b, 'b', 1)
		}
		return append(b, 'b', 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.BigEndian.AppendUint64(append(b, 'i'), uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uintptr:
		return binary.BigEndian.AppendUint64(append(b, 'u'), v.Uint())
	case reflect.Float32, reflect.Float64:
		return binary.BigEndian.AppendUint64(append(b, 'f'), math.Float64bits(v.Float()))
	case reflect.String:
		return appendText(append(b, 's'), v.String())
	case reflect.Slice, reflect.Array:
		return encodeList(b, v, depth)
	case reflect.Map:
		return encodeMap(b, v, depth)
	case reflect.Struct:
		for n := range v.NumField() {
			b = encode(b, v.Field(n), depth+1)
		}
		return b
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return append(b, '0')
		}
		return encode(append(b, '1'), v.Elem(), depth+1)
	case reflect.Func, reflect.Chan:
		if v.IsNil() {
			return append(b, '0')
		}
		return append(b, '1')
	}
	panic(fmt.Sprintf("digest: unsupported kind %s", v.Kind()))
}

// encodeList appends a slice or an array: its length, then its elements. Byte slices are encoded as strings.
func encodeList(b []byte, v reflect.Value, depth int) []byte {
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
		return appendText(append(b, 's'), string(v.Bytes()))
	}
	b = binary.BigEndian.AppendUint64(append(b, 'l'), uint64(v.Len()))
	for n := range v.Len() {
		b = encode(b, v.Index(n), depth+1)
	}
	return b
}

// encodeMap appends the number of entries, then the entries sorted by their encoded bytes.
func encodeMap(b []byte, v reflect.Value, depth int) []byte {
	entries := make([][]byte, 0, v.Len())
	for _, key := range v.MapKeys() {
		entry := encode(nil, key, depth+1)
		entries = append(entries, encode(entry, v.MapIndex(key), depth+1))
	}
	slices.SortFunc(entries, bytes.Compare)
	b = binary.BigEndian.AppendUint64(append(b, 'm'), uint64(len(entries)))
	return append(b, bytes.Join(entries, nil)...)
}

// appendText appends a string with an 8-byte length prefix.
func appendText(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(text)))
	return append(b, text...)
}

// isNil reports whether v is nil; unlike reflect.Value.IsNil, it returns false for kinds that can't be nil.
func isNil(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface, reflect.Map, reflect.Slice, reflect.Func, reflect.Chan:
		return v.IsNil()
	}
	return false
}
