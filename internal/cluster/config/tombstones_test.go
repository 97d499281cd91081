package config

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func deletedItem(n int) Item {
	return Item{Kind: KindRoutes, Name: fmt.Sprint("d", n), Version: uint64(n + 10), Deleted: true}
}

// A process that was disconnected while more than MaxDeleted items were deleted still has a route whose tombstone all others have
// evicted. Merging its items into another set restores the route; replacing its set with another one removes the route.
func TestMergeRestoresItemWithEvictedTombstone(t *testing.T) {
	c := qt.New(t)
	old := Item{Kind: KindRoutes, Name: "old", Version: 1, Body: []byte(`{}`)}
	stale, current := NewSet(), NewSet()
	stale.Merge(old)
	current.Merge(old)
	current.Merge(Item{Kind: KindRoutes, Name: "old", Version: 2, Deleted: true})
	for n := range MaxDeleted + 1 {
		current.Merge(deletedItem(n))
	}
	_, known := current.Lookup(old.Key())
	c.Assert(known, qt.IsFalse)

	merged := current.Clone()
	for _, i := range stale.DifferingItems(merged.PartitionSums()) {
		merged.Merge(i)
	}
	c.Check(merged.Live(KindRoutes), qt.HasLen, 1) // why items must not be merged from a process that is behind

	changed, removed := stale.ReplaceAll(current.All())
	c.Check(removed, qt.DeepEquals, []Key{old.Key()})
	c.Check(len(changed), qt.Equals, current.Len())
	c.Check(stale.Live(KindRoutes), qt.HasLen, 0)
	c.Check(stale.PartitionSums(), qt.Equals, current.PartitionSums())
}

// Sets that apply the same changes in the same order, from the start or after ReplaceAll, have the same items and tombstones. A copy on
// disk that applies the returned changes has the same keys, and stays bounded.
func TestEvictionIsDeterministic(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(4, 1))
	first, second, disk := NewSet(), NewSet(), map[Key]bool{}
	for n := range 3 * MaxDeleted {
		i := deletedItem(n)
		if n%4 == 0 {
			i.Deleted, i.Name = false, fmt.Sprint("d", draw.IntN(n+1)) // set, possibly with a version lower than the existing one
		}
		change := []Item{i}
		if n%7 == 0 {
			change = append(change, deletedItem(draw.IntN(n+1)))
		}
		removed := first.Apply(change)
		for _, i := range change {
			disk[i.Key()] = true
		}
		for _, k := range removed {
			delete(disk, k)
		}
		switch {
		case n == MaxDeleted:
			second.ReplaceAll(first.All())
		case n > MaxDeleted:
			second.Apply(change)
		}
		c.Assert(len(first.items) == len(disk) && first.deletedCount <= MaxDeleted, qt.IsTrue)
	}
	c.Check(second.PartitionSums(), qt.Equals, first.PartitionSums())
	c.Check(second.deletedCount, qt.Equals, first.deletedCount)
	for k := range disk {
		_, exists := first.Lookup(k)
		c.Assert(exists, qt.IsTrue)
	}
}

// A single large change evicts all excess tombstones.
func TestEvictMany(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	var all []Item
	for n := range 3 * MaxDeleted {
		all = append(all, deletedItem(n))
	}
	removed := s.Apply(all)
	c.Check(s.Len(), qt.Equals, MaxDeleted-MaxDeleted/10+1)
	c.Check(len(removed)+s.Len(), qt.Equals, len(all))
	_, newest := s.Lookup(deletedItem(3*MaxDeleted - 1).Key())
	c.Check(newest, qt.IsTrue)
}

// ReplaceAll makes a set equal to another, regardless of its previous contents, and returns the differences.
func TestReplaceAll(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(9, 1))
	newRandomSet := func() *Set {
		s := NewSet()
		for range draw.IntN(60) {
			s.put(Item{Kind: tabularKinds[draw.IntN(2)], Name: fmt.Sprint(draw.IntN(30)), Version: uint64(draw.IntN(4)), Deleted: draw.IntN(3) == 0})
		}
		return s
	}
	for range 500 {
		a, b := newRandomSet(), newRandomSet()
		replayed := a.Clone()
		changed, removed := a.ReplaceAll(b.All())
		c.Assert(a.PartitionSums(), qt.Equals, b.PartitionSums())
		c.Assert(a.deletedCount, qt.Equals, b.deletedCount)
		replayed.Apply(changed) // the returned differences lead to the same set
		for _, k := range removed {
			replayed.remove(k)
		}
		c.Assert(replayed.PartitionSums(), qt.Equals, b.PartitionSums())
		changed, removed = a.ReplaceAll(b.All())
		c.Assert(len(changed)+len(removed), qt.Equals, 0)
	}
}
