package simulation

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/control/server"
	"portflow/internal/random"
)

// pulse sends one small order after another, and keeps which were confirmed and when: what was confirmed must stand at the
// end, and the longest time between two of them is what a change of the core cost its callers.
type pulse struct {
	h         *Harbour
	mu        sync.Mutex
	confirmed [pulseRoutes]uint64 // the highest version of each route
	sent      [pulseRoutes]uint64
	at        []time.Time
	stop      chan bool
	ended     chan bool
}

const pulseRoutes = 20

func (h *Harbour) pulse() *pulse {
	p := &pulse{h: h, stop: make(chan bool), ended: make(chan bool)}
	client := h.client(h.Sea.Process("10.200.0.30"), time.Second)
	go func() {
		defer close(p.ended)
		defer client.CloseIdleConnections()
		for n, to := 0, 0; ; n++ {
			select {
			case <-p.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			r, v := n%pulseRoutes, uint64(n+10)
			change := h.Configure(false, Route{Name: fmt.Sprint("pulse-", r), Prefix: fmt.Sprintf("/pulse/%d/", r), Service: "desk", Version: fmt.Sprintf("%08d", v), Safe: true})
			p.mu.Lock()
			p.sent[r] = v
			p.mu.Unlock()
			for range len(h.Masters) {
				if status, _, err := post(h.ctx, client, h.control(to), "configuration.modify", "", change); err == nil && status == 200 {
					p.mu.Lock()
					p.confirmed[r] = v
					p.at = append(p.at, time.Now())
					p.mu.Unlock()
					break
				}
				to = (to + 1) % len(h.Masters)
			}
		}
	}()
	return p
}

// gap is the longest time without a confirmed order from a moment on.
func (p *pulse) gap(from time.Time) (most time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := from
	for _, at := range p.at {
		if at.After(from) {
			most, last = max(most, at.Sub(last)), at
		}
	}
	return max(most, time.Since(last))
}

func (p *pulse) end() { close(p.stop); <-p.ended }

// holds checks at one process that all that was confirmed stands.
func (p *pulse) holds(c *qt.C, at int) {
	_, raw := p.h.ask1(at, "configuration.read", nil)
	for r, v := range p.confirmed {
		m := regexp.MustCompile(fmt.Sprintf(`"pulse-%d"[^\]]*"(\d{8})"\]`, r)).FindSubmatch(raw)
		if v == 0 {
			continue
		}
		got := uint64(0)
		if m != nil {
			got, _ = strconv.ParseUint(string(m[1]), 10, 64)
		}
		c.Check(got >= v && got <= p.sent[r], qt.IsTrue, qt.Commentf("at %d: route %d stands at %d, confirmed %d, sent %d", at, r, got, v, p.sent[r]))
	}
}

// ask1 makes one call to one process.
func (h *Harbour) ask1(at int, call string, body any) (int, []byte) {
	raw := []byte(nil)
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	return h.askOf(at, call, "", raw)
}

func (h *Harbour) askOf(at int, call, of string, raw []byte) (int, []byte) {
	client := h.client(h.Sea.Process("10.200.0.31"), 2*time.Second)
	defer client.CloseIdleConnections()
	status, answer, err := post(context.Background(), client, h.control(at), call, of, raw)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return status, answer
}

func (h *Harbour) core(at int) (s server.CoreStatus) {
	_, raw := h.ask1(at, "core.read", nil)
	json.Unmarshal(raw, &s)
	return s
}

func (h *Harbour) change(at int, do, who, with string, dry, force bool) (out server.CoreChangeResult, status int, raw []byte) {
	status, raw = h.ask1(at, "core.change", server.CoreChange{Action: do, Member: who, Replacement: with, DryRun: dry, Force: force})
	json.Unmarshal(raw, &out)
	return out, status, raw
}

func names(all []server.CoreMember) []string {
	return lo.Map(all, func(x server.CoreMember, _ int) string { return x.Name })
}

// until waits for something, and tells how long that took; it fails after a while.
func until(c *qt.C, most time.Duration, what string, is func() bool) time.Duration {
	began := time.Now()
	for !is() {
		if time.Since(began) > most {
			c.Errorf("%s: not within %v", what, most)
			return most
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// cored plays something in a harbour of control processes alone, a zone each.
func cored(t *testing.T, zones int, seed uint64, happens func(c *qt.C, h *Harbour)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := New(Layout{Zones: zones, Services: []string{"desk"}, Seed: seed})
		c.Assert(h.Start(), qt.IsNil)
		defer h.Stop()
		time.Sleep(2 * time.Second)
		configure(c, h, h.Configure(true, look), 0)
		until(c, 10*time.Second, "all are members", func() bool { return len(h.core(0).Members) == zones && h.core(0).Tolerates == zones-zones/2-1 })
		happens(c, h)
	})
}

// one tells whether all that run have one list and one number, are in touch and whole; nothing may be ordered meanwhile.
func (h *Harbour) one(members int) bool { return h.listed(members, true) }

// listed is one, with the number or without it.
func (h *Harbour) listed(members int, number bool) bool {
	first := server.CoreStatus{}
	for at, m := range h.Masters {
		if m.cancel == nil {
			continue
		}
		s := h.core(at)
		if s.Status != "in touch" || !s.Current || len(s.Members) != members {
			return false
		}
		if first.Node == "" {
			first = s
		}
		if s.Epoch != first.Epoch || number && s.Index != first.Index {
			return false
		}
	}
	return true
}

// A member that is let go while it lives isn't voted in again by itself, also not after a restart; it is by an order, or
// with a new disk. A dry run changes nothing.
func TestCoreRemovedAndAdded(t *testing.T) {
	cored(t, 6, 3, func(c *qt.C, h *Harbour) {
		name := h.Masters[2].Boot.Name
		s := h.core(1)
		c.Check(s.Tolerates, qt.Equals, 2)
		c.Check(s.ToleratedZones, qt.HasLen, 6)
		out, status, _ := h.change(1, "remove", name, "", true, false)
		c.Check(status, qt.Equals, 200)
		c.Check(out.Done, qt.IsFalse)
		c.Check(out.Tolerates, qt.Equals, [2]int{2, 2})
		c.Check(h.core(1).Epoch, qt.Equals, s.Epoch)

		for range 2 { // again it finds that it stands
			out, status, raw := h.change(1, "remove", name, "", false, false)
			c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			c.Check(out.Done, qt.IsTrue)
		}
		out1 := func() bool {
			s := h.core(4)
			return len(s.Members) == 5 && slices.Contains(names(s.Learners), name) && slices.Contains(names(s.Excluded), name)
		}
		time.Sleep(8 * time.Second)
		c.Check(out1(), qt.IsTrue, qt.Commentf("%+v", h.core(4)))
		epoch := h.core(4).Epoch
		c.Check(epoch, qt.Equals, s.Epoch+1)
		h.Masters[2].Kill()
		h.Masters[2].mustStart()
		time.Sleep(8 * time.Second)
		c.Check(out1(), qt.IsTrue, qt.Commentf("%+v", h.core(4)))
		c.Check(h.core(2).Status, qt.Equals, "in touch")

		_, status, raw := h.change(2, "add", name, "", false, false)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		until(c, time.Second, "it is in", func() bool { return h.one(6) })
		c.Check(h.core(0).Excluded, qt.HasLen, 0)

		_, status, _ = h.change(0, "remove", name, "", false, false)
		c.Check(status, qt.Equals, 200)
		h.Masters[2].Kill()
		h.Masters[2].Disk.Wipe()
		h.Masters[2].mustStart()
		until(c, 8*time.Second, "it is in with a new disk", func() bool { return h.one(6) })
		for _, x := range []struct {
			do, who, with, says string
			status              int
		}{
			{"remove", "nobody", "", "no member or learner", 404},
			{"add", "nobody", "", "is not heard", 404},
			{"replace", name, "nobody", "is not heard", 404},
			{"burn", name, "", "not remove, add or replace", 400},
		} {
			_, status, raw := h.change(1, x.do, x.who, x.with, false, false)
			c.Check(status, qt.Equals, x.status, qt.Commentf("%s", raw))
			c.Check(string(raw), qt.Contains, x.says)
		}
	})
}

// What would leave no loss to bear is refused, and with --force done; what leaves no majority that is heard never is.
func TestCoreRemovalRefused(t *testing.T) {
	cored(t, 3, 4, func(c *qt.C, h *Harbour) {
		_, status, raw := h.change(0, "remove", h.Masters[2].Boot.IP, "", false, false)
		c.Check(status, qt.Equals, 400)
		c.Check(string(raw), qt.Contains, "would bear no loss")
		out, status, _ := h.change(0, "remove", h.Masters[2].Boot.IP, "", false, true)
		c.Check(status, qt.Equals, 200)
		c.Check(out.Tolerates, qt.Equals, [2]int{1, 0})
		until(c, 2*time.Second, "one core of two", func() bool { return h.one(2) })
		h.Masters[1].Kill()
		time.Sleep(2 * time.Second)
		_, status, _ = h.change(0, "remove", h.Masters[0].Boot.IP, "", false, true)
		c.Check(status, qt.Equals, 503) // without a majority nothing is ordered
	})
	cored(t, 3, 5, func(c *qt.C, h *Harbour) {
		h.Masters[1].Kill()
		time.Sleep(2 * time.Second)
		_, status, raw := h.change(0, "remove", h.Masters[2].Boot.IP, "", false, true)
		c.Check(status, qt.Equals, 400)
		c.Check(string(raw), qt.Contains, "can't be taken over")
		_, status, _ = h.change(0, "remove", h.Masters[1].Boot.IP, "", false, true)
		c.Check(status, qt.Equals, 200) // the lost one goes: two of two
	})
}

// A lost machine is replaced by order, at once: its successor is in another zone, so that it wouldn't go by itself.
func TestCoreReplacedByOrder(t *testing.T) {
	cored(t, 6, 6, func(c *qt.C, h *Harbour) {
		lost := h.Masters[5].Boot
		h.Masters[5].Replace()
		m := h.Masters[5]
		m.Boot.Zone, m.Boot.Region = h.Masters[4].Boot.Zone, h.Masters[4].Boot.Region
		m.mustStart()
		standsBy := func() bool { // its zone has a member: it is ready, and isn't voted in by itself
			s := h.core(0)
			return len(s.Members) == 6 && len(s.Learners) == 1 && s.Learners[0].Name == m.Boot.Name && s.Learners[0].CaughtUp
		}
		until(c, 8*time.Second, "it stands by", standsBy)
		time.Sleep(6 * time.Second)
		c.Check(standsBy(), qt.IsTrue, qt.Commentf("%+v", h.core(0)))
		_, status, raw := h.change(3, "replace", lost.Name, m.Boot.Name, false, false)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		until(c, 2*time.Second, "one core", func() bool { return h.one(6) })
		c.Check(names(h.core(0).Excluded), qt.DeepEquals, []string{lost.Name})
	})
}

// Four of six never come back. The operator makes one of the other two the whole core; the other joins, two of the lost
// come back after all with their disks, are fenced, and join: one core, one state, orders are confirmed.
func TestCoreRecovered(t *testing.T) {
	for seed := range uint64(3) {
		cored(t, 6, 20+seed, func(c *qt.C, h *Harbour) {
			p := h.pulse()
			time.Sleep(time.Second)
			status, raw := h.ask1(4, "core.recover", map[string]any{"confirm": ""})
			c.Check(status, qt.Equals, 400)
			c.Check(string(raw), qt.Contains, "more than half of the members are heard")
			for _, m := range h.Masters[:4] {
				m.Kill()
			}
			time.Sleep(4 * time.Second)
			p.end()
			began := time.Now()
			status, _, _ = h.Order("configuration.modify", "", h.Configure(false, issue), 2*time.Second, 4)
			c.Check(status, qt.Equals, 0) // two of six take nothing
			at := 4
			if h.core(5).Index > h.core(4).Index {
				at = 5
			}
			var r server.CoreRecovery
			status, raw = h.ask1(at, "core.recover", map[string]any{})
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			c.Assert(json.Unmarshal(raw, &r), qt.IsNil)
			c.Check(r.Done, qt.IsFalse)
			c.Check(r.Losses, qt.HasLen, 5) // four silent, and what only they hold
			old := h.core(at)
			c.Check(r.ConfirmPhrase, qt.Equals, fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index))
			status, _ = h.ask1(at, "core.recover", map[string]any{"confirm": "epoch 1 number 1"})
			c.Check(status, qt.Equals, 400)
			for range 2 { // the same once more finds that it is done
				status, raw = h.ask1(at, "core.recover", map[string]any{"confirm": r.ConfirmPhrase})
				c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
				c.Check(string(raw), qt.Contains, `"done":true`)
			}
			c.Check(h.core(at).Epoch > old.Epoch && h.core(at).Index > old.Index, qt.IsTrue)
			until(c, 5*time.Second, "the other joins", func() bool { return h.one(2) })
			change := issue
			status, _, _ = h.Order("configuration.modify", "", h.Configure(false, change), 2*time.Second, 9-at)
			c.Check(status, qt.Equals, 200)
			c.Logf("seed %d: %v from the call to the first confirmed order", seed, time.Since(began).Round(10*time.Millisecond))
			h.Masters[0].mustStart()
			h.Masters[1].mustStart()
			until(c, 10*time.Second, "two old ones join", func() bool { return h.one(4) })
			for i := range h.Masters {
				if i < 2 || i > 3 {
					_, raw := h.ask1(i, "configuration.read", nil)
					c.Check(string(raw), qt.Contains, "/issue/")
					p.holds(c, i) // the two had all that was confirmed
				}
			}
			for _, m := range h.Masters { // and all of it is on disk
				m.Kill()
			}
			time.Sleep(time.Second)
			for _, i := range []int{0, 1, 4, 5} {
				h.Masters[i].Disk.PowerLoss(i%2 == 0)
				h.Masters[i].mustStart()
			}
			until(c, 10*time.Second, "one core again", func() bool { return h.one(4) })
			h.Masters[2].mustStart()
			h.Masters[3].mustStart()
			until(c, 10*time.Second, "all six", func() bool { return h.one(6) })
		})
	}
}

// The disk of the process that is to be the whole core hangs: as long as nothing of the recovery is on it, the call isn't
// acknowledged, however often it is sent.
func TestRecoveryIsAcknowledgedFromDisk(t *testing.T) {
	cored(t, 3, 41, func(c *qt.C, h *Harbour) {
		for _, m := range h.Masters[1:] {
			m.Kill()
		}
		time.Sleep(4 * time.Second)
		old := h.core(0)
		confirm := map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index)}
		h.Masters[0].Disk.hang(true)
		for range 3 {
			status, raw := h.ask1(0, "core.recover", confirm)
			c.Check(status, qt.Not(qt.Equals), 200, qt.Commentf("%s", raw))
		}
		h.Masters[0].Disk.hang(false)
		time.Sleep(time.Second)
		status, raw := h.ask1(0, "core.recover", confirm)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		h.Masters[0].Kill()
		h.Masters[0].Disk.PowerLoss(false)
		h.Masters[0].mustStart()
		until(c, 5*time.Second, "one core of one", func() bool { return h.one(1) })
		c.Check(h.core(0).Epoch > old.Epoch, qt.IsTrue)
	})
}

