package update

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The changes since a snapshot are sent compacted, and are few beside it: a route that changes hundreds of times is one change; once a
// fourth of the snapshot's size has changed, the next subscriber is sent a new snapshot.
func TestLittleFollowsASnapshot(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 1000)
	cut := h.snapshot(Progress{})
	for range 500 {
		h.set("route-00001", h.number+1, 400)
	}
	c.Check(h.snapshot(Progress{}) == cut, qt.IsTrue)
	c.Check(h.snapshot(Progress{cut.Name, cut.chunkEnds[0]}) == cut, qt.IsTrue)
	n := 2
	for h.snapshot(Progress{}) == cut {
		h.set(fmt.Sprintf("route-%05d", n), h.number+1, 100)
		n++
	}
	least, most := cut.JSONBytes/4/400, cut.JSONBytes/4/300
	c.Check(n >= least && n <= most, qt.IsTrue, qt.Commentf("after %d of %d to %d", n, least, most))
	c.Check(h.created, qt.Equals, 2)
	small := newFakeControl("b", 3)
	first := small.snapshot(Progress{})
	for range 100 {
		small.set("route-00001", small.number+1, 100)
	}
	c.Check(small.snapshot(Progress{}) == first, qt.IsTrue)
}

// A snapshot is reused while few changes have come since; two are kept, and none that nobody has asked for in half a minute.
func TestSnapshotCache(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 1000)
	one := h.snapshot(Progress{})
	for range MaxFreshChanges {
		h.set("route-00001", h.number+1, 10)
	}
	c.Check(h.snapshot(Progress{}) == one, qt.IsTrue)
	h.set("route-00001", h.number+1, 10)
	two := h.snapshot(Progress{})
	c.Check(two != one, qt.IsTrue)
	half := Progress{one.Name, one.chunkEnds[0]}
	c.Check(h.snapshot(half) == one, qt.IsTrue) // who has a part of it goes on
	h.set("route-00001", h.number+1, MaxFreshBytes)
	three := h.snapshot(Progress{})
	c.Check(three != two, qt.IsTrue)
	c.Check(h.snapshot(half) == three, qt.IsTrue) // two are kept
	c.Check(h.cache.CachedBytes(), qt.Equals, two.Bytes+three.Bytes)
	h.incarnation += "+" // the set was taken over: what goes on from here isn't what was
	c.Check(h.snapshot(Progress{}) != three, qt.IsTrue)
	c.Check(h.snapshot(Progress{three.Name, three.chunkEnds[0]}) != three, qt.IsTrue)
	h.now += cacheIdleTimeout - 1
	c.Check(h.cache.EvictIdle(h.now), qt.IsTrue)
	h.now++
	c.Check(h.cache.EvictIdle(h.now), qt.IsFalse)
	c.Check(h.cache.CachedBytes(), qt.Equals, 0)
}

// A snapshot during whose encoding more changes come than a fresh one may lack is still sent to the subscribers that waited for it, as
// long as the changes are kept; others that ask meanwhile wait for the same one.
func TestMuchComesWhileItIsMade(t *testing.T) {
	c := qt.New(t)
	h := newFakeControl("a", 100)
	m := h.cache.Start(0, SnapshotHeader{Incarnation: "a", To: h.log.Last(), Epoch: 1, Number: h.number})
	notes := h.changes()
	for range MaxFreshChanges + 1000 {
		h.set("route-00001", h.number+1, 10)
		c.Assert(h.cache.Newest(0, "a", h.log) == m, qt.IsTrue)
	}
	m.Encode(notes, unpacked)
	c.Check(h.cache.Newest(0, "a", h.log), qt.IsNil) // for who comes now
	c.Check(h.cache.ByName(0, m.Name, "a", h.log) == m, qt.IsTrue)
	for range 7000 {
		h.set("route-00001", h.number+1, 10)
	}
	c.Check(h.cache.ByName(0, m.Name, "a", h.log), qt.IsNil)
}
