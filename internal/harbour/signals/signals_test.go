package signals

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Who follows gets every number once and in order; who is behind by more than is kept takes a snapshot.
func TestLedgerAndFollower(t *testing.T) {
	c := qt.New(t)
	l := NewLedger(10)
	add := func(n int) {
		for range n {
			l.Add(Note{Front: &Front{}})
		}
	}
	var f Follower
	add(3)
	c.Check(f.Take("life", 0, l.Last(), false), qt.IsFalse) // of a life that it doesn't know
	c.Check(f.Take("life", 0, l.Last(), true), qt.IsTrue)
	for _, n := range []int{1, 0, 7, 10} {
		add(n)
		notes, ok := l.After(f.Have)
		c.Check(ok, qt.IsTrue)
		c.Check(notes, qt.HasLen, n)
		c.Check(f.Take("life", f.Have, l.Last(), false), qt.IsTrue)
	}
	c.Check(f.Take("life", 4, l.Last(), false), qt.IsFalse) // a gap, or what was had
	add(16)
	_, ok := l.After(f.Have)
	c.Check(ok, qt.IsFalse)
	_, ok = l.After(l.Last() + 1) // numbers of another life
	c.Check(ok, qt.IsFalse)
	c.Check(f.Take("next", 0, 2, true), qt.IsTrue)
	c.Check(f, qt.Equals, Follower{"next", 2})
}

func TestFrontsOrder(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		a, b Front
		want bool
	}{
		{Front{Since: 2}, Front{Since: 1, Change: 9}, true},
		{Front{Since: 1, Change: 2}, Front{Since: 1, Change: 1, Gone: true}, true},
		{Front{Since: 1, Gone: true}, Front{Since: 1}, true},
		{Front{Since: 1}, Front{Since: 1, Gone: true}, false},
		{Front{Since: 1}, Front{Since: 1}, false},
	} {
		c.Check(x.a.Newer(x.b), qt.Equals, x.want)
	}
	ready := Roster(map[string]Front{"c": {Name: "c", Ready: true}, "a": {Name: "a", Ready: true}, "b": {Name: "b"},
		"d": {Name: "d", Ready: true, Gone: true}})
	c.Check(fmt.Sprint(ready[0].Name, ready[1].Name, len(ready)), qt.Equals, "ac2")
}
