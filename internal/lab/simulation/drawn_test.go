package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/random"
)

var (
	seeds = flag.Int("seeds", 4, "drawn days to play")
	from  = flag.Int("from", 1, "the first of them")
)

var (
	ends  = map[string]int{}             // of all rollouts, to see that both kinds came
	took  = map[string][]time.Duration{} // until an order was acknowledged, by the harm that went on
	whole []time.Duration                // from the closing fault's end until all control processes are in touch
)

// operator sends changes and remembers what was sent and acknowledged.
type operator struct {
	h     *Harbour
	draw  random.Source
	sent  map[string]map[string]bool // by route and version: the prefixes that were sent
	won   map[string]string          // by route and version: the one that was acknowledged
	acked map[string]string          // by route: the newest version that was acknowledged
	next  int
	late  int               // orders that a calm core did not take in time
	mu    sync.Mutex        // over the chance and what follows
	now   string            // the harm that goes on
	by    int               // who acknowledged last
	ends  map[string]string // by version: how its rollout ended
	evac  string            // the state that z0 was last ordered into, if that was acknowledged
}

func (o *operator) n(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int(o.draw.Next() * float64(n))
}

// goesOn notes the harm that goes on.
func (o *operator) goesOn(harm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now = harm
}

// change sends one change of one of four routes to a control process by chance; twice sends another of the same version to
// another at once.
func (o *operator) change(twice bool) {
	o.next += 1 + o.n(3)
	version := config.FormatVersion(uint64(o.next))
	route := fmt.Sprintf("r%d", o.n(4))
	many := 1
	if twice {
		many = 2
	}
	type ending struct {
		prefix string
		status int
	}
	done := make(chan ending, many)
	for k := range many {
		prefix := fmt.Sprintf("/%s-%s-%d/", route, version, k)
		if o.sent[route+version] == nil {
			o.sent[route+version] = map[string]bool{}
		}
		o.sent[route+version][prefix] = true
		first := o.n(len(o.h.Masters))
		body := o.h.Configure(false, Route{Name: route, Prefix: prefix, Service: "desk", Version: version})
		go func() {
			status, by, _ := o.h.Order("configuration.modify", "", body, 8*time.Second, first)
			o.mu.Lock()
			o.by = max(0, by)
			o.mu.Unlock()
			done <- ending{prefix, status}
		}()
	}
	began, refused := time.Now(), 0
	for range many {
		switch e := <-done; {
		case e.status == 200 && o.won[route+version] != "":
			o.h.broken("TWICE: %s %s was acknowledged as %s and as %s", route, version, o.won[route+version], e.prefix)
		case e.status == 200:
			o.won[route+version] = e.prefix
			o.acked[route] = max(o.acked[route], version)
		case e.status == 409:
			refused++
		default:
			o.late++
		}
	}
	if refused > 0 && o.won[route+version] == "" { // right only where the other one was taken
		o.late += refused
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	took[o.now] = append(took[o.now], time.Since(began))
}

func (o *operator) evacuate() {
	call := []string{"evacuation.begin", "evacuation.finish"}[o.n(2)]
	o.evac = ""
	if status, _, _ := o.h.Order(call, "z0", nil, 8*time.Second, o.n(len(o.h.Masters))); status == 200 {
		o.evac = call
	} else {
		o.late++
	}
}

// harm does one harm of those that the settings tolerate, and undoes it. It tells what it did.
func (o *operator) harm() string {
	h := o.h
	at := o.n(len(h.Masters))
	m := h.Masters[at]
	lasts := time.Duration(1+o.n(4)) * time.Second
	defer o.goesOn("calm")
	if other := h.Masters[(at+1+o.n(5))%6]; o.n(3) == 0 { // two at once: another's disk is slow
		other.Disk.set(125*time.Millisecond, false)
		defer other.Disk.set(5*time.Millisecond, false)
	}
	switch kind := o.n(9); kind {
	case 0, 1: // killed, or without power
		o.goesOn("down")
		m.Kill()
		if kind == 1 {
			h.Sea.Down(m.Boot.IP, true)
			m.Disk.PowerLoss(o.n(2) == 0)
		}
		time.Sleep(lasts)
		h.Sea.Down(m.Boot.IP, false)
		m.mustStart()
		return fmt.Sprint("down ", m.Boot.IP)
	case 2:
		o.goesOn("wiped")
		m.Kill()
		m.Disk.Wipe()
		time.Sleep(lasts)
		m.mustStart()
		return fmt.Sprint("wiped ", m.Boot.IP)
	case 3, 4: // cut off from the others, or from half of them
		o.goesOn("cut")
		for i, x := range h.Masters {
			if x != m && (kind == 3 || i%2 == 0) {
				h.Sea.Cut(m.Boot.IP, x.Boot.IP, true)
			}
		}
		time.Sleep(lasts + 2*time.Second)
		for _, x := range h.Masters {
			h.Sea.Cut(m.Boot.IP, x.Boot.IP, false)
		}
		return fmt.Sprint("cut ", m.Boot.IP)
	case 5:
		o.goesOn("slow disk")
		m.Disk.set(125*time.Millisecond, false)
		time.Sleep(lasts)
		m.Disk.set(5*time.Millisecond, false)
		return fmt.Sprint("slow disk ", m.Boot.IP)
	case 6:
		o.goesOn("refusing disk")
		m.Disk.set(5*time.Millisecond, true)
		time.Sleep(lasts)
		m.Disk.set(5*time.Millisecond, false)
		return fmt.Sprint("refusing disk ", m.Boot.IP)
	case 7: // a region is without power
		o.goesOn("region")
		two := []*Master{m, h.Masters[at^1]}
		for _, x := range two {
			x.Kill()
			h.Sea.Down(x.Boot.IP, true)
			x.Disk.PowerLoss(o.n(2) == 0)
		}
		time.Sleep(lasts + time.Second)
		for _, x := range two {
			h.Sea.Down(x.Boot.IP, false)
			x.mustStart()
		}
		return "region down"
	default: // all at once; the disks stay
		o.goesOn("all killed")
		for _, x := range h.Masters {
			x.Kill()
		}
		time.Sleep(time.Second)
		for _, x := range h.Masters {
			x.mustStart()
		}
		return "all killed"
	}
}

// rollouts orders one after the other, has routers vote this way and that, and notes every end that any control process
// tells: of one order there may be one only.
func (o *operator) rollouts(until chan bool) {
	h, draw := o.h, random.Source{Seed: uint64(o.n(1 << 30))}
	client := h.client(h.Sea.Process("10.200.0.3"), time.Second)
	defer client.CloseIdleConnections()
	for n := 2; ; n++ {
		target := fmt.Sprint("v", n)
		status, _, _ := h.Order("rollouts.begin", "", []byte(`{"service":"desk","target-version":"`+target+`","duration-s":5}`), 8*time.Second, int(draw.Next()*6))
		back := []float64{0, 0.02, 0.1, 0.5}[int(draw.Next()*4)] // how many of the votes
		for range 24 {
			select {
			case <-until:
				return
			case <-time.After(250 * time.Millisecond):
			}
			for _, f := range h.Fairways {
				if status == 200 && draw.Next() < 0.7 {
					f.Running.SendVote(update.Vote{Service: "desk", Number: uint64(n - 1), Verdict: uint8(lo.Ternary(draw.Next() < back, decision.Back, decision.On))})
				}
			}
			at := h.Masters[int(draw.Next()*6)]
			if status, raw, err := post(h.ctx, client, at.Boot.ListenAddresses["control"], "rollouts.read", "desk", nil); err == nil && status == 200 {
				var v map[string]string
				json.Unmarshal(raw, &v)
				if end := v["server-state"]; end != "running" {
					if was := o.ends[v["target-version"]]; was != "" && was != end {
						h.broken("LOST: %s was %s and is %s", v["target-version"], was, end)
					}
					o.ends[v["target-version"]] = end
				}
			}
		}
	}
}

// check reads the configuration at one control process; if it answers, nothing acknowledged may be missing.
func (o *operator) check(c *qt.C, at int, harms []string) {
	client := o.h.client(o.h.Sea.Process("10.200.0.2"), time.Second)
	defer client.CloseIdleConnections()
	status, raw, err := post(o.h.ctx, client, o.h.Masters[at].Boot.ListenAddresses["control"], "configuration.read", "", nil)
	if err != nil || status != 200 {
		return
	}
	items, err := config.ParseChange([]byte(`{"set-items":` + string(raw) + `}`))
	c.Assert(err, qt.IsNil)
	now := map[string]uint64{}
	for _, i := range items {
		now[i.Name] = i.Version
	}
	for route, version := range o.acked {
		c.Check(config.FormatVersion(now[route]) >= version, qt.IsTrue, qt.Commentf("LOST: %s answered without %s %s; %v",
			o.h.Masters[at].Boot.Name, route, version, harms))
	}
}

// drawn plays one day of a seed: changes, races, evacuations and harms, a closing fault right after an acknowledgement, and
// then all is held against what was acknowledged.
func drawn(t *testing.T, seed int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := small
		l.Zones, l.Routers, l.Hosts, l.Seed = 6, 1, 1, uint64(seed)
		h := New(l)
		c.Assert(h.Start(), qt.IsNil)
		defer h.Stop()
		time.Sleep(2 * time.Second)
		o := &operator{h: h, draw: random.Source{Seed: uint64(seed) * 977}, sent: map[string]map[string]bool{}, won: map[string]string{}, acked: map[string]string{}, ends: map[string]string{}, now: "calm"}
		status, _, answer := h.Order("configuration.modify", "", h.Configure(true, look), 5*time.Second, 0)
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
		watching, watched := make(chan bool), make(chan bool)
		go func() { // no router goes back
			defer close(watched)
			seen := map[string]uint64{}
			for {
				select {
				case <-watching:
					return
				case <-time.After(50 * time.Millisecond):
				}
				for _, f := range h.Fairways {
					for name, v := range f.Running.RouteVersions() {
						k := f.Boot.Name + " " + name
						if v < seen[k] {
							h.broken("CONFIG: %s went back from %d to %d", k, seen[k], v)
						}
						seen[k] = max(seen[k], v)
					}
				}
			}
		}()
		rolling, rolled := make(chan bool), make(chan bool)
		go func() {
			defer close(rolled)
			o.rollouts(rolling)
		}()
		var harms []string
		for range 3 {
			over := make(chan bool)
			go func() {
				defer close(over)
				time.Sleep(time.Duration(o.n(500)) * time.Millisecond)
				harms = append(harms, o.harm())
			}()
			for range 6 {
				time.Sleep(time.Duration(100+o.n(500)) * time.Millisecond)
				if o.n(4) == 0 {
					o.evacuate()
				} else {
					o.change(o.n(4) == 0)
				}
			}
			<-over
			time.Sleep(5 * time.Second) // back for good before the next
		}
		o.change(false)
		closing := o.n(3)
		for i, m := range h.Masters {
			m.Kill()
			if closing > 0 {
				m.Disk.PowerLoss(i%2 == 0)
			}
		}
		if closing == 2 {
			h.Masters[o.by].Disk.Wipe()
		}
		time.Sleep(1300 * time.Millisecond)
		for _, m := range h.Masters {
			m.mustStart()
			time.Sleep(time.Duration(o.n(150)) * time.Millisecond)
		}
		began, all := time.Now(), make(chan bool)
		go func() {
			defer close(all)
			for _, m := range h.Masters {
				for m.Standing() != "in touch" && time.Since(began) < 4*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
			}
			whole = append(whole, time.Since(began))
		}()
		for i := range 60 { // whoever answers knows all that was acknowledged, from its first answer on
			o.check(c, i%len(h.Masters), harms)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		<-all
		close(watching)
		<-watched
		close(rolling)
		<-rolled
		for _, end := range o.ends {
			ends[end]++
		}
		c.Check(h.Broken, qt.HasLen, 0)
		c.Check(o.late, qt.Equals, 0, qt.Commentf("orders not taken; %v", harms))
		var first string
		for i := range h.Masters {
			status, by, answer := h.Order("configuration.read", "", nil, time.Second, i)
			c.Assert([2]int{status, by}, qt.Equals, [2]int{200, i}, qt.Commentf("%v, closing %d: %s is %s", harms, closing, h.Masters[i].Boot.Name, h.Masters[i].Standing()))
			if first == "" {
				first = string(answer)
			}
			c.Check(string(answer), qt.Equals, first, qt.Commentf("%v", harms))
		}
		items, err := config.ParseChange([]byte(`{"set-items":` + first + `}`))
		c.Assert(err, qt.IsNil)
		now := map[string]config.Item{}
		for _, i := range items {
			now[i.Name] = i
		}
		for route, version := range o.acked {
			i, there := now[route]
			c.Check(there && config.FormatVersion(i.Version) >= version, qt.IsTrue,
				qt.Commentf("LOST: %s %s was acknowledged, %d stands; %v, closing %d", route, version, i.Version, harms, closing))
			prefix, _ := i.Tree()["path-prefix"].(string)
			c.Check(o.sent[route+config.FormatVersion(i.Version)][prefix], qt.IsTrue, qt.Commentf("%s %s was never sent", route, prefix))
			if won := o.won[route+config.FormatVersion(i.Version)]; won != "" {
				c.Check(prefix, qt.Equals, won, qt.Commentf("LOST: of two contents of one version; %v, closing %d", harms, closing))
			}
		}
		if o.evac != "" {
			_, _, answer := h.Order("harbour.read", "", nil, time.Second, 0)
			var s struct{ Evacuated []string }
			c.Assert(json.Unmarshal(answer, &s), qt.IsNil)
			c.Check(len(s.Evacuated) == 1, qt.Equals, o.evac == "evacuation.begin", qt.Commentf("LOST: %s; %v", o.evac, harms))
		}
		for _, f := range h.Fairways {
			for name, v := range f.Running.RouteVersions() {
				c.Check(v, qt.Equals, now[name].Version, qt.Commentf("%s has %s", f.Boot.Name, name))
			}
		}
	})
}

// Days drawn by seeds; -args -seeds 1000 plays as many.
func TestDrawnDays(t *testing.T) {
	for seed := *from; seed < *from+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { drawn(t, seed) })
	}
	t.Log("rollouts ended", ends)
	for harm, all := range took {
		slices.Sort(all)
		t.Logf("%s: %d orders, acknowledged after %v (median), %v (worst)", harm, len(all), all[len(all)/2], all[len(all)-1])
	}
	slices.Sort(whole)
	t.Logf("all in touch %v (median), %v (worst) after the last one's start", whole[len(whole)/2], whole[len(whole)-1])
}