// The core is parted, not lost, and the operator was wrong: the four go on by the old list, and confirm, until they hear the
// recovered one. Then they give way, and nothing is confirmed by the old list any more; what they confirmed meanwhile is
// lost, as the call says.
func TestCoreRecoveredWhileOthersLive(t *testing.T) {
	cored(t, 6, 31, func(c *qt.C, h *Harbour) {
		cut := func(on bool) {
			for a := range 4 {
				for b := 4; b < 6; b++ {
					h.Sea.Cut(h.Masters[a].Boot.IP, h.Masters[b].Boot.IP, on)
				}
			}
		}
		cut(true)
		time.Sleep(4 * time.Second)
		status, by, _ := h.Order("configuration.modify", "", h.Configure(false, issue), 2*time.Second, 0)
		c.Check(status, qt.Equals, 200)
		c.Check(by < 4, qt.IsTrue)
		old := h.core(4)
		status, raw := h.ask1(4, "core.recover", map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index)})
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
		cut(false)
		until(c, 12*time.Second, "one core", func() bool { return h.one(6) })
		for i := range h.Masters {
			_, raw := h.ask1(i, "configuration.read", nil)
			c.Check(string(raw), qt.Not(qt.Contains), "/issue/")
			c.Check(h.core(i).Epoch > 1<<32, qt.IsTrue)
		}
	})
}

