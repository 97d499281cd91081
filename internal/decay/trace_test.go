package decay

import (
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// TestTrace pins the sums of random events, to the last bit.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"808ed13ba0c9a05f", "704f8e3f834634d2"}, func(seed uint64, d *digest.Digest) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var s Sum
		now := int64(0)
		for range 200 {
			now += rng.Int64N(2e9) - 2e8
			if rng.IntN(3) == 0 {
				s.Decay(now, 5e9)
			} else {
				s.Add(now, 5e9, rng.Float64())
			}
			d.Add(s.Count, s.Total)
		}
	})
}
