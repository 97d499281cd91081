package pacing

import (
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// What is decided for drawn fleets is what it was.
func TestTrace(t *testing.T) {
	digest.Pin(t, 200, []string{"f4764bfba2b1f742", "6aaae0744ab2f4c4"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		c := Calls{Every: draw.Int64N(20e9), Routers: draw.IntN(500)}
		d.Add(c.Spread(), c.First(draw.Float64()))
		for failures := range 12 {
			d.Add(c.Again(failures, draw.Float64()))
		}
		hosts, rank := 1+draw.IntN(60), draw.IntN(500)
		d.Add(Ahead(draw.Float64()*1e4, draw.Float64(), draw.IntN(300)), Order(hosts, rank))
		n := Nth(hosts, draw.Float64()*100)
		d.Add(n, First(n, rank))
	})
}