// Two are made the whole core at once, behind a cut from each other. Both confirm orders by themselves, until they meet:
// the one with the higher draw is the later by epoch and by number, and the other gives way with all that it had confirmed.
func TestCoreRecoveredTwice(t *testing.T) {
	for seed := range uint64(4) {
		cored(t, 6, 40+seed, func(c *qt.C, h *Harbour) {
			for _, m := range h.Masters[:4] {
				m.Kill()
			}
			h.Sea.Cut(h.Masters[4].Boot.IP, h.Masters[5].Boot.IP, true)
			time.Sleep(4 * time.Second)
			for at := 4; at < 6; at++ {
				s := h.core(at)
				status, raw := h.ask1(at, "core.recover", map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", s.Epoch, s.Index)})
				c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
				status, raw = h.ask1(at, "configuration.modify", json.RawMessage(h.Configure(false,
					Route{Name: fmt.Sprint("at-", at), Prefix: fmt.Sprintf("/at/%d/", at), Service: "desk", Version: "00000009"})))
				c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			}
			a, b := h.core(4), h.core(5)
			c.Check(a.Epoch != b.Epoch && (a.Epoch > b.Epoch) == (a.Index > b.Index), qt.IsTrue, qt.Commentf("%+v %+v", a, b))
			later := lo.Ternary(a.Epoch > b.Epoch, 4, 5)
			h.Sea.Cut(h.Masters[4].Boot.IP, h.Masters[5].Boot.IP, false)
			for _, m := range h.Masters[:4] {
				m.mustStart()
			}
			until(c, 15*time.Second, "one core", func() bool { return h.one(6) })
			for i := range h.Masters {
				_, raw := h.ask1(i, "configuration.read", nil)
				c.Check(string(raw), qt.Contains, fmt.Sprintf("/at/%d/", later))
				c.Check(string(raw), qt.Not(qt.Contains), fmt.Sprintf("/at/%d/", 9-later))
			}
		})
	}
}

// A control process that is told to end: it is voted out where the core then bears a loss more, so an even number becomes an
// odd one; else it stays counted. Either way orders go on, and it comes back by itself.
func TestCoreLeaving(t *testing.T) {
	for zones := 3; zones <= 7; zones++ {
		for _, at := range []int{0, 2} { // who proposes for the others, and another
			cored(t, zones, uint64(50+zones), func(c *qt.C, h *Harbour) {
				out := zones > 3 && zones%2 == 0
				p := h.pulse()
				time.Sleep(3 * time.Second)
				calm, began := p.gap(time.Now().Add(-3*time.Second)), time.Now()
				h.Masters[at].Leave()
				left := time.Since(began)
				time.Sleep(5 * time.Second)
				gap := p.gap(began)
				s := h.core(1)
				c.Check(s.Members, qt.HasLen, zones-lo.Ternary(out, 1, 0))
				c.Check(s.Tolerates, qt.Equals, lo.Ternary(out, (zones-1)/2, zones-1-zones/2-1))
				c.Check(left < 3*time.Second, qt.IsTrue, qt.Commentf("%v", left))
				c.Check(gap < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", gap))
				back := time.Now()
				h.Masters[at].mustStart()
				joined := until(c, 8*time.Second, "it is back", func() bool { s := h.core(1); return len(s.Members) == zones && s.Tolerates == zones-zones/2-1 })
				time.Sleep(2 * time.Second)
				gapBack := p.gap(back)

				h.Masters[at].Kill() // the same without a word
				killed := time.Now()
				time.Sleep(5 * time.Second)
				gapKilled := p.gap(killed)
				h.Masters[at].mustStart()
				time.Sleep(5 * time.Second)
				p.end()
				c.Logf("%d members, at %d: voted out %v in %v; without a confirmed order: calm %v, leaving %v, coming back %v (after %v), killed %v; %d orders",
					zones, at, out, left.Round(time.Millisecond), calm.Round(time.Millisecond), gap.Round(time.Millisecond), gapBack.Round(time.Millisecond),
					joined.Round(time.Millisecond), gapKilled.Round(time.Millisecond), len(p.at))
				until(c, 5*time.Second, "one core", func() bool { return h.one(zones) })
				for i := range h.Masters {
					p.holds(c, i)
				}
			})
		}
	}
}

// Two are told to end at once: they go one after the other, and the second only if that gains something. All at once: at
// most one is voted out, and when all are started again there is one core with all that was confirmed, also if one stays away.
func TestCoreLeavingTogether(t *testing.T) {
	for seed := range uint64(4) {
		for _, many := range []int{2, 6} {
			cored(t, 6, 70+seed, func(c *qt.C, h *Harbour) {
				p := h.pulse()
				time.Sleep(time.Second)
				var all sync.WaitGroup
				for i := range many {
					all.Go(func() {
						time.Sleep(time.Duration(i) * time.Duration(seed) * 7 * time.Millisecond)
						h.Masters[i].Leave()
					})
				}
				all.Wait()
				time.Sleep(3 * time.Second)
				if many == 2 {
					s := h.core(4)
					c.Check(s.Members, qt.HasLen, 5)
					c.Check(s.Tolerates, qt.Equals, 1)
					c.Check(s.Current, qt.IsTrue)
				}
				p.end()
				away := 1 + int(seed)
				for i, m := range h.Masters {
					if i != away && m.cancel == nil {
						m.mustStart()
					}
				}
				until(c, 10*time.Second, "one core without one", func() bool {
					s := h.core((away + 1) % 6)
					return s.Status == "in touch" && s.Current && s.Tolerates >= 1
				})
				c.Check(len(h.core((away+1)%6).Members) >= 5, qt.IsTrue) // one at most was voted out
				for i, m := range h.Masters {
					if m.cancel != nil {
						p.holds(c, i)
					}
				}
				if h.Masters[away].cancel == nil {
					h.Masters[away].mustStart()
				}
				until(c, 10*time.Second, "one core", func() bool { return h.one(6) })
			})
		}
	}
}

// One that hears nobody is told to end: it ends within half of its grace, counted still.
func TestCoreLeavingCutOff(t *testing.T) {
	cored(t, 6, 77, func(c *qt.C, h *Harbour) {
		for i := 1; i < 6; i++ {
			h.Sea.Cut(h.Masters[0].Boot.IP, h.Masters[i].Boot.IP, true)
		}
		began := time.Now()
		h.Masters[0].Leave() // before it knows
		c.Check(time.Since(began) <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		time.Sleep(4 * time.Second)
		s := h.core(3)
		c.Check(s.Members, qt.HasLen, 6)
		c.Check(s.Tolerates, qt.Equals, 1)
	})
}

// The time from a loss until the core bears as much as before it, as it is and as a process counts it.
func TestCoreMargin(t *testing.T) {
	for name, x := range map[string]struct {
		harm func(h *Harbour) // at process 3
		back func(h *Harbour)
	}{
		"killed, and started after 1 s": {func(h *Harbour) { h.Masters[3].Kill() }, func(h *Harbour) { time.Sleep(time.Second); h.Masters[3].mustStart() }},
		"without power, and started after 10 s": {func(h *Harbour) { h.Sea.Down(h.Masters[3].Boot.IP, true); h.Masters[3].Kill() }, func(h *Harbour) {
			time.Sleep(10 * time.Second)
			h.Sea.Down(h.Masters[3].Boot.IP, false)
			h.Masters[3].mustStart()
		}},
		"wiped, and started at once":           {func(h *Harbour) { h.Masters[3].Kill(); h.Masters[3].Disk.Wipe() }, func(h *Harbour) { h.Masters[3].mustStart() }},
		"replaced by a new machine at once":    {func(h *Harbour) { h.Sea.Down(h.Masters[3].Boot.IP, true); h.Masters[3].Replace() }, func(h *Harbour) { h.Masters[3].mustStart() }},
		"replaced by a new machine after 10 s": {func(h *Harbour) { h.Sea.Down(h.Masters[3].Boot.IP, true); h.Masters[3].Replace() }, func(h *Harbour) { time.Sleep(10 * time.Second); h.Masters[3].mustStart() }},
		"lost for good, and removed by order": {func(h *Harbour) { h.Sea.Down(h.Masters[3].Boot.IP, true); h.Masters[3].Kill() }, func(h *Harbour) {
			time.Sleep(10 * time.Second)
			h.change(0, "remove", h.Masters[3].Boot.Name, "", false, false)
		}},
		"frozen for 8 s": {func(h *Harbour) { h.Sea.Freeze(h.Masters[3].Boot.IP, true) }, func(h *Harbour) { time.Sleep(8 * time.Second); h.Sea.Freeze(h.Masters[3].Boot.IP, false) }},
	} {
		cored(t, 6, 80, func(c *qt.C, h *Harbour) {
			p := h.pulse()
			time.Sleep(time.Second)
			began := time.Now()
			x.harm(h)
			h.all.Go(func() { x.back(h) })
			seen := until(c, 5*time.Second, name+": the loss is seen", func() bool { s := h.core(1); return s.Tolerance.SinceSeconds > 0 || s.Tolerance.LastSeconds > 0 })
			until(c, 30*time.Second, name+": the margin is back", func() bool { s := h.core(1); return s.Tolerates == 2 && s.Tolerance.LastSeconds > 0 })
			restored := time.Since(began)
			time.Sleep(4 * time.Second)
			s := h.core(1)
			p.end()
			c.Check(s.Tolerance.SinceSeconds, qt.Equals, 0.0)
			c.Check(s.Tolerance.LastSeconds > 0 && s.Tolerance.LastSeconds <= restored.Seconds()+0.2, qt.IsTrue, qt.Commentf("%+v", s.Tolerance))
			c.Logf("%s: seen after %v, margin back after %v (counted: %.2f s), %d members at the end; longest without a confirmed order %v", name,
				seen.Round(10*time.Millisecond), restored.Round(10*time.Millisecond), s.Tolerance.LastSeconds, len(s.Members), p.gap(began).Round(10*time.Millisecond))
			for i, m := range h.Masters {
				if m.cancel != nil {
					p.holds(c, i)
				}
			}
		})
	}
}

var replacements = flag.Int("replacements", 0, "drawn replacements and starts of the core to play, instead of a few")

// draws plays a few seeds, or as many as -replacements says from -from on.
func draws(t *testing.T, few int, play func(t *testing.T, seed int)) {
	first, many := 0, lo.Ternary(raced, few/4, few)
	if *replacements > 0 {
		first, many = *from, *replacements
	}
	for seed := first; seed < first+many; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// lists watches the members that each process goes by: of one epoch there is one list.
type lists struct {
	mu   sync.Mutex
	seen map[uint64]string
	all  sync.WaitGroup
	stop chan bool
}

func (h *Harbour) lists(c *qt.C) *lists {
	w := &lists{seen: map[uint64]string{}, stop: make(chan bool)}
	for at := range h.Masters {
		w.all.Go(func() {
			client := h.client(h.Sea.Process(fmt.Sprint("10.200.0.", 40+at)), time.Second)
			defer client.CloseIdleConnections()
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				status, raw, err := post(h.ctx, client, h.control(at), "core.read", "", nil)
				var s server.CoreStatus
				if err != nil || status != 200 || json.Unmarshal(raw, &s) != nil || s.Epoch == 0 {
					continue
				}
				is := fmt.Sprint(lo.Map(s.Members, func(x server.CoreMember, _ int) string { return x.IP + "/" + x.DiskID }))
				w.mu.Lock()
				if was, there := w.seen[s.Epoch]; there && was != is {
					c.Errorf("two lists of epoch %d: %s at %d, and %s", s.Epoch, is, at, was)
				}
				w.seen[s.Epoch] = is
				w.mu.Unlock()
			}
		})
	}
	return w
}

func (w *lists) end() int { close(w.stop); w.all.Wait(); return len(w.seen) }

// A first start in any order of the machines, up to seconds apart, with a seed that comes late or only after the core has
// taken orders: there is one core, of all in the end, and nothing that was confirmed is lost.
func TestCoreFirstStart(t *testing.T) {
	draws(t, 24, func(t *testing.T, seed int) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			draw := random.Source{Seed: uint64(seed)*31 + 7}
			n := func(n int) int { return int(draw.Next() * float64(n)) }
			h := New(Layout{Zones: 3 + n(5), Services: []string{"desk"}, Seed: uint64(seed)})
			defer h.Stop()
			w := h.lists(c)
			order := make([]int, len(h.Masters))
			for i := range order {
				order[i] = i
			}
			for i := range order {
				j := i + n(len(order)-i)
				order[i], order[j] = order[j], order[i]
			}
			late, apart := -1, []int{1, 300, 3000}[n(3)]
			if n(2) == 0 {
				late = n(3) // a seed that stays down
			}
			for _, i := range order {
				if i != late {
					time.Sleep(time.Duration(n(apart)) * time.Millisecond)
					h.Masters[i].mustStart()
				}
			}
			began := time.Now()
			up := len(order) - lo.Ternary(late >= 0, 1, 0)
			first := order[0]
			if first == late {
				first = order[1]
			}
			took := until(c, 20*time.Second, "a core of those that are up", func() bool { return len(h.core(first).Members) == up && h.one(up) })
			status, _, raw := h.Order("configuration.modify", "", h.Configure(true, look), 5*time.Second, first)
			c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			p := h.pulse()
			time.Sleep(2 * time.Second)
			if late >= 0 {
				h.Masters[late].mustStart()
			}
			until(c, 20*time.Second, "a core of all", func() bool { return h.listed(len(order), false) })
			p.end()
			until(c, 2*time.Second, "with one state", func() bool { return h.one(len(order)) })
			for i := range h.Masters {
				p.holds(c, i)
			}
			c.Logf("seed %d: %d processes in the order %v, up to %d ms apart, seed %d down: one core %v after the last start, %d epochs; at the end %v after its start",
				seed, len(order), order, apart, late, took.Round(10*time.Millisecond), w.end(), time.Since(began).Round(time.Second))
		})
	})
}

