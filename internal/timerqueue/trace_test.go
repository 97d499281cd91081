package timerqueue

import (
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// TestTrace pins which values are due, and when, for random additions, removals and times.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"00cbf86622887a52", "72263111d35126aa"}, func(seed uint64, d *digest.Digest) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var q Queue[int]
		var items []*Item[int]
		now := int64(0)
		for n := range 300 {
			switch rng.IntN(4) {
			case 0, 1:
				items = append(items, q.Add(now+rng.Int64N(20), n))
			case 2:
				if len(items) > 0 {
					q.Remove(items[rng.IntN(len(items))])
				}
			default:
				now += rng.Int64N(6)
				value, ok := q.PopDue(now)
				d.Add(value, ok)
			}
			at, ok := q.Next()
			d.Add(at, ok)
		}
	})
}
