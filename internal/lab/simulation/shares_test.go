package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/control/server"
	"portflow/internal/random"
)

var histories = flag.Int("histories", 8, "drawn histories of shares to play")

// shares is a change that sets them: a caller and its requests a second each.
func shares(version string, all map[string]float64) []byte {
	rows := [][]any{}
	for caller, perS := range all {
		rows = append(rows, []any{"s-" + caller, "desk", "X-Agency", caller, perS, perS, version})
	}
	raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"shares": map[string]any{
		"table-columns": []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, "table-rows": rows}}})
	return raw
}

// peak is a departure peak: one caller asks for many times its share, two others stay within theirs; a zone is lost in the
// middle. It tells how the quiet ones and the rushing one fared.
func peak(t *testing.T, on bool, rush float64, lose bool) (quiet, rushing *Tally) {
	quiet, rushing = &Tally{}, &Tally{}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := Layout{Zones: 4, Routers: 2, Hosts: 2, Services: []string{"desk"}, Work: 80 * time.Millisecond, Slots: 3, Seed: 3} // 300 a second
		h := opened(c, l)
		if on {
			configure(c, h, shares("00000002", map[string]float64{"rush": 30, "one": 60, "two": 60}), 0)
		}
		time.Sleep(2 * time.Second)
		lasts := 9 * time.Second
		if testing.Verbose() {
			lasts = 14 * time.Second
		}
		for z := range l.Zones {
			for _, caller := range []string{"one", "two", "rush"} {
				for _, r := range []Route{look, issue} {
					r.Name, r.Caller = r.Name+"-"+caller, caller
					if caller == "rush" {
						h.Traffic(rushing, z, r, rush/8, lasts)
					} else {
						h.Traffic(quiet, z, r, 5, lasts)
					}
				}
			}
		}
		if lose {
			time.Sleep(lasts/2 - time.Second)
			for _, m := range h.Masters[3:] {
				m.Kill()
				h.Sea.Down(m.Boot.IP, true)
			}
			for _, f := range h.Fairways[6:] {
				f.Kill()
			}
			for _, q := range h.Quays {
				if q.Zone == zone(3) {
					q.Crash()
				}
			}
			time.Sleep(lasts/2 + time.Second)
		} else {
			time.Sleep(lasts)
		}
		if on { // what control shows
			_, _, raw := h.Order("harbour.read", "", nil, time.Second, 0)
			var s server.ClusterStatus
			c.Assert(json.Unmarshal(raw, &s), qt.IsNil)
			c.Assert(s.Quotas, qt.HasLen, 3)
			for _, x := range s.Quotas {
				if x.Caller == "rush" && rush > 100 {
					c.Check(x.Used > 15 && x.Used < 45, qt.IsTrue, qt.Commentf("%+v", x))
					c.Check(len(x.Zones) >= 3, qt.IsTrue, qt.Commentf("%+v", x))
				}
			}
			c.Check(len(s.Callers["desk"]) >= 3, qt.IsTrue, qt.Commentf("%+v", s.Callers))
		}
		time.Sleep(5 * time.Second)
		c.Check(h.Judge(), qt.HasLen, 0)
	})
	return quiet, rushing
}

// One caller at ten times its share takes the others' answers away, and with shares it doesn't: those within their shares are
// served as on a day without it, and the caller gets its share and what is left over, also with a zone lost in the middle.
func TestPeak(t *testing.T) {
	losses := []bool{true}
	if testing.Verbose() {
		losses = []bool{false, true}
	}
	for _, lose := range losses {
		c := qt.New(t)
		part := func(x *Tally) (float64, string) {
			good, asked, how := x.Counts()
			return float64(good) / float64(asked), fmt.Sprintf("%d of %d, p99 %v: %s", good, asked, x.p99(), how)
		}
		calm, _ := peak(t, true, 20, lose)
		with, rushing := peak(t, true, 600, lose)
		without, taken := peak(t, false, 600, lose)
		a, sayA := part(calm)
		b, sayB := part(with)
		d, sayD := part(without)
		r, sayR := part(rushing)
		_, sayT := part(taken)
		t.Logf("zone lost %v\nothers, calm day: %s\nothers, with shares: %s\nothers, without: %s\nthe rush, with: %s\nthe rush, without: %s", lose, sayA, sayB, sayD, sayR, sayT)
		c.Check(b > a-0.04, qt.IsTrue)
		c.Check(b > d, qt.IsTrue)
		c.Check(r > 0.04, qt.IsTrue)                          // its share is a twentieth of what it asks for
		c.Check(with.p99() < 400*time.Millisecond, qt.IsTrue) // half of their aim
	}
}

// history plays a few seconds in which callers are over their shares, and a harm by chance: no request that must not be
// repeated runs twice, and none runs that was told to come later, over kills, cuts, hosts that end or fail, and late answers.
func history(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := New(Layout{Zones: 3, Routers: 1, Hosts: 1, Services: []string{"desk"}, Work: 80 * time.Millisecond, Slots: 2, Seed: seed})
		c.Assert(h.Start(), qt.IsNil)
		defer h.Stop()
		time.Sleep(time.Second)
		configure(c, h, h.Configure(true, look, issue), 0)
		configure(c, h, shares("00000002", map[string]float64{"a": 8, "b": 4}), 1)
		draw := random.Source{Seed: seed * 31}
		n := func(n int) int { return int(draw.Next() * float64(n)) }
		var tally Tally
		for z := range h.Zones {
			for _, caller := range []string{"a", "b", ""} {
				r := issue
				r.Name, r.Caller = fmt.Sprint(r.Name, "-", caller), caller
				h.Traffic(&tally, z, r, 4+20*draw.Next(), 2500*time.Millisecond)
			}
		}
		time.Sleep(time.Duration(300+n(900)) * time.Millisecond)
		for range 1 + n(2) {
			z := n(3)
			switch n(7) {
			case 0:
				h.Fairways[z].Kill()
			case 1:
				h.Masters[z].Kill()
			case 2:
				h.Quays[z].Crash()
			case 3:
				h.Quays[z].Drain()
			case 4: // late answers, and ones that never come
				h.Sea.Cut(h.Fairways[z].Boot.IP, h.Quays[n(3)].IP(), true)
			case 5:
				h.Sea.Cut(h.Fairways[z].Boot.IP, h.Masters[z].Boot.IP, true)
			case 6:
				h.mu.Lock()
				h.Quays[z].Fail = true
				h.mu.Unlock()
			}
		}
		time.Sleep(6 * time.Second)
		_, asked, how := tally.Counts()
		c.Check(asked > 20, qt.IsTrue)
		c.Check(h.Judge(), qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, how))
		ended.add(tally.By)
	})
}

// counter sums up how requests ended.
type counter map[string]int

func (c counter) add(all map[string]int) {
	for how, n := range all {
		c[how] += n
	}
}

var ended = counter{}

// -args -histories 10000 plays as many.
func TestShareHistories(t *testing.T) {
	for seed := range *histories {
		history(t, uint64(*from+seed))
	}
	t.Log("requests ended", ended)
	if ended["429"] == 0 || ended["200"] == 0 {
		t.Error("nothing was held back, or nothing served")
	}
}
