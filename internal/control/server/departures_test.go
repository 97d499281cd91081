package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func ackedUpTo(acked uint64) func(uint64) bool {
	return func(number uint64) bool { return number <= acked }
}

// A departure is pending until a majority has acknowledged its own update, and stays known afterwards, so that it isn't published
// again.
func TestDepartureResolves(t *testing.T) {
	c := qt.New(t)
	d := newDepartures()
	c.Check(d.resolve("h1", ackedUpTo(0)), qt.IsTrue, qt.Commentf("of a host that doesn't leave there is nothing to wait for"))
	c.Check(d.isPublished("h1"), qt.IsFalse)
	d.begin("h1", 7)
	c.Check(d.isPending("h1"), qt.IsTrue)
	c.Check(d.resolve("h1", ackedUpTo(6)), qt.IsFalse)
	c.Check(d.isPending("h1"), qt.IsTrue)
	c.Check(d.resolve("h1", ackedUpTo(7)), qt.IsTrue)
	c.Check(d.isPending("h1"), qt.IsFalse)
	c.Check(d.isPublished("h1"), qt.IsTrue)
	d.begin("h1", 9)
	c.Check(d.resolve("h1", ackedUpTo(8)), qt.IsFalse, qt.Commentf("published again, it waits for the new update"))
}

// Acknowledgements wake those who wait, and only while somebody can be waiting.
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

// Hosts that are not known any more are forgotten, whether their departure was complete or not; others stay.
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
