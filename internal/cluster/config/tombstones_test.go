package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// manyTombstones is more than the 10,000 tombstones that earlier releases kept.
const manyTombstones = 30_000

func deletedItem(n int) Item {
	return Item{Kind: KindRoutes, Name: fmt.Sprint("d", n), Version: uint64(n + 10), Deleted: true}
}

// Sets evicted the tombstones with the lowest versions when there were more than 10,000, and then took an older version of such an
// item for a new item. An older version must have no effect, however many items were deleted since; replacing a set that was
// disconnected meanwhile removes its items.
func TestTombstoneKeptAfterManyDeletions(t *testing.T) {
	c := qt.New(t)
	old := Item{Kind: KindRoutes, Name: "old", Version: 1, Body: []byte(`{}`)}
	stale, current := NewSet(), NewSet()
	stale.Merge(old)
	current.Merge(old)
	current.Merge(Item{Kind: KindRoutes, Name: "old", Version: 2, Deleted: true})
	for n := range manyTombstones {
		current.Merge(deletedItem(n))
	}
	c.Check(current.Tombstones(), qt.Equals, manyTombstones+1)
	tombstone, known := current.Lookup(old.Key())
	c.Check(known && tombstone.Deleted && tombstone.Version == 2, qt.IsTrue)

	merged := current.Clone()
	for _, i := range stale.DifferingItems(merged.PartitionSums()) {
		c.Check(merged.Merge(i), qt.IsFalse)
	}
	c.Check(merged.Live(KindRoutes), qt.HasLen, 0)
	service := Item{Kind: KindServices, Name: "service-1", Version: 1, Body: []byte(`{"health-path":"/","name":"service-1"}`)}
	current.Merge(service)
	outdated := routeAt(1, 1)
	outdated.Name = "old"
	effective, err := current.CheckChange([]Item{outdated})
	c.Check(err, qt.IsNil)
	c.Check(effective, qt.HasLen, 0)
	stale.Merge(service)

	changed, removed := stale.ReplaceAll(current.All())
	c.Check(removed, qt.HasLen, 0)
	c.Check(len(changed), qt.Equals, current.Len()-1) // the service is the same
	c.Check(stale.Live(KindRoutes), qt.HasLen, 0)
	c.Check(stale.PartitionSums(), qt.Equals, current.PartitionSums())
}

// Sets that apply the same changes in the same order, from the start or after ReplaceAll, have the same items and tombstones, and so does
// a copy on disk that stores the same items. For each name the last item applied is known, whatever the versions of other names.
func TestSetMatchesModel(t *testing.T) {
	c := qt.New(t)
	draw := rand.New(rand.NewPCG(4, 1))
	first, second, model := NewSet(), NewSet(), map[Key]Item{}
	for n := range manyTombstones {
		i := deletedItem(n)
		if n%4 == 0 {
			i.Deleted, i.Name = false, fmt.Sprint("d", draw.IntN(n+1)) // set, possibly with a version lower than the existing one
		}
		change := []Item{i}
		if n%7 == 0 {
			change = append(change, deletedItem(draw.IntN(n+1)))
		}
		first.Apply(change)
		for _, i := range change {
			model[i.Key()] = i
		}
		switch {
		case n == manyTombstones/2:
			second.ReplaceAll(first.All())
		case n > manyTombstones/2:
			second.Apply(change)
		}
		c.Assert(first.Len(), qt.Equals, len(model))
	}
	c.Check(second.PartitionSums(), qt.Equals, first.PartitionSums())
	c.Check(second.Tombstones(), qt.Equals, first.Tombstones())
	for k, want := range model {
		got, exists := first.Lookup(k)
		c.Assert(exists && got.Equal(want), qt.IsTrue, qt.Commentf("%v", k))
	}
	want := slices.Collect(maps.Values(model))
	sortItems(want)
	c.Assert(len(first.All()), qt.Equals, len(want))
	for n, i := range first.All() {
		c.Assert(i.Equal(want[n]), qt.IsTrue)
	}
}

