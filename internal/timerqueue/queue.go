// Package timerqueue keeps things in the order of the times at which they fall due.
package timerqueue

import "container/heap"

// Item is one entry of a Queue; its holder keeps it to take it out again.
type Item[T any] struct {
	Value    T
	at       int64
	sequence uint64
	index    int
}

type itemHeap[T any] []*Item[T]

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
	(*h)[last] = nil
	*h = (*h)[:last]
	item.index = -1
	return item
}

// Queue orders its items by time, and those of one time by when they were added.
type Queue[T any] struct {
	items    itemHeap[T]
	sequence uint64
}

// Add puts v in at the time at.
func (q *Queue[T]) Add(at int64, v T) *Item[T] {
	q.sequence++
	item := &Item[T]{Value: v, at: at, sequence: q.sequence}
	heap.Push(&q.items, item)
	return item
}

// Remove takes it out; an item that is nil or no longer in the queue is passed over.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item != nil && item.index >= 0 {
		heap.Remove(&q.items, item.index)
	}
}

// Next tells the earliest time in the queue.
func (q *Queue[T]) Next() (at int64, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// PopDue removes and returns the earliest value that is due at now.
func (q *Queue[T]) PopDue(now int64) (v T, ok bool) {
	if at, any := q.Next(); !any || at > now {
		return v, false
	}
	return heap.Pop(&q.items).(*Item[T]).Value, true
}
