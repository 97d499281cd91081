package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/testing/digest"
)

// Pins the outcomes, start times and items of rollouts under random votes and restarts. The digests depend on the field order of Rollout
// and on the numbers of states and verdicts, not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"a0628c9af92d80cc", "1bce1d63f50d1d08", "918134cf7793d490"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		starts, peer := StartTimes{}, StartTimes{}
		proxies := []update.Proxy{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		initial := config.Item{Body: []byte(`{"version":"v0"}`)}
		now := 1000 * s
		r := Rollout{Service: "desk"}
		for n := range 80 {
			now += draw.Int64N(2 * s)
			if r.State != Running && draw.IntN(3) == 0 {
				r = r.Next()
				r.Service, r.From, r.Target = "desk", fmt.Sprint("v", n), fmt.Sprint("v", n+1)
				r.StartedAt, r.ClocksAgreed, r.Duration, r.State = now, draw.IntN(2) == 0, (2+draw.Int64N(20))*s, Running
			}
			starts.Observe(now, r, draw.IntN(4) > 0)
			peer.Observe(now, r, draw.IntN(2) == 0)
			for _, start := range peer.Announcements(now, 30*s) {
				d.Add(start)
				starts.Merge(start)
			}
			offsets := []int64{0, draw.Int64N(s) - s/2, draw.Int64N(s), draw.Int64N(3600 * s)}
			wallClock, agreed := WallClock(now, offsets[:1+draw.IntN(4)], 3+draw.IntN(3))
			if d.Add(wallClock, agreed); agreed {
				starts.AdjustToWallClock(now, wallClock, r)
			}
			var votes []update.Vote
			for range draw.IntN(4) {
				votes = append(votes, update.Vote{Proxy: []string{"a", "b", "c", "x"}[draw.IntN(4)], Service: "desk", Number: r.Number - uint64(draw.IntN(8)/7),
					Verdict: uint8(draw.IntN(3)), ReceivedAt: now - draw.Int64N(3*s)})
			}
			localized := starts.Localize(now, r)
			state := Decide(now, localized, votes, proxies, draw.IntN(3))
			d.Add(localized, state, starts.SwitchingSince(now, r), SwitchComplete(now, starts.SwitchingSince(now, r), draw.IntN(3)), Digest(r.Target, r.Duration))
			if r.State == Running && state != Running {
				r.State, r.EndedAt, r.Switching = state, now, state == Completed
			} else if r.Switching && draw.IntN(3) == 0 {
				r.Switching = false
			}
			d.Add(r.Item(), FromItem(r.Item()), r.StableBuild(), r.ID(), r.VisibleState(), r.VisibleState().String(), ParseState(r.VisibleState().String()), StableVersion(initial, r), r.DecisionInput(now, draw.Float64()))
			if draw.IntN(12) == 0 {
				starts = StartTimes{}
			}
		}
	})
}
