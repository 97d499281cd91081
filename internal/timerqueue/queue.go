// Package timerqueue provides a priority queue of values ordered by due time. It has no clock; callers pass the time in, in any unit.
package timerqueue

import "container/heap"

// Item is an entry of a Queue. Add returns it, so that it can be removed.
type Item[T any] struct {
	Value    T
	at       int64
	sequence uint64 // number of the Add call, orders items with the same time
	index    int    // position in the heap, -1 after removal
}

// itemHeap implements heap.Interface.
type itemHeap[T any] []*Item[T]

var _ heap.Interface = (*itemHeap[int])(nil)

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil // lets the garbage collector free the item
	*h = (*h)[:last]
	item.index = -1
	return item
}

// Queue orders items by time, and items with the same time by the order in which they were added. The zero Queue is empty. It is
// not safe for concurrent use.
type Queue[T any] struct {
	items    itemHeap[T]
	sequence uint64
}

// Add adds a value that is due at the given time, and returns its item.
func (q *Queue[T]) Add(at int64, v T) *Item[T] {
	q.sequence++
	item := &Item[T]{Value: v, at: at, sequence: q.sequence}
	heap.Push(&q.items, item)
	return item
}

// Remove removes an item. It ignores nil, and items that are no longer in the queue.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item != nil && item.index >= 0 {
		heap.Remove(&q.items, item.index)
	}
}

// Next returns the time of the earliest item; ok is false if the queue is empty.
func (q *Queue[T]) Next() (at int64, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// PopDue removes and returns the earliest value if it is due at or before now; ok is false if none is.
func (q *Queue[T]) PopDue(now int64) (v T, ok bool) {
	at, ok := q.Next()
	if !ok || at > now {
		return v, false
	}
	return heap.Pop(&q.items).(*Item[T]).Value, true
}
