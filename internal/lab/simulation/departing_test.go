package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// leaving is what a host's call gets that says that it leaves, from one control process, and how long that takes.
func (h *Harbour) leaving(at int, q *Quay, sequence int, call string) (int, time.Duration) {
	body, _ := json.Marshal(map[string]any{"address": q.Address, "information": map[string]any{"service": q.Service, "version": q.Version, "zone-name": q.Zone,
		"slot-count": 3}, "current-status": map[string]any{"server-state": "draining", "sequence": sequence, "cold-remaining-s": 0}})
	if call == "instances.leave" {
		body = nil
	}
	began := time.Now()
	status, _ := h.askOf(at, call, q.ID, body)
	return status, time.Since(began)
}

// A host that leaves is answered once more than half of the core has heard of it: it ends on that answer. One that was cut off
// a moment ago and doesn't know it answers nothing; the host goes on to another process.
func TestLeavesOnceMostHaveHeard(t *testing.T) {
	for _, call := range []string{"instances.heartbeat", "instances.leave"} {
		t.Run(call, func(t *testing.T) {
			l := small
			l.Zones, l.Rate = 6, 2
			day(t, l, 22*time.Second, func(c *qt.C, h *Harbour) {
				ours := func(z int) (all []*Quay) {
					for _, q := range h.Quays {
						if q.Zone == zone(z) {
							all = append(all, q)
						}
					}
					return all
				}
				calm := ours(4)[0]
				calm.Drain()
				status, took := h.leaving(4, calm, 1000, call)
				c.Check(status, qt.Equals, 200)
				c.Check(took < 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v in a calm", took)) // a round trip between regions
				status, took = h.leaving(4, calm, 1001, call)
				c.Check(status, qt.Equals, 200)
				c.Check(took < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v once more", took)) // it is known: the connection and the call alone

				q := ours(5)[0]
				h.part(h.Masters[5], true)
				time.Sleep(100 * time.Millisecond)
				c.Check(h.Masters[5].Standing(), qt.Equals, "in touch") // as far as it knows
				for n := range 3 {
					status, took := h.leaving(5, q, 1000+n, call)
					c.Check(status, qt.Equals, 503, qt.Commentf("try %d", n))
					c.Check(took < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v while it is cut off", took))
				}
				status, _ = h.leaving(0, q, 1003, call)
				c.Check(status, qt.Equals, 200)
				h.part(h.Masters[5], false)
				time.Sleep(4 * time.Second)
				status, _ = h.leaving(5, q, 1004, call)
				c.Check(status, qt.Equals, 200)
			}, 0.96)
		})
	}
}

// The same by the host's own beats: it says that it leaves to the process of its zone right after that was cut off, ends when
// its time is over, and no router of another zone may have sent it anything later than drain-limit-s after its answer.
func TestDrainsBesideACut(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := small
			l.Zones, l.Rate, l.Seed = 6, 2, seed+1
			day(t, l, 20*time.Second, func(c *qt.C, h *Harbour) {
				h.part(h.Masters[5], true)
				for _, q := range h.Quays {
					if q.Zone == zone(5) {
						q.Drain()
					}
				}
				h.Host("desk", 5, "v1", 0)
				h.Host("desk", 5, "v1", 0)
				time.Sleep(10 * time.Second)
				h.part(h.Masters[5], false)
			}, 0.96)
		})
	}
}

// Two control processes are cut off together. The host's word comes to one, which can't tell more than half of it and answers 503, but
// tells the other; to which the host goes next. That one answers 503 too, whatever it knows by the first: routers that hang on the
// other four haven't heard. It does so for a beat that comes again as it was as well.
func TestLeavesTwoCutOff(t *testing.T) {
	for _, call := range []string{"instances.heartbeat", "instances.leave"} {
		t.Run(call, func(t *testing.T) {
			l := small
			l.Zones, l.Rate = 6, 2
			day(t, l, 14*time.Second, func(c *qt.C, h *Harbour) {
				q := h.Quays[len(h.Quays)-1]
				cut := func(on bool) {
					for _, m := range h.Masters[:4] {
						h.Sea.Cut(h.Masters[4].Boot.IP, m.Boot.IP, on)
						h.Sea.Cut(h.Masters[5].Boot.IP, m.Boot.IP, on)
					}
				}
				cut(true)
				time.Sleep(50 * time.Millisecond)
				for _, at := range []int{5, 4, 5} {
					c.Check(h.Masters[at].Standing(), qt.Equals, "in touch") // as far as it knows
					status, took := h.leaving(at, q, 1000, call)
					c.Check(status, qt.Equals, 503, qt.Commentf("at %d", at))
					c.Check(took < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
				}
				status, _ := h.leaving(0, q, 1000, call)
				c.Check(status, qt.Equals, 200)
				cut(false)
				time.Sleep(4 * time.Second)
				for _, at := range []int{4, 5} {
					status, _ = h.leaving(at, q, 1000, call)
					c.Check(status, qt.Equals, 200, qt.Commentf("at %d", at))
				}
				status, took := h.leaving(5, q, 1000, call)
				c.Check(status, qt.Equals, 200)
				c.Check(took < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v once more", took)) // it is known here: the connection and the call alone
			}, 0.9)
		})
	}
}

// A host is sent to the control process of its zone only while that takes beats: not while it ends, which it takes a while for, nor once it
// has started and isn't in touch yet; then again. Else it would be told of anew to all by whoever it comes to each time.
func TestBeatsGoWhereTheyAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := small
		l.Zones, l.Rate = 5, 2 // of an odd core nobody is voted out for ending
		h := opened(c, l)
		time.Sleep(4 * time.Second)
		m, sequence := h.Masters[4], 1000
		to := func() string {
			sequence++
			status, raw := h.askOf(0, "instances.heartbeat", "i-more", fmt.Appendf(nil, `{"address":"10.5.64.250:9000","information":{"service":"desk","version":"v1",`+
				`"zone-name":%q,"slot-count":3},"current-status":{"server-state":"ready","sequence":%d,"cold-remaining-s":0}}`, m.Boot.Zone, sequence))
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			var v map[string]string
			c.Assert(json.Unmarshal(raw, &v), qt.IsNil)
			return v["heartbeat-address"]
		}
		c.Check(to(), qt.Equals, m.Boot.ListenAddresses["control"])
		done := make(chan bool)
		go func() { m.running.Leave(); close(done) }()
		time.Sleep(100 * time.Millisecond) // the others have heard that it ends
		for ended := false; !ended; {
			c.Check(to(), qt.Equals, "")
			select {
			case <-done:
				ended = true
			case <-time.After(50 * time.Millisecond):
			}
		}
		m.Kill()
		time.Sleep(300 * time.Millisecond)
		m.mustStart()
		for m.Standing() != "in touch" {
			if at := to(); m.Standing() != "in touch" { // the call takes a while
				c.Check(at, qt.Equals, "")
			}
			time.Sleep(20 * time.Millisecond)
		}
		until(c, 3*time.Second, "sent there again", func() bool { return to() == m.Boot.ListenAddresses["control"] })
	})
}
