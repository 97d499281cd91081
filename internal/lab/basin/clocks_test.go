package basin

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A rollout runs for its term, whatever the clocks of the control processes say: one whose clock has stepped by an hour, either
// way, is started in the middle of it, and takes no part in ending it early nor late.
func TestClocksApart(t *testing.T) {
	for at := range 2 {
		for _, apart := range []time.Duration{time.Hour, -time.Hour} {
			t.Run(fmt.Sprint(at, apart), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					l := small
					l.Zones, l.Routers, l.Hosts = 6, 1, 1
					h := opened(c, l)
					begin := []byte(`{"service":"desk","target-version":"v2","duration-s":20}`)
					status, _, answer := h.Order("rollouts.begin", "", begin, 3*time.Second, 2)
					c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
					time.Sleep(2 * time.Second)
					m := h.Masters[at] // the first member proposes; the second doesn't
					m.Kill()
					m.Apart = apart
					m.mustStart()
					stands := func() string {
						var v map[string]string
						_, _, raw := h.Order("rollouts.read", "desk", nil, 3*time.Second, 4)
						json.Unmarshal(raw, &v)
						return v["server-state"]
					}
					time.Sleep(10 * time.Second)
					c.Check(stands(), qt.Equals, "running")
					time.Sleep(12 * time.Second)
					c.Check(stands(), qt.Equals, "rolled_back") // without votes, by its term
				})
			})
		}
	}
}
