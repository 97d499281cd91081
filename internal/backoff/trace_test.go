package backoff

import (
	"testing"

	"portflow/internal/random"
	"portflow/internal/testing/digest"
)

// TestTrace pins the delays of each seed.
func TestTrace(t *testing.T) {
	digest.Pin(t, 100, []string{"202966548be4c4ed", "97bb376050d00e6d"}, func(seed uint64, d *digest.Digest) {
		b := Backoff{Source: random.Source{Seed: seed}}
		for n := range 50 {
			d.Add(int64(b.Delay(n % 15)))
		}
	})
}
