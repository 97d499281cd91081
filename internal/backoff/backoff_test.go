package backoff

import (
	"testing"
	"time"

	"portflow/internal/random"
)

// Three hundred routers that lost a peer at the same moment once called it again all at once, time after time. Their calls are
// spread: in no tenth of the time that they take are more than three times as many as if they were even.
func TestDelaysSpreadCallsOfFleet(t *testing.T) {
	const routers = 300
	var callTimes [routers]time.Duration
	var backoffs [routers]Backoff
	for i := range backoffs {
		backoffs[i].Source = random.Source{Seed: uint64(i) * 77}
	}
	for failures := 1; failures < 9; failures++ {
		var first, last time.Duration = 1 << 62, 0
		for i := range backoffs {
			callTimes[i] += backoffs[i].Delay(failures)
			first, last = min(first, callTimes[i]), max(last, callTimes[i])
		}
		var tenths [11]int
		for _, x := range callTimes {
			tenths[10*(x-first)/(last-first)]++
		}
		for i, n := range tenths {
			if n > routers/10*3 {
				t.Errorf("after %d failures %d of %d in the tenth %d from %v to %v", failures, n, routers, i, first, last)
			}
		}
		if last-first < initialDelay/2 {
			t.Errorf("after %d failures all within %v", failures, last-first)
		}
	}
}

// Delays stay within their bounds after any number of failures.
func TestDelayBounds(t *testing.T) {
	var b Backoff
	for failures := range 100 {
		if d := b.Delay(failures); d < initialDelay/2 || d > maxDelay*3/2 {
			t.Error(failures, d)
		}
	}
}
