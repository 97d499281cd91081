package pacing

import (
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// TestTrace pins the delays, connection counts and subsets of random fleets.
func TestTrace(t *testing.T) {
	digest.Pin(t, 200, []string{"f4764bfba2b1f742", "6aaae0744ab2f4c4"}, func(seed uint64, d *digest.Digest) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := Calls{Interval: rng.Int64N(20e9), Callers: rng.IntN(500)}
		d.Add(c.Spread(), c.FirstDelay(rng.Float64()))
		for failures := range 12 {
			d.Add(c.RetryDelay(failures, rng.Float64()))
		}
		hosts, rank := 1+rng.IntN(60), rng.IntN(500)
		d.Add(PreconnectCount(rng.Float64()*1e4, rng.Float64(), rng.IntN(300)), PreconnectOrder(hosts, rank))
		stride := SubsetStride(hosts, rng.Float64()*100)
		d.Add(stride, SubsetOffset(stride, rank))
	})
}
