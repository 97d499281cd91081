// Package lab runs experiments with designs: an emulator in virtual time that drives the program's own dispatcher, decisions and retry
// guard for sizes that sockets don't reach, and runs on loopback. It owns the experiments (StormExperiment, QuotaExperiment,
// FleetExperiment, FlowExperiment) and their results, and is no part of any process in service. Begin reading at Emulate.
package lab

import (
	"container/heap"

	"portflow/internal/dispatch"
)

type event struct {
	at       int64
	sequence uint64
	run      func()
}

// timeline runs what is due in the order of time, and of scheduling within one instant.
type timeline struct {
	now      int64
	sequence uint64
	heap     []event
}

func (t *timeline) Len() int { return len(t.heap) }
func (t *timeline) Less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
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
	t.sequence++
	heap.Push(t, event{t.now + max(0, wait), t.sequence, act})
}

func (t *timeline) run(until int64) {
	for len(t.heap) > 0 && t.heap[0].at <= until {
		e := heap.Pop(t).(event)
		t.now = e.at
		e.run()
	}
}

// steppedRouter is a router whose events and timers run on a timeline, until it is stopped.
type steppedRouter struct {
	timeline *timeline
	router   *dispatch.Dispatcher
	wakeAt   int64 // the earliest wake-up that is planned, 0 for none
	stopped  bool
}

// post sends the router an event after a delay.
func (s *steppedRouter) post(wait int64, e dispatch.Event) {
	s.timeline.after(wait, func() {
		if !s.stopped {
			s.router.Post(e)
			s.pump()
		}
	})
}

// pump lets the router do what it can do now, and schedules its next timer.
func (s *steppedRouter) pump() {
	for s.router.Step() {
	}
	t, due := s.timeline, s.router.NextTimer()
	if due == 0 || s.wakeAt != 0 && s.wakeAt <= due && s.wakeAt > t.now {
		return
	}
	s.wakeAt = due
	t.after(due-t.now, func() {
		if t.now >= s.wakeAt {
			s.wakeAt = 0
		}
		if !s.stopped {
			s.pump()
		}
	})
}
