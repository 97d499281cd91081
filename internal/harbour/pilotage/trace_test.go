package pilotage

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
	"portflow/internal/testing/digest"
)

// Rollouts under drawn votes, ends and restarts of their watchers are judged and told as they were. The order of the fields of
// Rollout and the numbers of states and verdicts count; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"a0628c9af92d80cc", "1bce1d63f50d1d08", "918134cf7793d490"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		ages, other := Ages{}, Ages{}
		roster := []signals.Front{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		settled := manifest.Item{Body: []byte(`{"version":"v0"}`)}
		now := 1000 * s
		r := Rollout{Service: "desk"}
		for n := range 80 {
			now += draw.Int64N(2 * s)
			if r.State != Running && draw.IntN(3) == 0 {
				r = r.Next()
				r.Service, r.From, r.Target = "desk", fmt.Sprint("v", n), fmt.Sprint("v", n+1)
				r.Began, r.Dated, r.Term, r.State = now, draw.IntN(2) == 0, (2+draw.Int64N(20))*s, Running
			}
			ages.Take(now, r, draw.IntN(4) > 0)
			other.Take(now, r, draw.IntN(2) == 0)
			for _, since := range other.Told(now, 30*s) {
				d.Add(since)
				ages.Hear(since)
			}
			apart := []int64{0, draw.Int64N(s) - s/2, draw.Int64N(s), draw.Int64N(3600 * s)}
			day, agreed := Day(now, apart[:1+draw.IntN(4)], 3+draw.IntN(3))
			if d.Add(day, agreed); agreed {
				ages.Date(now, day, r)
			}
			var votes []signals.Poll
			for range draw.IntN(4) {
				votes = append(votes, signals.Poll{Front: []string{"a", "b", "c", "x"}[draw.IntN(4)], Service: "desk", Order: r.Order - uint64(draw.IntN(8)/7),
					Verdict: uint8(draw.IntN(3)), At: now - draw.Int64N(3*s)})
			}
			here := ages.Here(now, r)
			state := Judge(now, here, votes, roster, draw.IntN(3))
			d.Add(here, state, ages.Switched(now, r), Vacated(now, ages.Switched(now, r), draw.IntN(3)), Asked(r.Target, r.Term))
			if r.State == Running && state != Running {
				r.State, r.Ended, r.Switching = state, now, state == Completed
			} else if r.Switching && draw.IntN(3) == 0 {
				r.Switching = false
			}
			d.Add(r.Item(), Read(r.Item()), r.Build(), r.ID(), r.Told(), r.Told().String(), Parse(r.Told().String()), Settled(settled, r), r.News(now, draw.Float64()))
			if draw.IntN(12) == 0 {
				ages = Ages{}
			}
		}
	})
}
