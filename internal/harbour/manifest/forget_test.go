package manifest

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func dropped(n int) Item {
	return Item{Kind: Routes, Name: fmt.Sprint("d", n), Version: uint64(n + 10), Dropped: true}
}

// Who was away while more was dropped than stays known still has a route that all others dropped and forgot. Merging brings
// it back to life at all of them, and so does nothing but merging: taking their set over takes the route from it.
func TestForgottenAndMerged(t *testing.T) {
	c := qt.New(t)
	old := Item{Kind: Routes, Name: "old", Version: 1, Body: []byte(`{}`)}
	away, others := NewSet(), NewSet()
	away.Merge(old)
	others.Merge(old)
	others.Merge(Item{Kind: Routes, Name: "old", Version: 2, Dropped: true})
	for n := range MostDropped + 1 {
		others.Merge(dropped(n))
	}
	_, known := others.Get(old.Key())
	c.Assert(known, qt.IsFalse)

	merged := others.Clone()
	for _, i := range away.Differing(merged.Sums()) {
		merged.Merge(i)
	}
	c.Check(merged.Standing(Routes), qt.HasLen, 1) // the fault, and why nothing may be merged from who is behind

	changed, gone := away.Become(others.All())
	c.Check(gone, qt.DeepEquals, []Key{old.Key()})
	c.Check(len(changed), qt.Equals, others.Len())
	c.Check(away.Standing(Routes), qt.HasLen, 0)
	c.Check(away.Sums(), qt.Equals, others.Sums())
}

// All who apply the same changes in the same order, from the start or from a set taken over in the middle, have the same
// items and have forgotten the same; the disk that follows what they say holds what they hold, and stays bounded.
func TestForgetAlike(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(4, 1))
	first, second, disk := NewSet(), NewSet(), map[Key]bool{}
	for n := range 3 * MostDropped {
		i := dropped(n)
		if n%4 == 0 {
			i.Dropped, i.Name = false, fmt.Sprint("d", draw.IntN(n+1)) // set again, with whatever version
		}
		change := []Item{i}
		if n%7 == 0 {
			change = append(change, dropped(draw.IntN(n+1)))
		}
		gone := first.Apply(change)
		for _, i := range change {
			disk[i.Key()] = true
		}
		for _, k := range gone {
			delete(disk, k)
		}
		switch {
		case n == MostDropped:
			second.Become(first.All())
		case n > MostDropped:
			second.Apply(change)
		}
		c.Assert(len(first.items) == len(disk) && first.dropped <= MostDropped, qt.IsTrue)
	}
	c.Check(second.Sums(), qt.Equals, first.Sums())
	c.Check(second.dropped, qt.Equals, first.dropped)
	for k := range disk {
		_, there := first.Get(k)
		c.Assert(there, qt.IsTrue)
	}
}

// A large change forgets what is too much at once.
func TestForgetMany(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	var all []Item
	for n := range 3 * MostDropped {
		all = append(all, dropped(n))
	}
	gone := s.Apply(all)
	c.Check(s.Len(), qt.Equals, MostDropped-MostDropped/10+1)
	c.Check(len(gone)+s.Len(), qt.Equals, len(all))
	_, newest := s.Get(dropped(3*MostDropped - 1).Key())
	c.Check(newest, qt.IsTrue)
}

// A set that is taken over is the other's to the last sum, whatever stood.
func TestBecome(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(9, 1))
	drawn := func() *Set {
		s := NewSet()
		for range draw.IntN(60) {
			s.put(Item{Kind: tables[draw.IntN(2)], Name: fmt.Sprint(draw.IntN(30)), Version: uint64(draw.IntN(4)), Dropped: draw.IntN(3) == 0})
		}
		return s
	}
	for range 500 {
		a, b := drawn(), drawn()
		same := a.Clone()
		changed, gone := a.Become(b.All())
		c.Assert(a.Sums(), qt.Equals, b.Sums())
		c.Assert(a.dropped, qt.Equals, b.dropped)
		same.Apply(changed) // what is told of it is what differs
		for _, k := range gone {
			same.remove(k)
		}
		c.Assert(same.Sums(), qt.Equals, b.Sums())
		changed, gone = a.Become(b.All())
		c.Assert(len(changed)+len(gone), qt.Equals, 0)
	}
}
