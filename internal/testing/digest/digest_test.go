package digest

import (
	"errors"
	"fmt"
	"testing"
)

func digestOf(values ...any) string {
	d := New()
	d.Add(values...)
	return d.String()
}

type colour uint8

type first struct {
	Name  string
	Sizes []int
	kind  colour
	byKey map[string]*int
}

type nested struct {
	Sizes []int
	kind  colour
}

type renamed struct {
	Title string
	nested
	table map[string]*int
}

func TestDigestIgnoresNames(t *testing.T) {
	one, two := 1, 1
	a := first{"x", []int{1, 2}, 3, map[string]*int{"k": &one, "l": nil}}
	b := renamed{"x", nested{[]int{1, 2}, 3}, map[string]*int{"l": nil, "k": &two}}
	if digestOf(a) != digestOf(b) {
		t.Errorf("digests %s and %s of values that only differ in names", digestOf(a), digestOf(b))
	}
}

func TestDigestDependsOnValues(t *testing.T) {
	one := 1
	seen := map[string]int{}
	for n, value := range []any{
		nil, 0, 1, uint(1), 1.0, "1", "", true, false, []int{1}, []int{1, 1}, []int{}, map[int]int{1: 2}, map[int]int{2: 1},
		map[int]int{}, &one, errors.New("1"), [2]string{"a", "b"}, [2]string{"ab", ""}, []byte("ab"),
		first{Name: "x"}, first{kind: 1}, first{Sizes: []int{0}}, struct{ F func() }{func() {}},
	} {
		if before, there := seen[digestOf(value)]; there {
			t.Errorf("values %d and %d have the same digest", before, n)
		}
		seen[digestOf(value)] = n
	}
	if digestOf("a", "b") == digestOf("b", "a") {
		t.Error("digest does not depend on the order of values")
	}
}

func TestDigestIgnoresMapOrder(t *testing.T) {
	want := ""
	for range 50 {
		m := map[string]map[int]bool{}
		for n := range 40 {
			m[fmt.Sprint(n)] = map[int]bool{n: true, n + 1: false}
		}
		if got := digestOf(m); want != "" && got != want {
			t.Fatalf("digest %s, want %s as before", got, want)
		} else {
			want = got
		}
	}
}

func TestEncodingIsStable(t *testing.T) {
	if got := digestOf(first{"x", []int{-1}, 2, nil}, 0.5, errors.New("e"), []byte{1}); got != "fd4963221454a113" {
		t.Error(got)
	}
}

func TestNilDigestIgnores(t *testing.T) {
	var d *Digest
	d.Add(1)
}

func TestCyclicValuePanics(t *testing.T) {
	type ring struct{ next *ring }
	r := &ring{}
	r.next = r
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	New().Add(r)
}

func TestPinComparesBlocks(t *testing.T) {
	play := func(seed uint64, d *Digest) { d.Add(seed) }
	Pin(t, 2, []string{digestOf(uint64(0), uint64(1)), digestOf(uint64(2), uint64(3))}, play)
	probe := &recorder{TB: t}
	Pin(probe, 2, []string{digestOf(uint64(0), uint64(1)), "other"}, play)
	if probe.errors != 1 {
		t.Errorf("%d errors, want 1 for one differing block", probe.errors)
	}
}

// recorder counts the errors of a test that is expected to fail.
type recorder struct {
	testing.TB
	errors int
}

func (r *recorder) Helper()                   {}
func (r *recorder) Errorf(_ string, _ ...any) { r.errors++ }
func (r *recorder) Failed() bool              { return r.errors > 0 }
func (r *recorder) Logf(_ string, _ ...any)   {}
