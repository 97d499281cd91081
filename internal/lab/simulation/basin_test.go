package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
	"portflow/internal/control/server"
)

var small = Layout{Zones: 4, Routers: 2, Hosts: 2, Services: []string{"desk"}, Work: 80 * time.Millisecond, Slots: 3, Rate: 4, Seed: 1}

var (
	look  = Route{Name: "safe-look", Prefix: "/look/", Service: "desk", Version: "00000001", Safe: true}
	issue = Route{Name: "issue", Prefix: "/issue/", Service: "desk", Version: "00000001"}
)

// opened is a harbour that has been started and has taken a configuration with two routes; it is stopped at the test's end.
func opened(c *qt.C, l Layout) *Harbour {
	h := New(l)
	c.Assert(h.Start(), qt.IsNil)
	c.Cleanup(h.Stop)
	time.Sleep(2 * time.Second)
	configure(c, h, h.Configure(true, look, issue), 0)
	return h
}

// configure sends a change to one control process, and to others where that doesn't take it.
func configure(c *qt.C, h *Harbour, change []byte, first int) {
	status, _, answer := h.Order("configuration.modify", "", change, 5*time.Second, first)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
}

// day plays a day on a harbour in virtual time: it is started, configured, has traffic in all zones for so long, and what
// happens happens beside that. At the end no rule may be broken.
func day(t *testing.T, l Layout, lasts time.Duration, happens func(c *qt.C, h *Harbour), good float64) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := opened(c, l)
		time.Sleep(2 * time.Second)
		var tally Tally
		for z := range l.Zones {
			h.Traffic(&tally, z, look, 2*l.Rate, lasts)
			h.Traffic(&tally, z, issue, l.Rate, lasts)
		}
		time.Sleep(time.Second)
		happens(c, h)
		h.all.Go(func() { time.Sleep(lasts + 4*time.Second) })
		time.Sleep(lasts + 4*time.Second)
		served, asked, how := tally.Counts()
		c.Logf("%d of %d good: %s", served, asked, how)
		c.Check(h.Judge(), qt.HasLen, 0)
		c.Check(float64(served) >= good*float64(asked), qt.IsTrue, qt.Commentf("%d of %d good: %s", served, asked, how))
	})
}

func TestCalmDay(t *testing.T) {
	day(t, small, 6*time.Second, func(c *qt.C, h *Harbour) {}, 1)
}

func TestRouterRestarted(t *testing.T) {
	day(t, small, 10*time.Second, func(c *qt.C, h *Harbour) {
		for _, f := range h.Fairways[:3] {
			f.Kill()
			time.Sleep(500 * time.Millisecond)
			c.Assert(f.Start(), qt.IsNil)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for _, f := range h.Fairways {
			c.Check(f.Running.Ready(), qt.IsTrue)
		}
	}, 0.95)
}

// A core process loses its disk right after it acknowledged, and all others lose power: what was acknowledged stands, and
// the one without a disk counts only once it has it again.
func TestWipedAfterAcknowledging(t *testing.T) {
	day(t, small, 14*time.Second, func(c *qt.C, h *Harbour) {
		changed := issue
		changed.Version, changed.Prefix = "00000005", "/issued/"
		status, by, _ := h.Order("configuration.modify", "", h.Configure(false, changed), 3*time.Second, 2)
		c.Assert(status, qt.Equals, 200)
		for i, m := range h.Masters {
			m.Kill()
			if i == by {
				m.Disk.Wipe()
			} else {
				m.Disk.PowerLoss(i%2 == 0)
			}
		}
		time.Sleep(time.Second)
		c.Assert(h.Masters[by].Start(), qt.IsNil)
		time.Sleep(time.Second)
		c.Check(h.Masters[by].Standing(), qt.Equals, "adrift") // alone it knows nothing
		for i, m := range h.Masters {
			if i != by {
				c.Assert(m.Start(), qt.IsNil)
			}
		}
		time.Sleep(3 * time.Second)
		for _, m := range h.Masters {
			c.Check(m.Standing(), qt.Equals, "in touch")
		}
		for i := range h.Masters {
			status, at, answer := h.Order("configuration.read", "", nil, time.Second, i)
			c.Check(status, qt.Equals, 200)
			c.Check(at, qt.Equals, i)
			c.Check(string(answer), qt.Contains, "/issued/")
		}
	}, 0.5)
}

// A control process is cut off from the others and comes back: it takes no order meanwhile, and it must not tell of hosts
// that beat elsewhere. Its hosts go on to others, so that all are known throughout.
func TestControlProcessCutOff(t *testing.T) {
	l := small
	l.Zones = 6
	day(t, l, 19*time.Second, func(c *qt.C, h *Harbour) {
		cut := func(on bool) {
			for i := range 5 {
				h.Sea.Cut(h.Masters[5].Boot.IP, h.Masters[i].Boot.IP, on)
			}
		}
		cut(true)
		time.Sleep(7 * time.Second)
		c.Check(h.Masters[5].Standing(), qt.Equals, "alone")
		status, by, _ := h.Order("evacuation.begin", "z0", nil, 3*time.Second, 5)
		c.Check(status, qt.Equals, 200)
		c.Check(by, qt.Not(qt.Equals), 5)
		time.Sleep(time.Second)
		cut(false)
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			for _, f := range h.Fairways {
				usable := f.Running.UsableHosts("desk")
				c.Check(usable >= 10, qt.IsTrue, qt.Commentf("%s: %d of 12 hosts", f.Boot.Name, usable))
			}
		}
	}, 0.96)
}

