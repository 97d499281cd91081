package backoff

import (
	"testing"
	"time"

	"portflow/internal/random"
)

// Three hundred routers that lost a peer in the same moment once asked it again all at once, time after time. They come
// back spread: in no tenth of the time that they take come more than twice as many as if they came evenly.
func TestFleetComesBackSpread(t *testing.T) {
	const routers = 300
	var at [routers]time.Duration
	var draws [routers]Backoff
	for i := range draws {
		draws[i].Source = random.Source{Seed: uint64(i) * 77}
	}
	for failures := 1; failures < 9; failures++ {
		var least, most time.Duration = 1 << 62, 0
		for i := range draws {
			at[i] += draws[i].Delay(failures)
			least, most = min(least, at[i]), max(most, at[i])
		}
		var tenths [11]int
		for _, x := range at {
			tenths[10*(x-least)/(most-least)]++
		}
		for i, n := range tenths {
			if n > routers/10*3 {
				t.Errorf("after %d failures %d of %d in the part %d from %v to %v", failures, n, routers, i, least, most)
			}
		}
		if most-least < initialDelay/2 {
			t.Errorf("after %d failures all within %v", failures, most-least)
		}
	}
}

func TestBound(t *testing.T) {
	var w Backoff
	for failures := range 100 {
		if d := w.Delay(failures); d < initialDelay/2 || d > maxDelay*3/2 {
			t.Error(failures, d)
		}
	}
}
