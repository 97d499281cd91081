package pacing

import (
	"slices"
	"testing"

	"portflow/internal/random"
	"portflow/internal/standin"
)

const second = int64(1e9)

// run lets a fleet ask that has lost its watches at the same moment, and tells when the last was served.
func run(c Calls, s *standin.CallQueue) (last int64) {
	type caller struct {
		at       int64
		failures int
	}
	draw := random.Source{Seed: 7}
	var waits []caller
	for range c.Callers {
		waits = append(waits, caller{at: c.FirstDelay(draw.Float64())})
	}
	for len(waits) > 0 && last < 300*second {
		slices.SortFunc(waits, func(a, b caller) int { return int(a.at - b.at) })
		w := waits[0]
		ok, answered := s.Call(w.at)
		if last = answered; ok {
			waits = waits[1:]
			continue
		}
		waits[0].failures++
		waits[0].at = answered + c.RetryDelay(waits[0].failures, draw.Float64())
	}
	return last
}

// A service that can just take one call of each router in the time that is expected of it has them all soon, however
// many they are and though it takes more calls than it can answer in time. Routers that asked again after a second
// on average never got through: the calls kept coming faster than it served any in time.
func TestOverloadedService(t *testing.T) {
	for _, routers := range []int{3, 80, 300, 1000} {
		c := Calls{Interval: 10 * second, Callers: routers}
		s := &standin.CallQueue{ServiceNanos: min(second, 8*second/int64(routers)), MaxQueueNanos: 6 * second, CallerTimeout: 2 * second}
		if last := run(c, s); last > 25*second || s.Calls > 3*routers+5 {
			t.Errorf("%d routers: the last after %.1f s, %d calls, %d late, %d refused", routers, float64(last)/1e9, s.Calls, s.Late, s.Rejected)
		}
	}
}

func TestFewNeedNotWait(t *testing.T) {
	c := Calls{Interval: 10 * second, Callers: 3}
	if (Calls{Callers: 3}).RetryDelay(1, 0) < second/10 {
		t.Error("asks again at once where the settings say nothing")
	}
	if c.FirstDelay(1) > second/2 || c.RetryDelay(9, 1) > 2*second {
		t.Error(c.FirstDelay(1), c.RetryDelay(9, 1))
	}
}