// lose has a process lost in a drawn way, and gives what brings it back, and whether its disk stays.
func (h *Harbour) lose(n func(int) int, m *Master) (how string, back func()) {
	ip := m.Boot.IP
	switch n(5) {
	case 0:
		m.Kill()
		return "killed", m.mustStart
	case 1:
		h.Sea.Down(ip, true)
		m.Kill()
		m.Disk.PowerLoss(n(2) == 0)
		return "without power", func() { h.Sea.Down(ip, false); m.mustStart() }
	case 2:
		h.Sea.Freeze(ip, true)
		m.Disk.hang(true)
		return "frozen", func() { m.Disk.hang(false); h.Sea.Freeze(ip, false) }
	case 3:
		for _, x := range h.Masters {
			if x != m {
				h.Sea.Cut(ip, x.Boot.IP, true)
			}
		}
		return "cut", func() {
			for _, x := range h.Masters {
				if x != m {
					h.Sea.Cut(ip, x.Boot.IP, false)
				}
			}
		}
	}
	m.Leave()
	return "told to end", m.mustStart
}

// A machine is lost for good and replaced, and at some step of that another one is lost; at times a third, so that no
// majority is left, until they are back. Nothing that was confirmed is lost, of one epoch there is one list, and orders go on
// by themselves.
func TestCoreSecondLoss(t *testing.T) {
	draws(t, 40, func(t *testing.T, seed int) {
		cored(t, []int{4, 5, 6, 6, 7}[seed%5], uint64(seed), func(c *qt.C, h *Harbour) {
			draw := random.Source{Seed: uint64(seed)*17 + 3}
			n := func(n int) int { return int(draw.Next() * float64(n)) }
			ms := func(most int) { time.Sleep(time.Duration(n(most)) * time.Millisecond) }
			w, p := h.lists(c), h.pulse()
			ms(1000)
			zones := len(h.Masters)
			a := n(zones)
			b := (a + 1 + n(zones-1)) % zones
			third := (b + 1) % zones
			if third == a {
				third = (third + 1) % zones
			}
			if n(3) == 0 {
				h.Masters[a].Leave()
			}
			h.Sea.Down(h.Masters[a].Boot.IP, true)
			h.Masters[a].Replace()
			var all sync.WaitGroup
			comes := time.Duration(n([]int{50, 2000, 6000}[seed%3])) * time.Millisecond
			all.Go(func() { // its successor comes at some time, and perhaps goes again at once and comes with another disk
				time.Sleep(comes)
				h.Masters[a].mustStart()
				if seed%4 == 0 {
					time.Sleep(time.Duration(seed%7) * 100 * time.Millisecond)
					h.Masters[a].Kill()
					h.Masters[a].Disk.Wipe()
					h.Masters[a].mustStart()
				}
			})
			ms(8000)
			how, back := h.lose(n, h.Masters[b])
			lost := time.Now()
			also, backToo := "", func() {}
			if n(3) == 0 {
				ms(3000)
				also, backToo = h.lose(n, h.Masters[third])
			}
			time.Sleep(time.Duration(1+n(8)) * time.Second)
			if n(2) == 0 {
				back, backToo = backToo, back
			}
			back()
			ms(2000)
			backToo()
			all.Wait()
			returned := time.Now()
			until(c, 30*time.Second, "one core again", func() bool {
				s := h.core(0)
				return s.Tolerates == len(s.Members)-len(s.Members)/2-1 && len(s.Members) >= zones && h.listed(len(s.Members), false)
			})
			healed, worst := time.Since(returned), p.gap(lost)
			c.Check(p.gap(returned) < 6*time.Second, qt.IsTrue, qt.Commentf("%v", p.gap(returned)))
			p.end()
			until(c, 2*time.Second, "with one state", func() bool { return h.one(len(h.core(0).Members)) })
			for i := range h.Masters {
				p.holds(c, i)
			}
			c.Logf("seed %d: %d processes, %d replaced, %d %s, and %s: %d orders confirmed, longest without one %v since the second loss; one core %v after the last was back, %d epochs",
				seed, zones, a, b, how, cmp.Or(also, "no other"), len(p.at), worst.Round(10*time.Millisecond), healed.Round(10*time.Millisecond), w.end())
		})
	})
}

