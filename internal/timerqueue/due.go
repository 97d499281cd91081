// Package timerqueue keeps things in the order of the times at which they fall due.
package timerqueue

import "container/heap"

// Item is one entry of a Queue; its holder keeps it to take it out again.
type Item[T any] struct {
	Value T
	at    int64
	order uint64
	place int
}

type entries[T any] []*Item[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e entries[T]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}
func (e *entries[T]) Push(x any) {
	it := x.(*Item[T])
	it.place = len(*e)
	*e = append(*e, it)
}
func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	it := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	it.place = -1
	return it
}

// Queue orders its items by time, and those of one time by when they were added.
type Queue[T any] struct {
	entries entries[T]
	order   uint64
}

// Add puts v in at the time at.
func (q *Queue[T]) Add(at int64, v T) *Item[T] {
	q.order++
	it := &Item[T]{Value: v, at: at, order: q.order}
	heap.Push(&q.entries, it)
	return it
}

// Remove takes it out; an item that is nil or no longer in the queue is passed over.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it != nil && it.place >= 0 {
		heap.Remove(&q.entries, it.place)
	}
}

// Next tells the earliest time in the queue.
func (q *Queue[T]) Next() (at int64, ok bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// Take removes and returns the earliest value that is due at now.
func (q *Queue[T]) Take(now int64) (v T, ok bool) {
	if at, any := q.Next(); !any || at > now {
		return v, false
	}
	return heap.Pop(&q.entries).(*Item[T]).Value, true
}
