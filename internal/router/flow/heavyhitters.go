package flow

import (
	"cmp"
	"slices"
)

// HeavyHitters finds the IDs with the largest counts in bounded memory, with the space-saving algorithm (Metwally, Agrawal and
// El Abbadi, 2005). It keeps a summary of the current and of the previous time window, so an old count is forgotten after two
// windows. With k counters and a total count N in a window, a counter exceeds the true count by at most N/k, and each ID with a
// count above N/k has a counter.
type HeavyHitters struct {
	window            int64
	windowStart       int64
	current, previous spaceSaving
}

// Estimate is the estimated count of an ID.
type Estimate struct {
	ID         uint64
	Sum, Error uint64 // the true count is at least Sum-Error
}

// NewHeavyHitters returns an empty summary with the given number of counters per window. The window is in nanoseconds.
func NewHeavyHitters(counters int, window int64) *HeavyHitters {
	return &HeavyHitters{window: window, current: newSpaceSaving(counters), previous: newSpaceSaving(counters)}
}

// Add adds n to the count of id at the time at, in Unix nanoseconds.
func (h *HeavyHitters) Add(at int64, id uint64, n uint64) {
	h.rotate(at)
	h.current.add(id, n)
}

func (h *HeavyHitters) rotate(at int64) {
	switch elapsed := at - h.windowStart; {
	case elapsed < 0 || elapsed >= 2*h.window: // the clock went backward, or no call for two windows
		h.current.clear()
		h.previous.clear()
		h.windowStart = at
	case elapsed >= h.window:
		h.current, h.previous = h.previous, h.current
		h.current.clear()
		h.windowStart += h.window
	}
}

// Largest returns the n IDs with the largest counts over a sliding window, in descending order. It approximates the sliding window
// by the current window plus the share of the previous window that is not older than one window.
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

// spaceSaving is a min-heap of counters. A hash table with open addressing and at least twice as many slots maps each ID to its
// position in the heap.
type spaceSaving struct {
	heap     []counter
	capacity int
	table    []int32 // position in the heap plus 1; 0 for a free slot
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

// find returns the slot of id, or the free slot where id would be inserted.
func (s *spaceSaving) find(id uint64) uint64 {
	i := s.homeSlot(id)
	for s.table[i] != 0 && s.heap[s.table[i]-1].id != id {
		i = (i + 1) & s.mask
	}
	return i
}

// remove frees the slot of id and moves later entries of the probe sequence up (Knuth, TAOCP volume 3, section 6.4, Algorithm R).
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
			if (j-home)&s.mask >= (j-i)&s.mask { // the entry may move to i: its home slot is not after i
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
	default: // replace the smallest counter; its sum bounds the overcount of the new one
		least := s.heap[0]
		s.remove(least.id)
		s.heap[0] = counter{id, least.sum + n, least.sum}
		s.table[s.freeSlot(id)] = 1
		s.siftDown(0)
	}
}

// freeSlot returns the first free slot for an ID that is not in the table.
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
