package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func routeItem(n int, version uint64, deleted bool) Item {
	i := Item{Kind: KindRoutes, Name: fmt.Sprintf("r%d", n), Version: version, Deleted: deleted}
	if !deleted {
		i.Body = []byte(fmt.Sprintf(`{"name":"r%d","v":%d}`, n, version))
	}
	return i
}

func randomSet(draw *rand.Rand, limit int) *Set {
	s := NewSet()
	for range draw.IntN(limit) {
		s.Merge(routeItem(draw.IntN(limit), 1+draw.Uint64N(4), draw.IntN(4) == 0))
	}
	return s
}

func TestDifferingPartitions(t *testing.T) {
	c := qt.New(t)
	a, b := NewSet(), NewSet()
	sums := func(s *Set) []uint64 { x := s.PartitionSums(); return x[:] }
	c.Check(a.DifferingPartitions(sums(b)), qt.HasLen, 0)
	a.Merge(routeItem(1, 1, false))
	p := routeItem(1, 1, false).Key().partition()
	c.Check(a.DifferingPartitions(sums(b)), qt.DeepEquals, []int{p})
	c.Check(b.DifferingPartitions(sums(a)), qt.DeepEquals, []int{p}, qt.Commentf("a partition that is empty in b"))
	c.Check(a.DifferingPartitions(nil), qt.HasLen, Partitions, qt.Commentf("missing checksums"))
	c.Check(a.DifferingPartitions(sums(a)[:p]), qt.Contains, p)
	b.Merge(routeItem(1, 1, false))
	c.Check(a.DifferingPartitions(sums(b)), qt.HasLen, 0)
	b.Merge(routeItem(1, 2, true))
	c.Check(a.DifferingPartitions(sums(b)), qt.DeepEquals, []int{p})
}

func TestInPartitions(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	for n := range 300 {
		s.Merge(routeItem(n, 1, n%3 == 0))
	}
	c.Check(s.InPartitions(nil), qt.HasLen, 0)
	all := 0
	for p := range Partitions {
		in := s.InPartitions([]int{p})
		for n, i := range in {
			c.Check(i.Key().partition(), qt.Equals, p)
			c.Check(n == 0 || in[n-1].Name < i.Name, qt.IsTrue, qt.Commentf("items not sorted by key"))
		}
		all += len(in)
	}
	c.Check(all, qt.Equals, 300)
	c.Check(s.InPartitions([]int{3, 3}), qt.DeepEquals, s.InPartitions([]int{3}))
}

// Replacing the differing partitions makes any set equal to another, even if versions decrease and items disappear. Applying the returned
// changes and removals to a copy on disk has the same result.
func TestReplacePartitions(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(400) {
		draw := rand.New(rand.NewPCG(seed, 3))
		a, b := randomSet(draw, 200), randomSet(draw, 200)
		disk := map[Key]Item{}
		for _, i := range a.All() {
			disk[i.Key()] = i
		}
		sums := a.PartitionSums()
		partitions := b.DifferingPartitions(sums[:])
		before := b.Checksum()
		items := b.InPartitions(partitions)
		draw.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		changed, removed := a.ReplacePartitions(partitions, items)
		for _, i := range changed {
			disk[i.Key()] = i
		}
		for _, k := range removed {
			_, exists := disk[k]
			c.Assert(exists, qt.IsTrue, qt.Commentf("%v is returned as removed, but never existed", k))
			delete(disk, k)
		}
		c.Assert(b.Checksum(), qt.Equals, before)
		c.Assert(a.Checksum(), qt.Equals, b.Checksum(), qt.Commentf("seed %d", seed))
		c.Assert(a.PartitionSums(), qt.Equals, b.PartitionSums())
		c.Assert(a.All(), qt.DeepEquals, b.All())
		c.Assert(a.Tombstones(), qt.Equals, b.Tombstones())
		c.Assert(len(disk), qt.Equals, b.Len())
		for _, i := range b.All() {
			c.Assert(disk[i.Key()].Equal(i), qt.IsTrue)
		}
		changedAgain, removedAgain := a.ReplacePartitions(partitions, items)
		c.Assert(len(changedAgain)+len(removedAgain), qt.Equals, 0, qt.Commentf("replacing with the same items again changed something"))
	}
}

// Replacing a partition with no items empties it and leaves other partitions unchanged.
func TestReplacePartitionsWithNoItems(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	for n := range 200 {
		s.Merge(routeItem(n, 1, false))
	}
	p := routeItem(7, 1, false).Key().partition()
	before := s.InPartitions([]int{p})
	changed, removed := s.ReplacePartitions([]int{p}, nil)
	c.Check(changed, qt.HasLen, 0)
	c.Check(removed, qt.HasLen, len(before))
	c.Check(s.InPartitions([]int{p}), qt.HasLen, 0)
	c.Check(s.PartitionSums()[p], qt.Equals, uint64(0))
	c.Check(s.Len(), qt.Equals, 200-len(before))
}

// Removed keys are returned sorted.
func TestReplacePartitionsRemovedKeysSorted(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		s := NewSet()
		for n := range 100 {
			s.Merge(routeItem(n, 1, false))
		}
		_, removed := s.ReplacePartitions(func() (all []int) {
			for p := range Partitions {
				all = append(all, p)
			}
			return all
		}(), nil)
		c.Assert(removed, qt.HasLen, 100)
		c.Assert(slices.IsSortedFunc(removed, func(a, b Key) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}), qt.IsTrue, qt.Commentf("%v", removed))
	}
}

// Sets that merge the same deletions in different orders are equal and have all tombstones, also when they are read back from disk.
func TestTombstonesInAnyOrder(t *testing.T) {
	c := qt.New(t)
	a, b := NewSet(), NewSet()
	for n := range manyTombstones {
		a.Merge(routeItem(n, uint64(n+1), true))
		b.Merge(routeItem(manyTombstones-1-n, uint64(manyTombstones-n), true))
	}
	c.Check(a.Len(), qt.Equals, manyTombstones)
	c.Check(a.Checksum(), qt.Equals, b.Checksum())
	reloaded := NewSet() // as when reading the items back from disk
	for _, i := range a.All() {
		reloaded.Merge(i)
	}
	c.Check(reloaded.Len(), qt.Equals, manyTombstones)
	c.Check(reloaded.Checksum(), qt.Equals, a.Checksum())
}

// The history of an item contains the last MaxHistory versions.
func TestMatchesPast(t *testing.T) {
	c := qt.New(t)
	i := routeItem(1, 1, false)
	for v := uint64(2); v <= MaxHistory+3; v++ {
		i = routeItem(1, v, v == 4).WithHistory(i)
		c.Assert(len(i.History) <= MaxHistory, qt.IsTrue)
	}
	for v := uint64(1); v <= MaxHistory+3; v++ {
		known, same := i.MatchesPast(routeItem(1, v, v == 4))
		c.Check(known, qt.Equals, v >= 3 && v < MaxHistory+3, qt.Commentf("version %d", v))
		c.Check(same, qt.Equals, known)
		rival := Item{Kind: KindRoutes, Name: "r1", Version: v, Body: []byte(`{}`)}
		known, same = i.MatchesPast(rival)
		c.Check(known, qt.Equals, v >= 3 && v < MaxHistory+3)
		c.Check(same, qt.IsFalse)
	}
}