// The member that proposes for the others is cut off for 20 s, wholly or one way, or stands still, while orders go on; it
// comes back to what was decided meanwhile, and confirmed nothing by itself.
func TestCoreProposerAway(t *testing.T) {
	for name, x := range map[string]func(h *Harbour, ip, other string, on bool){
		"cut":                  func(h *Harbour, ip, other string, on bool) { h.Sea.Cut(ip, other, on) },
		"cut, what it sends":   func(h *Harbour, ip, other string, on bool) { h.Sea.CutWay(ip, other, on) },
		"cut, what it is sent": func(h *Harbour, ip, other string, on bool) { h.Sea.CutWay(other, ip, on) },
		"frozen": func(h *Harbour, ip, other string, on bool) {
			h.Sea.Freeze(ip, on)
			h.Masters[0].Disk.hang(on)
		},
	} {
		for _, zones := range lo.Ternary(raced, []int{6}, []int{3, 6}) {
			cored(t, zones, 90, func(c *qt.C, h *Harbour) {
				w, p := h.lists(c), h.pulse()
				time.Sleep(time.Second)
				away := func(on bool) {
					for _, m := range h.Masters[1:] {
						x(h, h.Masters[0].Boot.IP, m.Boot.IP, on)
					}
				}
				began := time.Now()
				away(true)
				time.Sleep(5 * time.Second)
				alone := 0
				for range 10 { // by now it knows; all in all 21 s
					if status, _ := h.ask1(0, "configuration.modify", json.RawMessage(h.Configure(false, issue))); status == 200 {
						alone++
					}
					time.Sleep(1650 * time.Millisecond)
				}
				c.Check(alone, qt.Equals, 0, qt.Commentf(name))
				away(false)
				worst, back := p.gap(began), time.Now()
				until(c, 10*time.Second, "one core", func() bool { return h.listed(zones, false) })
				healed := time.Since(back)
				time.Sleep(2 * time.Second)
				again := p.gap(back)
				p.end()
				until(c, 2*time.Second, "with one state", func() bool { return h.one(zones) })
				c.Check(worst < 4*time.Second && again < 2*time.Second, qt.IsTrue, qt.Commentf("%s: %v, %v", name, worst, again))
				for i := range h.Masters {
					p.holds(c, i)
				}
				c.Logf("%s of %d: longest without a confirmed order %v, when it came back %v; one core after %v, %d epochs, %d orders", name, zones,
					worst.Round(10*time.Millisecond), again.Round(10*time.Millisecond), healed.Round(10*time.Millisecond), w.end(), len(p.at))
			})
		}
	}
}

