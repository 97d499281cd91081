package pacing

import (
	"slices"
	"testing"

	"portflow/internal/random"
	"portflow/internal/standin"
)

const second = int64(1e9)

// lastAnswerTime simulates a fleet whose routers all lose their subscriptions at time 0, and returns when the last one was answered.
// It stops after 300 s.
func lastAnswerTime(c Calls, service *standin.CallQueue) (last int64) {
	type caller struct {
		at       int64
		failures int
	}
	rng := random.Source{Seed: 7}
	var waiting []caller
	for range c.Callers {
		waiting = append(waiting, caller{at: c.FirstDelay(rng.Float64())})
	}
	for len(waiting) > 0 && last < 300*second {
		slices.SortFunc(waiting, func(a, b caller) int { return int(a.at - b.at) })
		first := &waiting[0]
		ok, answeredAt := service.Call(first.at)
		last = answeredAt
		if ok {
			waiting = waiting[1:]
			continue
		}
		first.failures++
		first.at = answeredAt + c.RetryDelay(first.failures, rng.Float64())
	}
	return last
}

// Guards against retries that keep a service overloaded: a service that can barely answer one call from each router per interval
// must soon have answered every router, whatever the size of the fleet, even though it queues more calls than it can answer in time.
func TestOverloadedService(t *testing.T) {
	for _, routers := range []int{3, 80, 300, 1000} {
		c := Calls{Interval: 10 * second, Callers: routers}
		service := &standin.CallQueue{ServiceNanos: min(second, 8*second/int64(routers)), MaxQueueNanos: 6 * second, CallerTimeout: 2 * second}
		if last := lastAnswerTime(c, service); last > 25*second || service.Calls > 3*routers+5 {
			t.Errorf("%d routers: last one answered after %.1f s; %d calls, %d late, %d rejected", routers, float64(last)/1e9, service.Calls, service.Late, service.Rejected)
		}
	}
}

// A small fleet needs only short delays, but must not retry at once, even if no interval is set.
func TestSmallFleetDelays(t *testing.T) {
	c := Calls{Interval: 10 * second, Callers: 3}
	if (Calls{Callers: 3}).RetryDelay(1, 0) < second/10 {
		t.Error("first retry is not delayed if no interval is set")
	}
	if c.FirstDelay(1) > second/2 || c.RetryDelay(9, 1) > 2*second {
		t.Error(c.FirstDelay(1), c.RetryDelay(9, 1))
	}
}
