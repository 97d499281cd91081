package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/random"
)

// trafficFaults are faults and load changes that affect traffic. undo is nil if there is nothing to repair.
var trafficFaults = []struct {
	name string
	do   func(h *Cluster, n func(int) int) (undo func())
}{
	{"a host crashes", func(h *Cluster, n func(int) int) func() { h.Hosts[n(len(h.Hosts))].Crash(); return nil }},
	{"hosts lose power", func(h *Cluster, n func(int) int) func() {
		a, b := h.Hosts[n(len(h.Hosts))], h.Hosts[n(len(h.Hosts))]
		h.Network.SetPoweredOff(a.IP(), true)
		h.Network.SetPoweredOff(b.IP(), true)
		return func() {
			h.Network.SetPoweredOff(a.IP(), false)
			h.Network.SetPoweredOff(b.IP(), false)
		}
	}},
	{"hosts are replaced", func(h *Cluster, n func(int) int) func() {
		z := n(h.Zones)
		for _, q := range h.Hosts[:len(h.Hosts):len(h.Hosts)] {
			if q.Zone == zoneName(z) {
				h.StartHost("desk", z, "v1", time.Second)
				q.Drain()
			}
		}
		return nil
	}},
	{"a zone fails and returns with cold hosts", func(h *Cluster, n func(int) int) func() {
		z := n(h.Zones)
		lost := 0
		for _, q := range h.Hosts[:len(h.Hosts):len(h.Hosts)] {
			if q.Zone == zoneName(z) {
				q.Crash()
				lost++
			}
		}
		h.Controls[z].Kill()
		h.Network.SetPoweredOff(h.Controls[z].Settings.IP, true)
		for _, f := range h.Proxies {
			if f.Settings.Zone == zoneName(z) {
				f.Kill()
				h.Network.SetPoweredOff(f.Settings.IP, true)
			}
		}
		return func() {
			h.Network.SetPoweredOff(h.Controls[z].Settings.IP, false)
			h.Controls[z].mustStart()
			for _, f := range h.Proxies {
				if f.Settings.Zone == zoneName(z) {
					h.Network.SetPoweredOff(f.Settings.IP, false)
					if err := f.Start(); err != nil {
						h.violation("cannot start proxy: %v", err)
					}
				}
			}
			for range lost {
				h.StartHost("desk", z, "v1", 3*time.Second)
			}
		}
	}},
	{"half of the proxies are killed", func(h *Cluster, n func(int) int) func() {
		for i, f := range h.Proxies {
			if i%2 == 0 {
				f.Kill()
			}
		}
		return func() {
			for i, f := range h.Proxies {
				if i%2 == 0 {
					if err := f.Start(); err != nil {
						h.violation("cannot start proxy: %v", err)
					}
				}
			}
		}
	}},
	{"a proxy drains", func(h *Cluster, n func(int) int) func() {
		f := h.Proxies[n(len(h.Proxies))]
		done := make(chan bool)
		h.background.Go(func() {
			defer close(done)
			f.Running.Drain()
		})
		return func() {
			<-done
			f.Kill()
			if err := f.Start(); err != nil {
				h.violation("cannot start proxy: %v", err)
			}
		}
	}},
	{"a proxy is partitioned from control", func(h *Cluster, n func(int) int) func() {
		f := h.Proxies[n(len(h.Proxies))]
		cut := func(on bool) {
			for _, m := range h.Controls {
				if m.Settings.IP != f.Settings.IP {
					h.Network.SetPartition(f.Settings.IP, m.Settings.IP, on)
				}
			}
		}
		cut(true)
		return func() { cut(false) }
	}},
	{"a control process is killed", func(h *Cluster, n func(int) int) func() {
		m := h.Controls[n(len(h.Controls))]
		m.Kill()
		return m.mustStart
	}},
	{"hosts fail and hang", func(h *Cluster, n func(int) int) func() {
		a, b := h.Hosts[n(len(h.Hosts))], h.Hosts[n(len(h.Hosts))]
		set := func(rate float64) {
			h.mu.Lock()
			defer h.mu.Unlock()
			a.FailRate, b.HangRate = rate, rate
		}
		set(0.5)
		return func() { set(0) }
	}},
	{"a zone is evacuated", func(h *Cluster, n func(int) int) func() {
		z := zoneName(n(h.Zones))
		h.Call("evacuation.begin", z, nil, 6*time.Second, n(len(h.Controls)))
		return func() { h.Call("evacuation.finish", z, nil, 6*time.Second, n(len(h.Controls))) }
	}},
	{"additional traffic", func(h *Cluster, n func(int) int) func() {
		for z := range h.Zones {
			h.GenerateTraffic(&Tally{}, z, Route{Name: "safe-rush", Prefix: safeRoute.Prefix, Service: "desk", Idempotent: true}, 25, 4*time.Second)
		}
		return nil
	}},
}

// playRandomTraffic runs traffic with one fault, or two at once, and checks what hosts and clients observed. It returns the fraction of
// requests that were served.
func playRandomTraffic(t *testing.T, seed int) (servedFraction float64) {
	one, two := seed%len(trafficFaults), seed/len(trafficFaults)%(len(trafficFaults)+1)
	name := trafficFaults[one].name
	if two < len(trafficFaults) && two != one {
		name += ", " + trafficFaults[two].name
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := Layout{Zones: 6, ProxiesPerZone: 2, HostsPerZone: 3, Services: []string{"desk"}, ServiceTime: 80 * time.Millisecond, Concurrency: 3, Rate: float64(4 + 8*(seed%3)), Seed: uint64(seed), SkewClocks: seed%3 == 2}
		cluster := startCluster(c, layout)
		time.Sleep(2 * time.Second)
		duration := 13 * time.Second
		var tally Tally
		for z := range layout.Zones {
			cluster.GenerateTraffic(&tally, z, safeRoute, 2*layout.Rate, duration)
			cluster.GenerateTraffic(&tally, z, unsafeRoute, layout.Rate, duration)
		}
		rng := random.Source{Seed: uint64(seed) * 7919}
		n := func(n int) int { return int(rng.Float64() * float64(n)) }
		time.Sleep(time.Second)
		undo := []func(){trafficFaults[one].do(cluster, n)}
		if two < len(trafficFaults) && two != one {
			time.Sleep(time.Duration(n(1500)) * time.Millisecond)
			undo = append(undo, trafficFaults[two].do(cluster, n))
		}
		time.Sleep(4500 * time.Millisecond)
		for _, f := range undo {
			if f != nil {
				f()
			}
		}
		time.Sleep(duration)
		served, requests, outcome := tally.Counts()
		servedFraction = float64(served) / float64(requests)
		c.Check(cluster.Verify(), qt.HasLen, 0, qt.Commentf("seed %d, %s: %s", seed, name, outcome))
		c.Check(servedFraction > 0.6, qt.IsTrue, qt.Commentf("seed %d, %s: served %d of %d requests; outcomes %s", seed, name, served, requests, outcome))
		t.Logf("seed %d, %s: served %.3f of %d requests; outcomes %s", seed, name, servedFraction, requests, outcome)
	})
	return servedFraction
}

// Use -args -seeds 132 to run each fault alone and each ordered pair of faults.
func TestRandomTraffic(t *testing.T) {
	for seed := *firstSeed - 1; seed < *firstSeed-1+*randomRuns; seed++ {
		playRandomTraffic(t, seed)
	}
}