// A machine that was replaced long ago is switched on again with its disk, and a member is started from an image of its disk
// that was made hundreds of changes ago. Neither leads anybody: what they hold is behind, counts for nothing until they have
// taken over what stands, and no order is lost. (Were the two more than half of the old list, as of three, they would be the
// old core once more: a disk that is put back has forgotten its vote on the list that came after. docs/operate/core.md says so.)
func TestCoreOldDisk(t *testing.T) {
	cored(t, 4, 95, func(c *qt.C, h *Harbour) {
		w := h.lists(c)
		image := diskCopied(h.Masters[1].Disk)
		old := &Master{h: h, Boot: h.Masters[2].Boot, Disk: h.Masters[2].Disk}
		h.Masters[2].Replace()
		h.Masters[2].mustStart()
		until(c, 10*time.Second, "replaced", func() bool { return h.one(4) })
		p := h.pulse()
		time.Sleep(150 * time.Second) // more changes than are kept
		p.mu.Lock()
		many := len(p.at)
		p.mu.Unlock()
		c.Check(many > 560, qt.IsTrue, qt.Commentf("%d", many))

		h.Masters[1].Kill()
		image.Delay = 5 * time.Millisecond
		h.Masters[1].Disk = image
		for _, m := range h.Masters {
			if m != h.Masters[1] {
				h.Sea.Cut(h.Masters[1].Boot.IP, m.Boot.IP, true)
				h.Sea.Cut(old.Boot.IP, m.Boot.IP, true)
			}
		}
		old.mustStart()
		h.Masters[1].mustStart()
		time.Sleep(4 * time.Second) // the two by themselves
		c.Check(old.Standing(), qt.Equals, "adrift")
		c.Check(h.Masters[1].Standing(), qt.Equals, "adrift")
		status, _ := h.ask1(1, "configuration.modify", json.RawMessage(h.Configure(false, issue)))
		c.Check(status, qt.Equals, 503)
		for _, m := range h.Masters {
			if m != h.Masters[1] {
				h.Sea.Cut(h.Masters[1].Boot.IP, m.Boot.IP, false)
				h.Sea.Cut(old.Boot.IP, m.Boot.IP, false)
			}
		}
		h.Masters = append(h.Masters, old)
		until(c, 10*time.Second, "all are in touch, the old one stands by", func() bool {
			learners := h.core(0).Learners
			return h.listed(4, false) && len(learners) == 1 && learners[0].IP == old.Boot.IP
		})
		p.end()
		until(c, 2*time.Second, "with one state", func() bool { return h.one(4) })
		for i := range h.Masters {
			p.holds(c, i)
		}
		w.end()
	})
}

