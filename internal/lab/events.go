// Package lab tries designs out: an emulator in virtual time that drives the program's own reducer, rules and guard
// for sizes that sockets don't reach, and runs on loopback. It is no part of a router.
package lab

import "container/heap"

type event struct {
	at    int64
	order uint64
	act   func()
}

// timeline plays what is due in the order of time, and of asking within one instant.
type timeline struct {
	now   int64
	count uint64
	heap  []event
}

func (t *timeline) Len() int { return len(t.heap) }
func (t *timeline) Less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (t *timeline) Swap(i, j int) { t.heap[i], t.heap[j] = t.heap[j], t.heap[i] }
func (t *timeline) Push(x any)    { t.heap = append(t.heap, x.(event)) }
func (t *timeline) Pop() any {
	last := len(t.heap) - 1
	e := t.heap[last]
	t.heap[last] = event{}
	t.heap = t.heap[:last]
	return e
}

func (t *timeline) after(wait int64, act func()) {
	t.count++
	heap.Push(t, event{t.now + max(0, wait), t.count, act})
}

func (t *timeline) run(until int64) {
	for len(t.heap) > 0 && t.heap[0].at <= until {
		e := heap.Pop(t).(event)
		t.now = e.at
		e.act()
	}
}
