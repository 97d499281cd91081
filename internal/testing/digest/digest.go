// Package digest pins the behaviour of a state machine: a test drives the machine with inputs drawn from fixed seeds, adds
// every effect to a digest, and compares the digest with a constant.
//
// The encoding holds no Go identifiers, so that renaming a type, a field or a constant changes no digest. It does hold the
// order of a struct's fields and the numbers of enumeration constants: reordering or adding fields, or renumbering
// constants, changes the digests of whatever machine has them among its effects. Moving consecutive fields into a nested
// struct does not.
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

// maxDepth bounds how deep values are nested, so that a cyclic value panics with a message.
const maxDepth = 100

// shownBytes is how many bytes of a hash stand in a test file.
const shownBytes = 8

// Digest accumulates values. A nil Digest ignores them, so that a simulation can record always.
type Digest struct {
	hash hash.Hash
}

// New returns an empty digest.
func New() *Digest {
	return &Digest{hash: sha256.New()}
}

// Add appends values, in order.
func (d *Digest) Add(values ...any) {
	if d == nil {
		return
	}
	for _, value := range values {
		d.hash.Write(encode(nil, reflect.ValueOf(value), 0))
	}
}

// String returns the beginning of the hash, in hexadecimal.
func (d *Digest) String() string {
	return hex.EncodeToString(d.hash.Sum(nil)[:shownBytes])
}

// Pin plays len(want) blocks of perBlock seeds each, the seeds counting up from 0, and compares each block's digest with the
// wanted one. A block that differs tells which seeds to look at.
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

// encode appends the canonical bytes of a value: a letter for its kind, then its content. Structs have neither letter nor
// names: their fields follow one another. Nil and empty slices and maps are alike. Errors are their text. Functions and
// channels count only by whether they are nil.
func encode(b []byte, v reflect.Value, depth int) []byte {
	if depth > maxDepth {
		panic("digest: the value is nested too deep, or cyclic")
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
	panic(fmt.Sprintf("digest: a %s can't be recorded", v.Kind()))
}

// encodeList appends a slice or an array.
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

// encodeMap appends a map's entries in the order of their encoded bytes.
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

// appendText appends a text with its length before it.
func appendText(b []byte, text string) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(text)))
	return append(b, text...)
}

// isNil reports whether a value that may be nil is.
func isNil(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface, reflect.Map, reflect.Slice, reflect.Func, reflect.Chan:
		return v.IsNil()
	}
	return false
}
