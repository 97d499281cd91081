package lanes

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
)

func routeOf(name string, version uint64) manifest.Item {
	return manifest.Item{Kind: manifest.Routes, Name: name, Version: version, Body: fmt.Appendf(nil, `{"v":%d}`, version)}
}

func notesOf(items ...manifest.Item) (notes []signals.Note) {
	for _, i := range items {
		notes = append(notes, signals.Note{Item: &i})
	}
	return notes
}

// A router that was cut off while a route was dropped, and so many others that the drop was forgotten, has it no longer after
// the snapshot; without marks, as before, it kept it for good.
func TestDroppedWhileAway(t *testing.T) {
	for _, marked := range []bool{false, true} {
		c := qt.New(t)
		b := board()
		at := func(number uint64) Mark {
			if !marked {
				return Mark{}
			}
			return Mark{1, number}
		}
		b.TakeAt(at(5), notesOf(routeOf("old", 1), routeOf("kept", 1)), true)
		changes := b.TakeAt(at(20000), notesOf(routeOf("kept", 1), manifest.Item{Kind: manifest.Routes, Name: "d", Version: 9, Dropped: true}), true)
		_, there := b.Set.Get(manifest.Key{Kind: manifest.Routes, Name: "old"})
		c.Check(there, qt.Equals, !marked)
		c.Check(changes.Chart, qt.IsTrue)
		c.Check(b.Set.Len() == 2, qt.Equals, marked)
	}
}

// News of an earlier mark, from a control process that is a little behind, takes no item back, not by a snapshot nor by the
// changes after it; hosts and routers are taken from it all the same. A higher epoch goes before any number.
func TestNeverBack(t *testing.T) {
	c := qt.New(t)
	b := board()
	version := func() uint64 {
		i, _ := b.Set.Get(manifest.Key{Kind: manifest.Routes, Name: "r"})
		return i.Version
	}
	b.TakeAt(Mark{2, 10}, notesOf(routeOf("r", 7), routeOf("s", 1)), true)
	host := signals.Note{Host: &berths.Host{ID: "h", Service: "desk", Zone: "a", Sequence: 1}}
	changes := b.TakeAt(Mark{2, 8}, append(notesOf(routeOf("r", 6)), host), true)
	c.Check(changes.Chart, qt.IsFalse)
	c.Check(changes.Services["desk"], qt.IsTrue)
	c.Check(version(), qt.Equals, uint64(7))
	c.Check(b.Set.Len(), qt.Equals, 2)
	b.TakeAt(Mark{2, 9}, notesOf(routeOf("r", 6)), false)
	c.Check(version(), qt.Equals, uint64(7))
	b.TakeAt(Mark{2, 11}, notesOf(routeOf("r", 7), routeOf("r", 8)), false) // across what it had
	c.Check(version(), qt.Equals, uint64(8))
	b.TakeAt(Mark{1, 400}, notesOf(routeOf("r", 2)), true) // a disk from before
	c.Check(version(), qt.Equals, uint64(8))
	c.Check(b.At(), qt.Equals, Mark{2, 11})
	b.TakeAt(Mark{3, 1}, notesOf(routeOf("r", 5)), true) // what operators restored
	c.Check(version(), qt.Equals, uint64(5))
	c.Check(b.Set.Len(), qt.Equals, 1)
}

// Drawn histories: a router goes from one control process to another, each of which has applied some of the changes, takes
// snapshots and batches, some of them twice; it never goes back, and has at its mark just what the core had there.
func TestFollowsTheOrder(t *testing.T) {
	c := qt.New(t)
	passed := 0
	for seed := range uint64(200) {
		draw := rand.New(rand.NewPCG(seed, 3))
		var changes [][]manifest.Item // by number, from 1
		sums := []uint64{manifest.NewSet().Sum()}
		core := manifest.NewSet()
		holds := []*manifest.Set{core.Clone()}
		for n := range 60 {
			change := []manifest.Item{routeOf(fmt.Sprint("r", draw.IntN(6)), uint64(n+1))}
			if draw.IntN(3) == 0 {
				change[0].Dropped, change[0].Body = true, nil
			}
			core.Apply(change)
			changes = append(changes, change)
			sums = append(sums, core.Sum())
			holds = append(holds, core.Clone())
		}
		b := board()
		have := 0 // of the control process that it follows
		for range 80 {
			before := b.At()
			if draw.IntN(8) == 0 || have == 0 { // another control process, which may be behind
				have = max(1, min(60, int(b.At().Number)+draw.IntN(9)-4))
				b.TakeAt(Mark{1, uint64(have)}, notesOf(holds[have].All()...), true)
			} else if to := min(60, have+draw.IntN(4)); to > have {
				var all []manifest.Item
				for _, change := range changes[have:to] {
					all = append(all, change...)
				}
				b.TakeAt(Mark{1, uint64(to)}, notesOf(all...), false)
				have = to
			}
			c.Assert(b.At().Before(before), qt.IsFalse)
			c.Assert(b.Set.Sum(), qt.Equals, sums[b.At().Number], qt.Commentf("seed %d at %v", seed, b.At()))
			passed++
		}
	}
	c.Check(passed, qt.Equals, 200*80)
}
