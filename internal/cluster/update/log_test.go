package update

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A subscriber gets every number once and in order; one that has missed more changes than are kept needs a snapshot.
func TestLogAndSubscription(t *testing.T) {
	c := qt.New(t)
	l := NewLog(10)
	add := func(n int) {
		for range n {
			l.Add(Change{Proxy: &Proxy{}})
		}
	}
	var f Subscription
	add(3)
	c.Check(f.Advance("life", 0, l.Last(), false), qt.IsFalse) // of a life that it doesn't know
	c.Check(f.Advance("life", 0, l.Last(), true), qt.IsTrue)
	for _, n := range []int{1, 0, 7, 10} {
		add(n)
		changes, ok := l.After(f.Offset)
		c.Check(ok, qt.IsTrue)
		c.Check(changes, qt.HasLen, n)
		c.Check(f.Advance("life", f.Offset, l.Last(), false), qt.IsTrue)
	}
	c.Check(f.Advance("life", 4, l.Last(), false), qt.IsFalse) // a gap, or what was had
	add(16)
	_, ok := l.After(f.Offset)
	c.Check(ok, qt.IsFalse)
	_, ok = l.After(l.Last() + 1) // numbers of another life
	c.Check(ok, qt.IsFalse)
	c.Check(f.Advance("next", 0, 2, true), qt.IsTrue)
	c.Check(f, qt.Equals, Subscription{"next", 2})
}
