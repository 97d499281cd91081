package backoff

import (
	"testing"
	"time"

	"portflow/internal/random"
)

// Guards against simultaneous retries by routers that lost a peer at the same moment: no tenth of the time from the first retry to the
// last may have more than three times its even share of the retries.
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
				t.Errorf("after %d failures: %d of %d calls in tenth %d of the time from %v to %v", failures, n, routers, i, first, last)
			}
		}
		if last-first < initialDelay/2 {
			t.Errorf("after %d failures: all calls within %v", failures, last-first)
		}
	}
}

// Delays must stay within their bounds after any number of failures.
func TestDelayBounds(t *testing.T) {
	var b Backoff
	for failures := range 100 {
		if d := b.Delay(failures); d < initialDelay/2 || d > maxDelay*3/2 {
			t.Error(failures, d)
		}
	}
}
