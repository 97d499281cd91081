package manifest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func shore(n int, version uint64, dropped bool) Item {
	i := Item{Kind: Routes, Name: fmt.Sprintf("r%d", n), Version: version, Dropped: dropped}
	if !dropped {
		i.Body = []byte(fmt.Sprintf(`{"name":"r%d","v":%d}`, n, version))
	}
	return i
}

func drawnSet(draw *rand.Rand, most int) *Set {
	s := NewSet()
	for range draw.IntN(most) {
		s.Merge(shore(draw.IntN(most), 1+draw.Uint64N(4), draw.IntN(4) == 0))
	}
	return s
}

func TestDiffer(t *testing.T) {
	c := qt.New(t)
	a, b := NewSet(), NewSet()
	sums := func(s *Set) []uint64 { x := s.Sums(); return x[:] }
	c.Check(a.Differ(sums(b)), qt.HasLen, 0)
	a.Merge(shore(1, 1, false))
	p := shore(1, 1, false).Key().part()
	c.Check(a.Differ(sums(b)), qt.DeepEquals, []int{p})
	c.Check(b.Differ(sums(a)), qt.DeepEquals, []int{p}, qt.Commentf("a part that is empty here"))
	c.Check(a.Differ(nil), qt.HasLen, Parts, qt.Commentf("sums that are missing"))
	c.Check(a.Differ(sums(a)[:p]), qt.Contains, p)
	b.Merge(shore(1, 1, false))
	c.Check(a.Differ(sums(b)), qt.HasLen, 0)
	b.Merge(shore(1, 2, true))
	c.Check(a.Differ(sums(b)), qt.DeepEquals, []int{p})
}

func TestIn(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	for n := range 300 {
		s.Merge(shore(n, 1, n%3 == 0))
	}
	c.Check(s.In(nil), qt.HasLen, 0)
	all := 0
	for p := range Parts {
		in := s.In([]int{p})
		for n, i := range in {
			c.Check(i.Key().part(), qt.Equals, p)
			c.Check(n == 0 || in[n-1].Name < i.Name, qt.IsTrue, qt.Commentf("in the order of keys"))
		}
		all += len(in)
	}
	c.Check(all, qt.Equals, 300)
	c.Check(s.In([]int{3, 3}), qt.DeepEquals, s.In([]int{3}))
}

// Whatever two holders have, the parts in which they differ make the one like the other, versions that go back and items that
// go among them; and what is said to be new and gone makes a disk's copy like it.
func TestReplace(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(400) {
		draw := rand.New(rand.NewPCG(seed, 3))
		a, b := drawnSet(draw, 200), drawnSet(draw, 200)
		disk := map[Key]Item{}
		for _, i := range a.All() {
			disk[i.Key()] = i
		}
		sums := a.Sums()
		parts := b.Differ(sums[:])
		before := b.Sum()
		items := b.In(parts)
		draw.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		news, gone := a.Replace(parts, items)
		for _, i := range news {
			disk[i.Key()] = i
		}
		for _, k := range gone {
			_, there := disk[k]
			c.Assert(there, qt.IsTrue, qt.Commentf("%v is gone, and was never there", k))
			delete(disk, k)
		}
		c.Assert(b.Sum(), qt.Equals, before)
		c.Assert(a.Sum(), qt.Equals, b.Sum(), qt.Commentf("seed %d", seed))
		c.Assert(a.Sums(), qt.Equals, b.Sums())
		c.Assert(a.All(), qt.DeepEquals, b.All())
		c.Assert(a.dropped, qt.Equals, b.dropped)
		c.Assert(len(disk), qt.Equals, b.Len())
		for _, i := range b.All() {
			c.Assert(disk[i.Key()].Same(i), qt.IsTrue)
		}
		again, none := a.Replace(parts, items)
		c.Assert(len(again)+len(none), qt.Equals, 0, qt.Commentf("the same once more is no news"))
	}
}

// A part that is named and for which nothing comes is empty afterwards; parts that aren't named stay.
func TestReplaceByNothing(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	for n := range 200 {
		s.Merge(shore(n, 1, false))
	}
	p := shore(7, 1, false).Key().part()
	was := s.In([]int{p})
	news, gone := s.Replace([]int{p}, nil)
	c.Check(news, qt.HasLen, 0)
	c.Check(gone, qt.HasLen, len(was))
	c.Check(s.In([]int{p}), qt.HasLen, 0)
	c.Check(s.Sums()[p], qt.Equals, uint64(0))
	c.Check(s.Len(), qt.Equals, 200-len(was))
}

// What goes is told in one order, whenever it is told.
func TestReplaceGoneInOrder(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		s := NewSet()
		for n := range 100 {
			s.Merge(shore(n, 1, false))
		}
		_, gone := s.Replace(func() (all []int) {
			for p := range Parts {
				all = append(all, p)
			}
			return all
		}(), nil)
		c.Assert(gone, qt.HasLen, 100)
		c.Assert(slices.IsSortedFunc(gone, func(a, b Key) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}), qt.IsTrue, qt.Commentf("%v", gone))
	}
}

// Beyond the most that are kept, all holders forget the same drops, and tell which, once.
func TestForgotten(t *testing.T) {
	c := qt.New(t)
	a, b := NewSet(), NewSet()
	disk := map[Key]bool{}
	for n := range MostDropped + MostDropped/5 {
		i := shore(n, uint64(n+1), true)
		a.Merge(i)
		disk[i.Key()] = true
		for _, k := range a.Forgotten() {
			c.Assert(disk[k], qt.IsTrue)
			delete(disk, k)
		}
		b.Merge(i)
	}
	c.Check(a.Len() <= MostDropped, qt.IsTrue)
	c.Check(len(disk), qt.Equals, a.Len())
	c.Check(a.Sum(), qt.Equals, b.Sum())
	c.Check(a.Forgotten(), qt.HasLen, 0)
	again := NewSet() // as a disk is read
	for _, i := range a.All() {
		c.Assert(disk[i.Key()], qt.IsTrue)
		again.Merge(i)
	}
	c.Check(again.Sum(), qt.Equals, a.Sum())
	c.Check(again.Forgotten(), qt.HasLen, 0)
}

// What an item was is known for as many versions as are kept.
func TestWas(t *testing.T) {
	c := qt.New(t)
	i := shore(1, 1, false)
	for v := uint64(2); v <= MostMarks+3; v++ {
		i = shore(1, v, v == 4).After(i)
		c.Assert(len(i.Past) <= MostMarks, qt.IsTrue)
	}
	for v := uint64(1); v <= MostMarks+3; v++ {
		known, same := i.Was(shore(1, v, v == 4))
		c.Check(known, qt.Equals, v >= 3 && v < MostMarks+3, qt.Commentf("version %d", v))
		c.Check(same, qt.Equals, known)
		rival := Item{Kind: Routes, Name: "r1", Version: v, Body: []byte(`{}`)}
		known, same = i.Was(rival)
		c.Check(known, qt.Equals, v >= 3 && v < MostMarks+3)
		c.Check(same, qt.IsFalse)
	}
}