// A version whose answers fail is rolled back, and a good one is completed by its term, with a control process lost in the
// middle; nothing reaches a version that is neither settled nor on trial.
func TestRollouts(t *testing.T) {
	for name, bad := range map[string]bool{"good": false, "bad": true} {
		t.Run(name, func(t *testing.T) {
			day(t, small, 22*time.Second, func(c *qt.C, h *Harbour) {
				var trial []*Quay
				for z := range h.Zones {
					q := h.Host("desk", z, "v2", time.Second)
					q.Fail = bad
					trial = append(trial, q)
				}
				time.Sleep(2 * time.Second)
				for _, q := range trial {
					c.Check(q.Ran(), qt.Equals, 0, qt.Commentf("before the order"))
				}
				status, _, _ := h.Order("rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":14}`), 2*time.Second, 1)
				c.Assert(status, qt.Equals, 200)
				time.Sleep(5 * time.Second)
				judged := 0 // by routers that vote: control shows what they go by
				for i := range h.Masters {
					_, _, answer := h.Order("harbour.read", "", nil, time.Second, i)
					var s server.ClusterStatus
					c.Assert(json.Unmarshal(answer, &s), qt.IsNil)
					for _, r := range s.Rollouts {
						for _, j := range r.Proxies {
							judged++
							c.Check(j.AgeSeconds < 5 && j.Outcomes[0] > 0, qt.IsTrue, qt.Commentf("%+v", j))
							c.Check(j.Excess[0]-j.Error[0] > j.Threshold[0], qt.Equals, bad, qt.Commentf("%+v", j))
						}
					}
				}
				c.Check(judged >= 2, qt.IsTrue, qt.Commentf("%d judges", judged))
				h.Masters[0].Kill()
				time.Sleep(4 * time.Second)
				runs := 0
				for _, q := range trial {
					runs += q.Ran()
				}
				c.Check(runs > 5 && runs < 90, qt.IsTrue, qt.Commentf("%d on trial", runs))
				time.Sleep(5 * time.Second)
				_, _, answer := h.Order("rollouts.read", "desk", nil, 2*time.Second, 2)
				want := map[bool]string{false: "completed", true: "rolled_back"}[bad]
				c.Check(string(answer), qt.Contains, want)
			}, 0.95)
		})
	}
}

// A host that fails most of what it is sent while its beats are good is set aside by what all routers of its zone see, has no
// requests until it is let back, and is used as others once it is well. One router alone sees too little: it only avoids it.
// All clocks may be apart.
func TestGreyHost(t *testing.T) {
	l := Layout{Zones: 3, Routers: 8, Hosts: 4, Services: []string{"desk"}, Work: 80 * time.Millisecond, Slots: 3, Rate: 20, Seed: 5}
	for _, l.Apart = range []bool{false, true} {
		t.Run(fmt.Sprint("apart ", l.Apart), func(t *testing.T) { greyHost(t, l) })
	}
}

func greyHost(t *testing.T, l Layout) {
	day(t, l, 18*time.Second, func(c *qt.C, h *Harbour) {
		q := h.Quays[0]
		set := func(part float64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			q.Grey = part
		}
		state := func() string {
			for i := range h.Masters {
				_, _, answer := h.Order("harbour.read", "", nil, time.Second, i)
				var s server.ClusterStatus
				c.Assert(json.Unmarshal(answer, &s), qt.IsNil)
				for _, x := range s.Instances {
					if x.ID == q.ID && x.State != "ready" {
						return x.State
					}
				}
			}
			return "ready"
		}
		c.Check(state(), qt.Equals, "ready")
		set(0.9)
		began := time.Now()
		for state() != "ready, set aside" && time.Since(began) < 8*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("set aside after %v", time.Since(began)))
		set(0)
		time.Sleep(300 * time.Millisecond)
		ran := q.Ran()
		time.Sleep(2 * time.Second)
		c.Check(q.Ran(), qt.Equals, ran, qt.Commentf("while it is set aside"))
		time.Sleep(6 * time.Second)
		c.Check(state(), qt.Equals, "ready")
		c.Check(q.Ran() > ran+5, qt.IsTrue, qt.Commentf("%d after %d", q.Ran(), ran))
	}, 0.97)
}

// A zone comes back cold while its routers restart: over all routers together its hosts get no more than they bear, though
// the routers' parts change hands. Of the last two seeds all clocks are apart.
func TestZoneBackCold(t *testing.T) {
	l := small
	l.Routers, l.Rate, l.Work = 3, 16, 40*time.Millisecond
	for seed := range uint64(6) {
		l.Seed, l.Apart = seed+1, seed >= 4
		day(t, l, 16*time.Second, func(c *qt.C, h *Harbour) {
			var ours []*Quay
			for _, q := range h.Quays {
				if q.Zone == "z1" {
					ours = append(ours, q)
				}
			}
			for _, q := range ours {
				q.Crash()
			}
			for _, f := range h.Fairways[3:6] {
				f.Kill()
			}
			time.Sleep(4 * time.Second)
			for range ours {
				h.Host("desk", 1, "v1", 4*time.Second)
			}
			for _, f := range h.Fairways[3:6] {
				time.Sleep(300 * time.Millisecond)
				c.Assert(f.Start(), qt.IsNil)
			}
			time.Sleep(6 * time.Second)
		}, 0.8)
	}
}

// What a client sends wrong gets its answer and no more than its time, and others are not delayed by it; foreign bytes on
// the internal ports are dropped and counted.
func TestBadInput(t *testing.T) {
	day(t, small, 20*time.Second, func(c *qt.C, h *Harbour) {
		f := h.Fairways[0]
		p := h.Sea.Process("10.1.201.1")
		long := strings.Repeat("x", 20000)
		for name, x := range map[string]struct {
			raw  string
			want string
		}{
			"fine":               {"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: safe-1\r\n\r\n", "200"},
			"no route":           {"GET /nowhere HTTP/1.1\r\nHost: desk.example\r\n\r\n", "404"},
			"no host":            {"GET /look/x HTTP/1.1\r\n\r\n", "400"},
			"no HTTP":            {"what is this\r\n\r\n", "400"},
			"time is no number":  {"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nTime-Remaining: soon\r\n\r\n", "400"},
			"two lengths":        {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"},
			"one length twice":   {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", "400"},
			"length and chunks":  {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
			"a body too long":    {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 99999999\r\n\r\nab", "413"},
			"a head too long":    {"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nX: " + long + "\r\n\r\n", "431"},
			"broken chunks":      {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
			"half a head":        {"GET /look/x HT", "400"},
			"half a body":        {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 20\r\n\r\nab", "400"},
			"nothing":            {"", "end"},
			"unknown coding":     {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: gzip\r\n\r\nab", "501"},
			"space in the field": {"GET /look/x HTTP/1.1\r\nHost : desk.example\r\n\r\n", "400"},
		} {
			h.mu.Lock()
			h.ended["safe-1"] = "200" // asked by hand
			h.mu.Unlock()
			began := time.Now()
			conn, err := p.Dial(context.Background(), "tcp", f.Boot.ListenAddresses["front"])
			c.Assert(err, qt.IsNil)
			conn.Write([]byte(x.raw))
			head := make([]byte, 12)
			conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			got := "end"
			if _, err := io.ReadFull(conn, head); err == nil {
				got = string(head[9:])
			}
			conn.Close()
			c.Check(got, qt.Equals, x.want, qt.Commentf(name))
			c.Check(time.Since(began) < 6*time.Second, qt.IsTrue, qt.Commentf("%s took %v", name, time.Since(began)))
		}
		before := stream.MalformedFrames.Load()
		conn, err := p.Dial(context.Background(), "tcp", net.JoinHostPort(h.Masters[0].Boot.IP, strconv.Itoa(firstPort)))
		c.Assert(err, qt.IsNil)
		conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		time.Sleep(time.Second)
		conn.Close()
		c.Check(stream.MalformedFrames.Load()-before, qt.Equals, int64(1))
		for call, want := range map[string]int{"nothing.known": 404, "instances.heartbeat": 400, "configuration.modify": 400, "rollouts.begin": 400} {
			status, _, _ := h.Order(call, "i", []byte(`{"half":`), time.Second, 0)
			c.Check(status, qt.Equals, want, qt.Commentf(call))
		}
	}, 0.99)
}

// A long answer is passed on as it comes, a little of it at a time in memory; one that breaks off never looks complete, and
// is not asked for again elsewhere.
func TestLongAnswers(t *testing.T) {
	for _, cut := range []int{0, 3 << 20} {
		day(t, small, 4*time.Second, func(c *qt.C, h *Harbour) {
			f := h.Fairways[0]
			for _, q := range h.Quays {
				q.Crash()
			}
			time.Sleep(4 * time.Second)
			for z := range h.Zones {
				q := h.Host("desk", z, "v1", 0)
				q.Long, q.Cut = 10<<20, cut
			}
			time.Sleep(2 * time.Second)
			client := h.client(h.Sea.Process("10.1.201.2"), 0)
			defer client.CloseIdleConnections()
			req, _ := http.NewRequest("GET", "http://"+f.Boot.ListenAddresses["front"]+"/look/x", nil)
			req.Host = "desk.example"
			req.Header.Set("Attempt-Id", "safe-long")
			h.mu.Lock()
			h.ended["safe-long"] = "200"
			h.mu.Unlock()
			resp, err := client.Do(req)
			c.Assert(err, qt.IsNil)
			n, err := io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			c.Check(err == nil, qt.Equals, cut == 0, qt.Commentf("%v", err))
			c.Check(n == 10<<20, qt.Equals, cut == 0, qt.Commentf("%d bytes", n))
			h.mu.Lock()
			defer h.mu.Unlock()
			c.Check(h.runs["safe-long"], qt.Equals, 1)
		}, 0)
	}
}

// A configuration that is taken while the lines of the core are still coming up is everywhere within a second, also at a
// control process that the order itself did not reach.
func TestChangeWhileLinesComeUp(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			l := small
			l.Zones, l.Routers, l.Hosts, l.Seed = 3, 1, 0, seed
			h := New(l)
			h.Sea.Delay = func(a, b string) time.Duration { return 100 * time.Microsecond }
			c.Assert(h.Start(), qt.IsNil)
			defer h.Stop()
			time.Sleep(time.Duration(seed) * 3 * time.Millisecond)
			status, _, answer := h.Order("configuration.modify", "", h.Configure(true, look, issue), 5*time.Second, int(seed)%3)
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
			time.Sleep(1100 * time.Millisecond)
			for _, f := range h.Fairways {
				c.Check(f.Running.RouteVersions(), qt.HasLen, 2, qt.Commentf("seed %d: %s", seed, f.Boot.Name))
			}
		})
	}
}
