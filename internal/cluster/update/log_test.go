package update

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A subscriber must receive each change once and in order. One that has missed more changes than the log keeps needs a snapshot.
func TestLogAndSubscription(t *testing.T) {
	c := qt.New(t)
	l := NewLog(10)
	add := func(n int) {
		for range n {
			l.Add(Change{Proxy: &Proxy{}})
		}
	}
	var subscription Subscription
	add(3)
	c.Check(subscription.Advance("life", 0, l.Last(), false), qt.IsFalse) // unknown incarnation
	c.Check(subscription.Advance("life", 0, l.Last(), true), qt.IsTrue)
	for _, n := range []int{1, 0, 7, 10} {
		add(n)
		changes, ok := l.After(subscription.Offset)
		c.Check(ok, qt.IsTrue)
		c.Check(changes, qt.HasLen, n)
		c.Check(subscription.Advance("life", subscription.Offset, l.Last(), false), qt.IsTrue)
	}
	c.Check(subscription.Advance("life", 4, l.Last(), false), qt.IsFalse) // not at the position
	add(16)
	_, ok := l.After(subscription.Offset)
	c.Check(ok, qt.IsFalse)
	_, ok = l.After(l.Last() + 1) // number of another incarnation
	c.Check(ok, qt.IsFalse)
	c.Check(subscription.Advance("next", 0, 2, true), qt.IsTrue)
	c.Check(subscription, qt.Equals, Subscription{"next", 2})
}
