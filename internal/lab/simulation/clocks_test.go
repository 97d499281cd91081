package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/update"
	"portflow/internal/decision"
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

// rolling is a harbour of three control processes on which a rollout of 20 s runs, and what it stands as.
func rolling(c *qt.C, l Layout, before func(h *Harbour)) (h *Harbour, stands func() string) {
	l.Zones, l.Routers, l.Hosts = 3, 1, 1
	h = opened(c, l)
	before(h)
	status, _, answer := h.Order("rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":20}`), 5*time.Second, 0)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
	return h, func() string {
		var v map[string]string
		_, _, raw := h.Order("rollouts.read", "desk", nil, 3*time.Second, 0)
		json.Unmarshal(raw, &v)
		return v["server-state"]
	}
}

func (h *Harbour) part(m *Master, cut bool) {
	for _, x := range h.Masters {
		if x != m {
			h.Sea.Cut(m.Boot.IP, x.Boot.IP, cut)
		}
	}
}

// A rollout begins while two of three control processes hear each other whose clocks are an hour apart: no time of day can be
// told then. It runs for its term all the same, when the third comes back at once, or never.
func TestClocksDisagree(t *testing.T) {
	for _, apart := range []time.Duration{time.Hour, -time.Hour} {
		for _, back := range []bool{true, false} {
			t.Run(fmt.Sprint(apart, back), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					h, stands := rolling(c, small, func(h *Harbour) {
						m := h.Masters[1]
						m.Kill()
						m.Apart = apart
						m.mustStart()
						time.Sleep(2 * time.Second)
						h.part(h.Masters[2], true)
						time.Sleep(4 * time.Second)
					})
					time.Sleep(time.Second)
					if back {
						h.part(h.Masters[2], false)
					}
					for range 15 {
						time.Sleep(time.Second)
						c.Assert(stands(), qt.Equals, "running")
					}
					time.Sleep(6 * time.Second)
					c.Check(stands(), qt.Equals, "rolled_back") // without votes, by its term
				})
			})
		}
	}
}

// All control processes are restarted in the middle of a rollout: nobody has run since it began. It ends by the time of day
// where they agree on that; else its term begins anew, so that it ends late and not early.
func TestAllRestartedAmidRollout(t *testing.T) {
	for _, apart := range []bool{false, true} {
		t.Run(fmt.Sprint("apart ", apart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := small
				l.Apart = apart
				h, stands := rolling(c, l, func(*Harbour) {})
				time.Sleep(8 * time.Second)
				for _, m := range h.Masters {
					m.Kill()
				}
				time.Sleep(time.Second)
				for _, m := range h.Masters {
					m.mustStart()
				}
				time.Sleep(6 * time.Second)
				c.Check(stands(), qt.Equals, "running")
				time.Sleep(7 * time.Second) // 22 s after the beginning, 13 after the start
				c.Check(stands(), qt.Equals, map[bool]string{false: "rolled_back", true: "running"}[apart])
				time.Sleep(9 * time.Second)
				c.Check(stands(), qt.Equals, "rolled_back")
			})
		})
	}
}

// Who has heard that a rollout is completed hears nothing else from any other process, also from one that was cut off while it
// was decided and comes back: operators' word is decided as the end is, and by no clock.
func TestCompletedIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h, _ := rolling(c, Layout{Services: []string{"desk"}, Seed: 4}, func(*Harbour) {})
		late := h.Masters[2]
		read := func(at int) string {
			var v map[string]string
			_, raw := h.askOf(at, "rollouts.read", "desk", nil)
			json.Unmarshal(raw, &v)
			return v["server-state"]
		}
		time.Sleep(15 * time.Second)
		h.part(late, true)
		completed := false
		for range 60 {
			for _, f := range h.Fairways[:2] {
				f.Running.SendVote(update.Vote{Service: "desk", Number: 1, Verdict: uint8(decision.On)})
			}
			time.Sleep(100 * time.Millisecond)
			for at := range 2 {
				if s := read(at); completed {
					c.Assert(s, qt.Equals, "completed")
				} else {
					completed = s == "completed"
				}
			}
		}
		c.Assert(completed, qt.IsTrue)
		h.part(late, false)
		answers := 0
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if s := read(2); s != "" { // 503 until it has caught up
				answers++
				c.Assert(s, qt.Equals, "completed")
			}
		}
		c.Check(answers > 0, qt.IsTrue)
	})
}