// A single large change leaves a tombstone of each item that it deletes, and DiscardTombstones removes them all.
func TestDeleteMany(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	live := Item{Kind: KindRoutes, Name: "live", Version: 1, Body: []byte(`{}`)}
	s.Merge(live)
	want := s.PartitionSums()
	var all []Item
	for n := range manyTombstones {
		all = append(all, deletedItem(n))
	}
	s.Apply(all)
	c.Check(s.Tombstones(), qt.Equals, len(all))
	c.Check(s.Len(), qt.Equals, len(all)+1)
	for _, i := range all {
		_, exists := s.Lookup(i.Key())
		c.Assert(exists, qt.IsTrue)
	}
	s.DiscardTombstones()
	c.Check(s.Tombstones(), qt.Equals, 0)
	c.Check(s.All(), qt.DeepEquals, []Item{live})
	c.Check(s.PartitionSums(), qt.Equals, want)
}

// A clone and its original don't see each other's changes, although they share tombstones. Both match a model, including
// the histories of tombstones.
func TestTombstonesOfClones(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(30) {
		draw := rand.New(rand.NewPCG(seed, 7))
		sets := []*Set{NewSet()}
		models := []map[Key]Item{{}}
		for range 600 {
			n := draw.IntN(len(sets))
			if len(sets) < 4 && draw.IntN(100) == 0 {
				sets = append(sets, sets[n].Clone())
				models = append(models, maps.Clone(models[n]))
			}
			i := Item{Kind: tabularKinds[draw.IntN(2)], Name: fmt.Sprint(draw.IntN(300)), Version: draw.Uint64N(50), Deleted: draw.IntN(4) > 0}
			if draw.IntN(3) == 0 {
				i = i.WithHistory(Item{Kind: i.Kind, Name: i.Name, Version: draw.Uint64N(50)})
			}
			if draw.IntN(8) == 0 {
				sets[n].remove(i.Key())
				delete(models[n], i.Key())
				continue
			}
			sets[n].Apply([]Item{i})
			models[n][i.Key()] = i
		}
		for n, s := range sets {
			var highest uint64
			tombstones := 0
			for k, want := range models[n] {
				got, _ := s.Lookup(k)
				c.Assert(got, qt.DeepEquals, want, qt.Commentf("seed %d", seed))
				highest = max(highest, want.Version)
				if want.Deleted {
					tombstones++
				}
			}
			c.Assert(s.Len(), qt.Equals, len(models[n]))
			c.Assert(s.Tombstones(), qt.Equals, tombstones)
			c.Assert(s.HighestVersion(), qt.Equals, highest)
			c.Assert(len(s.AllLive()), qt.Equals, len(models[n])-tombstones)
		}
	}
}

// The time of a change must not grow with the number of names ever dropped: with a hundred times as many tombstones, checking and applying
// a change may allocate only the additional nodes on the path to a tombstone, and a copy of the set nothing more.
func TestChangeCostWithTombstones(t *testing.T) {
	c := qt.New(t)
	const few, many = 2000, 200_000
	allocations := func(tombstones int) (change, clone float64) {
		s := NewSet()
		s.Apply([]Item{{Kind: KindServices, Name: "desk", Version: 1, Body: []byte(`{"health-path":"/","name":"desk"}`)}})
		for n := range tombstones {
			s.Apply([]Item{deletedItem(n)})
		}
		s.CheckChange(nil) // builds the index
		n := 0
		change = testing.AllocsPerRun(100, func() {
			n++
			route := routeAt(1, uint64(tombstones+n))
			route.Name, route.Deleted, route.Body = fmt.Sprint("d", n), true, nil
			effective, err := s.CheckChange([]Item{route})
			if err != nil || len(effective) != 1 {
				t.Fatalf("%d effective items, error %v", len(effective), err)
			}
			s.Apply(effective)
		})
		return change, testing.AllocsPerRun(100, func() { s.Clone() })
	}
	fewChange, fewClone := allocations(few)
	manyChange, manyClone := allocations(many)
	const levels, allocationsPerNode = 4, 2 // 100 times as many tombstones are log4(100) more levels
	t.Logf("allocations of a change: %v and %v, of a clone: %v and %v", fewChange, manyChange, fewClone, manyClone)
	c.Check(manyChange <= fewChange+levels*allocationsPerNode, qt.IsTrue)
	c.Check(manyClone, qt.Equals, fewClone)
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
		c.Assert(a.Tombstones(), qt.Equals, b.Tombstones())
		replayed.Apply(changed) // the returned differences lead to the same set
		for _, k := range removed {
			replayed.remove(k)
		}
		c.Assert(replayed.PartitionSums(), qt.Equals, b.PartitionSums())
		changed, removed = a.ReplaceAll(b.All())
		c.Assert(len(changed)+len(removed), qt.Equals, 0)
	}
}
