package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// Pins the outcome of random events and random response headers. The digests depend on the numeric values of Event, Phase and
// Execution and on error texts, not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 100, []string{"a08f2ded2db8c31a", "db9ebe84086fe064", "64ba2b0625c33b56"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		r := Request{Idempotent: draw.IntN(2) == 0}
		for range 200 {
			ok := true
			switch draw.IntN(12) {
			case 0, 1, 2:
				r, ok = r.Begin()
			case 3:
				if draw.IntN(4) == 0 {
					r = r.Settle()
				}
			case 4:
				a := Answer{Status: []int{200, 204, 408, 421, 429, 500, 503}[draw.IntN(7)], NotRun: draw.IntN(3) == 0,
					Sealed: draw.IntN(2) == 0, Encoded: draw.IntN(6) == 0}
				for range draw.IntN(3) {
					a.IDs = append(a.IDs, fmt.Sprint(draw.IntN(2)))
				}
				e, err := Classify([]string{"", "0", "1"}[draw.IntN(3)], a)
				d.Add(e, err, PromisesNotRun(a.Status))
			default:
				events := Events()
				r, ok = r.Apply(events[draw.IntN(len(events))])
			}
			last := r.Current()
			d.Add(ok, r.Execution(), last.Phase, last.Execution, r.MayRefuse(), r.MayAttempt(), r.Settled)
			if draw.IntN(20) == 0 {
				r = Request{Idempotent: draw.IntN(2) == 0}
			}
		}
	})
}