// Routers go by the core that was recovered, also those that had followed the others: what only those had confirmed goes,
// new routes and higher versions alike.
func TestCoreRecoveredRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := New(Layout{Zones: 6, Routers: 1, Services: []string{"desk"}, Seed: 33})
		c.Assert(h.Start(), qt.IsNil)
		defer h.Stop()
		time.Sleep(2 * time.Second)
		configure(c, h, h.Configure(true, look), 0)
		until(c, 10*time.Second, "all are members", func() bool { return h.one(6) })
		cut := func(on bool) {
			for a := range 4 {
				for b := 4; b < 6; b++ {
					h.Sea.Cut(h.Masters[a].Boot.IP, h.Masters[b].Boot.IP, on)
				}
			}
		}
		cut(true)
		time.Sleep(4 * time.Second)
		changed := look
		changed.Version, changed.Prefix = "00000007", "/looked/"
		status, _, _ := h.Order("configuration.modify", "", h.Configure(false, issue, changed), 2*time.Second, 0)
		c.Check(status, qt.Equals, 200)
		time.Sleep(2 * time.Second)
		c.Check(h.Fairways[0].Running.RouteVersions(), qt.DeepEquals, map[string]uint64{"safe-look": 7, "issue": 1})
		old := h.core(4)
		status, raw := h.ask1(4, "core.recover", map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index)})
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
		cut(false)
		until(c, 12*time.Second, "one core", func() bool { return h.one(6) })
		time.Sleep(3 * time.Second)
		for _, f := range h.Fairways {
			c.Check(f.Running.RouteVersions(), qt.DeepEquals, map[string]uint64{"safe-look": 1}, qt.Commentf(f.Boot.Name))
		}
		status, _, _ = h.Order("configuration.modify", "", h.Configure(false, issue), 2*time.Second, 1)
		c.Check(status, qt.Equals, 200)
		time.Sleep(2 * time.Second)
		for _, f := range h.Fairways {
			c.Check(f.Running.RouteVersions(), qt.DeepEquals, map[string]uint64{"safe-look": 1, "issue": 1}, qt.Commentf(f.Boot.Name))
		}
	})
}

// Among many routers, of which each process knows a few, whoever of the core isn't named by the settings is found at once all
// the same: it dials those that are.
func TestCoreFoundAmongMany(t *testing.T) {
	for _, routers := range []int{15, 40} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			h := New(Layout{Zones: 6, Routers: routers, Services: []string{"desk"}, Seed: uint64(routers)})
			c.Assert(h.Start(), qt.IsNil)
			defer h.Stop()
			took := until(c, 3*time.Second, "all are members", func() bool { return h.listed(6, false) })
			c.Logf("%d routers: %v", 6*routers, took)
		})
	}
}
