package update

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Freshness must be judged by the compacted size: hundreds of changes of one route count as one. Once the changes exceed a fourth of the
// snapshot's size, the next subscriber must be sent a new snapshot.
func TestChangesAfterSnapshotAreBounded(t *testing.T) {
	c := qt.New(t)
	control := newFakeControl("a", 1000)
	snap := control.snapshot(Progress{})
	for range 500 {
		control.set("route-00001", control.number+1, 400)
	}
	c.Check(control.snapshot(Progress{}) == snap, qt.IsTrue)
	c.Check(control.snapshot(Progress{snap.Name, snap.chunkEnds[0]}) == snap, qt.IsTrue)
	n := 2
	for control.snapshot(Progress{}) == snap {
		control.set(fmt.Sprintf("route-%05d", n), control.number+1, 100)
		n++
	}
	least, most := snap.JSONBytes/4/400, snap.JSONBytes/4/300
	c.Check(n >= least && n <= most, qt.IsTrue, qt.Commentf("got a new snapshot after %d changes, want %d to %d", n, least, most))
	c.Check(control.created, qt.Equals, 2)
	small := newFakeControl("b", 3)
	first := small.snapshot(Progress{})
	for range 100 {
		small.set("route-00001", small.number+1, 100)
	}
	c.Check(small.snapshot(Progress{}) == first, qt.IsTrue)
}

// A snapshot must be reused while it is fresh. The last two must be kept, and be evicted after the idle timeout.
func TestSnapshotCache(t *testing.T) {
	c := qt.New(t)
	control := newFakeControl("a", 1000)
	one := control.snapshot(Progress{})
	for range MaxFreshChanges {
		control.set("route-00001", control.number+1, 10)
	}
	c.Check(control.snapshot(Progress{}) == one, qt.IsTrue)
	control.set("route-00001", control.number+1, 10)
	two := control.snapshot(Progress{})
	c.Check(two != one, qt.IsTrue)
	partial := Progress{one.Name, one.chunkEnds[0]}
	c.Check(control.snapshot(partial) == one, qt.IsTrue) // a proxy that has part of it continues with it
	control.set("route-00001", control.number+1, MaxFreshBytes)
	three := control.snapshot(Progress{})
	c.Check(three != two, qt.IsTrue)
	c.Check(control.snapshot(partial) == three, qt.IsTrue) // only the last two are kept
	c.Check(control.cache.CachedBytes(), qt.Equals, two.Bytes+three.Bytes)
	control.incarnation += "+" // snapshots of another incarnation are not reused
	c.Check(control.snapshot(Progress{}) != three, qt.IsTrue)
	c.Check(control.snapshot(Progress{three.Name, three.chunkEnds[0]}) != three, qt.IsTrue)
	control.now += cacheIdleTimeout - 1
	c.Check(control.cache.EvictIdle(control.now), qt.IsTrue)
	control.now++
	c.Check(control.cache.EvictIdle(control.now), qt.IsFalse)
	c.Check(control.cache.CachedBytes(), qt.Equals, 0)
}

// A snapshot that is no longer fresh once encoded must still be sent to the proxies that waited for it, as long as the changes since
// are in the log. Otherwise frequent changes could keep all proxies waiting.
func TestChangesDuringEncoding(t *testing.T) {
	c := qt.New(t)
	control := newFakeControl("a", 100)
	pending := control.cache.Start(0, SnapshotHeader{Incarnation: "a", To: control.log.Last(), Epoch: 1, Number: control.number})
	initial := control.changes()
	for range MaxFreshChanges + 1000 {
		control.set("route-00001", control.number+1, 10)
		c.Assert(control.cache.Newest(0, "a", control.log) == pending, qt.IsTrue)
	}
	pending.Encode(initial, unpacked)
	c.Check(control.cache.Newest(0, "a", control.log), qt.IsNil) // for a new subscriber
	c.Check(control.cache.ByName(0, pending.Name, "a", control.log) == pending, qt.IsTrue)
	for range 7000 {
		control.set("route-00001", control.number+1, 10)
	}
	c.Check(control.cache.ByName(0, pending.Name, "a", control.log), qt.IsNil)
}
