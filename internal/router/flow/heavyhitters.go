package flow

import (
	"cmp"
	"slices"
)

// HeavyHitters finds who has most of a sum, in bounded memory: space-saving counters (Metwally, Agrawal and El Abbadi, 2005), in
// two windows, the present and the one before, so that what is past fades within two. Each counter is over by at most
// N/k of its window's sum N with k counters, and an id that has more than that is among them.
type HeavyHitters struct {
	window            int64
	windowStart       int64
	current, previous spaceSaving
}

// Estimate is one id's part.
type Estimate struct {
	ID         uint64
	Sum, Error uint64 // it has at least Sum-Error
}

// NewHeavyHitters makes one of k counters a window.
func NewHeavyHitters(counters int, window int64) *HeavyHitters {
	return &HeavyHitters{window: window, current: newSpaceSaving(counters), previous: newSpaceSaving(counters)}
}

// Add counts n for an id.
func (h *HeavyHitters) Add(at int64, id uint64, n uint64) {
	h.rotate(at)
	h.current.add(id, n)
}

func (h *HeavyHitters) rotate(at int64) {
	switch elapsed := at - h.windowStart; {
	case elapsed < 0 || elapsed >= 2*h.window: // a clock that jumped, or nothing for long
		h.current.clear()
		h.previous.clear()
		h.windowStart = at
	case elapsed >= h.window:
		h.current, h.previous = h.previous, h.current
		h.current.clear()
		h.windowStart += h.window
	}
}

// Largest tells the n ids with the greatest sums of the last window: the present one, and as much of the one before as
// is not past.
func (h *HeavyHitters) Largest(at int64, n int) []Estimate {
	h.rotate(at)
	weight := 1 - float64(at-h.windowStart)/float64(h.window)
	all := map[uint64]Estimate{}
	for _, c := range h.current.heap {
		all[c.id] = Estimate{c.id, c.sum, c.overcount}
	}
	for _, c := range h.previous.heap {
		s := all[c.id]
		all[c.id] = Estimate{c.id, s.Sum + uint64(weight*float64(c.sum)), s.Error + uint64(weight*float64(c.overcount))}
	}
	out := make([]Estimate, 0, len(all))
	for _, s := range all {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Estimate) int { return cmp.Or(cmp.Compare(b.Sum, a.Sum), cmp.Compare(a.ID, b.ID)) })
	return out[:min(n, len(out))]
}

type counter struct{ id, sum, overcount uint64 }

// spaceSaving is a min-heap of counters, with each id's place in an open table of twice as many slots.
type spaceSaving struct {
	heap     []counter
	capacity int
	table    []int32 // place in the heap and one, 0 for free
	mask     uint64
}

func newSpaceSaving(k int) spaceSaving {
	n := 4
	for n < 2*k {
		n *= 2
	}
	return spaceSaving{capacity: k, heap: make([]counter, 0, k), table: make([]int32, n), mask: uint64(n - 1)}
}

func (s *spaceSaving) clear() {
	s.heap = s.heap[:0]
	clear(s.table)
}

func (s *spaceSaving) homeSlot(id uint64) uint64 { return id * 0x9e3779b97f4a7c15 >> 20 & s.mask }

// find tells the slot of an id, or the free one where it would be.
func (s *spaceSaving) find(id uint64) uint64 {
	i := s.homeSlot(id)
	for s.table[i] != 0 && s.heap[s.table[i]-1].id != id {
		i = (i + 1) & s.mask
	}
	return i
}

// remove frees an id's slot and closes the gap that it leaves (Knuth 6.4, algorithm R).
func (s *spaceSaving) remove(id uint64) {
	i := s.find(id)
	for j := i; ; {
		s.table[i] = 0
		for {
			j = (j + 1) & s.mask
			if s.table[j] == 0 {
				return
			}
			home := s.homeSlot(s.heap[s.table[j]-1].id)
			if (j-home)&s.mask >= (j-i)&s.mask { // it may stand at i
				break
			}
		}
		s.table[i] = s.table[j]
		i = j
	}
}

func (s *spaceSaving) add(id, n uint64) {
	slot := s.find(id)
	switch position := int(s.table[slot]) - 1; {
	case position >= 0:
		s.heap[position].sum += n
		s.siftDown(position)
	case len(s.heap) < s.capacity:
		s.heap = append(s.heap, counter{id, n, 0})
		s.table[slot] = int32(len(s.heap))
		s.siftUp(len(s.heap) - 1)
	default: // the least gives way, and its sum is what the new one may be over by
		least := s.heap[0]
		s.remove(least.id)
		s.heap[0] = counter{id, least.sum + n, least.sum}
		s.table[s.freeSlot(id)] = 1
		s.siftDown(0)
	}
}

// freeSlot is the first free slot for an id that is not there.
func (s *spaceSaving) freeSlot(id uint64) uint64 {
	i := s.homeSlot(id)
	for s.table[i] != 0 {
		i = (i + 1) & s.mask
	}
	return i
}

func (s *spaceSaving) swap(i, j int) {
	a, b := s.find(s.heap[i].id), s.find(s.heap[j].id)
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.table[a], s.table[b] = int32(j+1), int32(i+1)
}

func (s *spaceSaving) siftUp(i int) {
	for i > 0 && s.heap[i].sum < s.heap[(i-1)/2].sum {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *spaceSaving) siftDown(i int) {
	for {
		least := i
		for _, j := range [2]int{2*i + 1, 2*i + 2} {
			if j < len(s.heap) && s.heap[j].sum < s.heap[least].sum {
				least = j
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}
