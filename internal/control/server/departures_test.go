package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func ackedUpTo(acked uint64) func(uint64) bool {
	return func(number uint64) bool { return number <= acked }
}

// A departure is pending until a majority has acknowledged its own update. Afterwards it still counts as published, so that it isn't
// published again.
func TestDepartureResolves(t *testing.T) {
	c := qt.New(t)
	d := newDepartures()
	c.Check(d.resolve("h1", ackedUpTo(0)), qt.IsTrue, qt.Commentf("a host that doesn't leave has no pending departure"))
	c.Check(d.isPublished("h1"), qt.IsFalse)
	d.begin("h1", 7)
	c.Check(d.isPending("h1"), qt.IsTrue)
	c.Check(d.resolve("h1", ackedUpTo(6)), qt.IsFalse)
	c.Check(d.isPending("h1"), qt.IsTrue)
	c.Check(d.resolve("h1", ackedUpTo(7)), qt.IsTrue)
	c.Check(d.isPending("h1"), qt.IsFalse)
	c.Check(d.isPublished("h1"), qt.IsTrue)
	d.begin("h1", 9)
	c.Check(d.resolve("h1", ackedUpTo(8)), qt.IsFalse, qt.Commentf("published again: pending until the new update is acknowledged"))
}

// An acknowledgement wakes waiting goroutines only while a departure is pending.
func TestDepartureAcknowledged(t *testing.T) {
	c := qt.New(t)
	d := newDepartures()
	first := d.changed
	d.notifyWaiters()
	c.Check(d.changed, qt.Equals, first)
	d.begin("h1", 1)
	d.notifyWaiters()
	c.Check(d.changed, qt.Not(qt.Equals), first)
	_, open := <-first
	c.Check(open, qt.IsFalse)
}

// Expired hosts are dropped whether or not their departure was complete; others stay.
func TestDepartureForget(t *testing.T) {
	c := qt.New(t)
	d := newDepartures()
	for _, id := range []string{"gone-pending", "gone-complete", "pending", "complete"} {
		d.begin(id, 1)
	}
	d.resolve("gone-complete", ackedUpTo(1))
	d.resolve("complete", ackedUpTo(1))
	d.forget(func(id string) bool { return id == "gone-pending" || id == "gone-complete" })
	c.Check(d.pending, qt.DeepEquals, map[string]uint64{"pending": 1})
	c.Check(d.completed, qt.DeepEquals, map[string]bool{"complete": true})
}
