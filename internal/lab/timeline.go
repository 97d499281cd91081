// Package lab runs experiments with the router, its retry guard and quotas. Emulators in virtual time drive the real dispatcher, decision
// engine, retry guard and quota code at sizes that are impractical on sockets; smaller experiments run on loopback. Each experiment has
// a type (StormExperiment, QuotaExperiment, FleetExperiment, FlowExperiment) and a result type. No production process uses this
// package. Start reading at Emulate.
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

// timeline is an event queue in virtual time. Events at the same time run in the order in which they were scheduled.
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

// after schedules act in wait nanoseconds, or at the current time if wait is negative.
func (t *timeline) after(wait int64, act func()) {
	t.sequence++
	heap.Push(t, event{t.now + max(0, wait), t.sequence, act})
}

// run runs the events up to and including the time until.
func (t *timeline) run(until int64) {
	for len(t.heap) > 0 && t.heap[0].at <= until {
		e := heap.Pop(t).(event)
		t.now = e.at
		e.run()
	}
}

// steppedRouter runs the events and timers of a dispatcher on a timeline until it is stopped.
type steppedRouter struct {
	timeline *timeline
	router   *dispatch.Dispatcher
	wakeAt   int64 // time of the earliest scheduled wake-up, 0 for none
	stopped  bool
}

// post sends the router an event after wait nanoseconds.
func (s *steppedRouter) post(wait int64, e dispatch.Event) {
	s.timeline.after(wait, func() {
		if !s.stopped {
			s.router.Post(e)
			s.pump()
		}
	})
}

// pump runs the router until it has nothing left to do, and schedules a wake-up for its next timer.
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
