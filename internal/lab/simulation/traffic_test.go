package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/random"
)

// troubled are the troubles of the traffic side; each is done at one time and undone later, where it can be.
var troubled = []struct {
	name string
	do   func(h *Harbour, n func(int) int) (undo func())
}{
	{"a host crashes", func(h *Harbour, n func(int) int) func() { h.Quays[n(len(h.Quays))].Crash(); return nil }},
	{"hosts go dark", func(h *Harbour, n func(int) int) func() {
		a, b := h.Quays[n(len(h.Quays))], h.Quays[n(len(h.Quays))]
		h.Sea.Down(a.IP(), true)
		h.Sea.Down(b.IP(), true)
		return func() {
			h.Sea.Down(a.IP(), false)
			h.Sea.Down(b.IP(), false)
		}
	}},
	{"hosts are replaced", func(h *Harbour, n func(int) int) func() {
		z := n(h.Zones)
		for _, q := range h.Quays[:len(h.Quays):len(h.Quays)] {
			if q.Zone == zone(z) {
				h.Host("desk", z, "v1", time.Second)
				q.Drain()
			}
		}
		return nil
	}},
	{"a zone is lost and comes back cold", func(h *Harbour, n func(int) int) func() {
		z := n(h.Zones)
		lost := 0
		for _, q := range h.Quays[:len(h.Quays):len(h.Quays)] {
			if q.Zone == zone(z) {
				q.Crash()
				lost++
			}
		}
		h.Masters[z].Kill()
		h.Sea.Down(h.Masters[z].Boot.IP, true)
		for _, f := range h.Fairways {
			if f.Boot.Zone == zone(z) {
				f.Kill()
				h.Sea.Down(f.Boot.IP, true)
			}
		}
		return func() {
			h.Sea.Down(h.Masters[z].Boot.IP, false)
			h.Masters[z].mustStart()
			for _, f := range h.Fairways {
				if f.Boot.Zone == zone(z) {
					h.Sea.Down(f.Boot.IP, false)
					if err := f.Start(); err != nil {
						h.broken("a router does not start: %v", err)
					}
				}
			}
			for range lost {
				h.Host("desk", z, "v1", 3*time.Second)
			}
		}
	}},
	{"half of the routers are killed", func(h *Harbour, n func(int) int) func() {
		for i, f := range h.Fairways {
			if i%2 == 0 {
				f.Kill()
			}
		}
		return func() {
			for i, f := range h.Fairways {
				if i%2 == 0 {
					if err := f.Start(); err != nil {
						h.broken("a router does not start: %v", err)
					}
				}
			}
		}
	}},
	{"a router is told to leave", func(h *Harbour, n func(int) int) func() {
		f := h.Fairways[n(len(h.Fairways))]
		done := make(chan bool)
		h.all.Go(func() {
			defer close(done)
			f.Running.Drain()
		})
		return func() {
			<-done
			f.Kill()
			if err := f.Start(); err != nil {
				h.broken("a router does not start: %v", err)
			}
		}
	}},
	{"a router is cut off from control", func(h *Harbour, n func(int) int) func() {
		f := h.Fairways[n(len(h.Fairways))]
		cut := func(on bool) {
			for _, m := range h.Masters {
				if m.Boot.IP != f.Boot.IP {
					h.Sea.Cut(f.Boot.IP, m.Boot.IP, on)
				}
			}
		}
		cut(true)
		return func() { cut(false) }
	}},
	{"a control process is killed", func(h *Harbour, n func(int) int) func() {
		m := h.Masters[n(len(h.Masters))]
		m.Kill()
		return m.mustStart
	}},
	{"hosts fail and hang", func(h *Harbour, n func(int) int) func() {
		a, b := h.Quays[n(len(h.Quays))], h.Quays[n(len(h.Quays))]
		set := func(part float64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			a.Grey, b.Hang = part, part
		}
		set(0.5)
		return func() { set(0) }
	}},
	{"a zone is evacuated", func(h *Harbour, n func(int) int) func() {
		z := zone(n(h.Zones))
		h.Order("evacuation.begin", z, nil, 6*time.Second, n(len(h.Masters)))
		return func() { h.Order("evacuation.finish", z, nil, 6*time.Second, n(len(h.Masters))) }
	}},
	{"twice the traffic", func(h *Harbour, n func(int) int) func() {
		for z := range h.Zones {
			h.Traffic(&Tally{}, z, Route{Name: "safe-rush", Prefix: look.Prefix, Service: "desk", Safe: true}, 25, 4*time.Second)
		}
		return nil
	}},
}

// drawnTraffic plays a day with one trouble, or two of them at once, and holds all that hosts and clients saw against the rules.
func drawnTraffic(t *testing.T, seed int) (part float64) {
	one, two := seed%len(troubled), seed/len(troubled)%(len(troubled)+1)
	name := troubled[one].name
	if two < len(troubled) && two != one {
		name += ", " + troubled[two].name
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := Layout{Zones: 6, Routers: 2, Hosts: 3, Services: []string{"desk"}, Work: 80 * time.Millisecond, Slots: 3, Rate: float64(4 + 8*(seed%3)), Seed: uint64(seed), Apart: seed%3 == 2}
		h := opened(c, l)
		time.Sleep(2 * time.Second)
		lasts := 13 * time.Second
		var tally Tally
		for z := range l.Zones {
			h.Traffic(&tally, z, look, 2*l.Rate, lasts)
			h.Traffic(&tally, z, issue, l.Rate, lasts)
		}
		draw := random.Source{Seed: uint64(seed) * 7919}
		n := func(n int) int { return int(draw.Next() * float64(n)) }
		time.Sleep(time.Second)
		undo := []func(){troubled[one].do(h, n)}
		if two < len(troubled) && two != one {
			time.Sleep(time.Duration(n(1500)) * time.Millisecond)
			undo = append(undo, troubled[two].do(h, n))
		}
		time.Sleep(4500 * time.Millisecond)
		for _, f := range undo {
			if f != nil {
				f()
			}
		}
		time.Sleep(lasts)
		served, asked, how := tally.Counts()
		part = float64(served) / float64(asked)
		c.Check(h.Judge(), qt.HasLen, 0, qt.Commentf("seed %d, %s: %s", seed, name, how))
		c.Check(part > 0.6, qt.IsTrue, qt.Commentf("seed %d, %s: %d of %d, %s", seed, name, served, asked, how))
		t.Logf("seed %d, %s: %.3f of %d, %s", seed, name, part, asked, how)
	})
	return part
}

// -args -seeds 132 plays each trouble and each two of them once.
func TestDrawnTraffic(t *testing.T) {
	for seed := *from - 1; seed < *from-1+*seeds; seed++ {
		drawnTraffic(t, seed)
	}
}
