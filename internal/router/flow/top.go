package flow

import (
	"cmp"
	"slices"
)

// Top finds who has most of a sum, in bounded memory: space-saving counters (Metwally, Agrawal and El Abbadi, 2005), in
// two windows, the present and the one before, so that what is past fades within two. Each counter is over by at most
// N/k of its window's sum N with k counters, and an id that has more than that is among them.
type Top struct {
	window    int64
	begin     int64
	now, then saving
}

// Share is one id's part.
type Share struct {
	ID         uint64
	Sum, Error uint64 // it has at least Sum-Error
}

// NewTop makes one of k counters a window.
func NewTop(k int, window int64) *Top {
	return &Top{window: window, now: newSaving(k), then: newSaving(k)}
}

// Add counts n for an id.
func (t *Top) Add(at int64, id uint64, n uint64) {
	t.move(at)
	t.now.add(id, n)
}

func (t *Top) move(at int64) {
	switch gone := at - t.begin; {
	case gone < 0 || gone >= 2*t.window: // a clock that jumped, or nothing for long
		t.now.clear()
		t.then.clear()
		t.begin = at
	case gone >= t.window:
		t.now, t.then = t.then, t.now
		t.now.clear()
		t.begin += t.window
	}
}

// Greatest tells the n ids with the greatest sums of the last window: the present one, and as much of the one before as
// is not past.
func (t *Top) Greatest(at int64, n int) []Share {
	t.move(at)
	left := 1 - float64(at-t.begin)/float64(t.window)
	all := map[uint64]Share{}
	for _, c := range t.now.heap {
		all[c.id] = Share{c.id, c.sum, c.over}
	}
	for _, c := range t.then.heap {
		s := all[c.id]
		all[c.id] = Share{c.id, s.Sum + uint64(left*float64(c.sum)), s.Error + uint64(left*float64(c.over))}
	}
	out := make([]Share, 0, len(all))
	for _, s := range all {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Share) int { return cmp.Or(cmp.Compare(b.Sum, a.Sum), cmp.Compare(a.ID, b.ID)) })
	return out[:min(n, len(out))]
}

type counter struct{ id, sum, over uint64 }

// saving is a min-heap of counters, with each id's place in an open table of twice as many slots.
type saving struct {
	heap  []counter
	most  int
	table []int32 // place in the heap and one, 0 for free
	mask  uint64
}

func newSaving(k int) saving {
	n := 4
	for n < 2*k {
		n *= 2
	}
	return saving{most: k, heap: make([]counter, 0, k), table: make([]int32, n), mask: uint64(n - 1)}
}

func (s *saving) clear() {
	s.heap = s.heap[:0]
	clear(s.table)
}

func (s *saving) home(id uint64) uint64 { return id * 0x9e3779b97f4a7c15 >> 20 & s.mask }

// find tells the slot of an id, or the free one where it would be.
func (s *saving) find(id uint64) uint64 {
	i := s.home(id)
	for s.table[i] != 0 && s.heap[s.table[i]-1].id != id {
		i = (i + 1) & s.mask
	}
	return i
}

// remove frees an id's slot and closes the gap that it leaves (Knuth 6.4, algorithm R).
func (s *saving) remove(id uint64) {
	i := s.find(id)
	for j := i; ; {
		s.table[i] = 0
		for {
			j = (j + 1) & s.mask
			if s.table[j] == 0 {
				return
			}
			home := s.home(s.heap[s.table[j]-1].id)
			if (j-home)&s.mask >= (j-i)&s.mask { // it may stand at i
				break
			}
		}
		s.table[i] = s.table[j]
		i = j
	}
}

func (s *saving) add(id, n uint64) {
	slot := s.find(id)
	switch place := int(s.table[slot]) - 1; {
	case place >= 0:
		s.heap[place].sum += n
		s.down(place)
	case len(s.heap) < s.most:
		s.heap = append(s.heap, counter{id, n, 0})
		s.table[slot] = int32(len(s.heap))
		s.up(len(s.heap) - 1)
	default: // the least gives way, and its sum is what the new one may be over by
		least := s.heap[0]
		s.remove(least.id)
		s.heap[0] = counter{id, least.sum + n, least.sum}
		s.table[s.free(id)] = 1
		s.down(0)
	}
}

// free is the first free slot for an id that is not there.
func (s *saving) free(id uint64) uint64 {
	i := s.home(id)
	for s.table[i] != 0 {
		i = (i + 1) & s.mask
	}
	return i
}

func (s *saving) swap(i, j int) {
	a, b := s.find(s.heap[i].id), s.find(s.heap[j].id)
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.table[a], s.table[b] = int32(j+1), int32(i+1)
}

func (s *saving) up(i int) {
	for i > 0 && s.heap[i].sum < s.heap[(i-1)/2].sum {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *saving) down(i int) {
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
