package pacing

import (
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// What is decided for random fleets is unchanged.
func TestTrace(t *testing.T) {
	digest.Pin(t, 200, []string{"f4764bfba2b1f742", "6aaae0744ab2f4c4"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		c := Calls{Interval: draw.Int64N(20e9), Callers: draw.IntN(500)}
		d.Add(c.Spread(), c.FirstDelay(draw.Float64()))
		for failures := range 12 {
			d.Add(c.RetryDelay(failures, draw.Float64()))
		}
		hosts, rank := 1+draw.IntN(60), draw.IntN(500)
		d.Add(PreconnectCount(draw.Float64()*1e4, draw.Float64(), draw.IntN(300)), PreconnectOrder(hosts, rank))
		n := SubsetStride(hosts, draw.Float64()*100)
		d.Add(n, SubsetOffset(n, rank))
	})
}
