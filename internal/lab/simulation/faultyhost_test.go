package simulation

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/random"
)

var faultyHostRuns = flag.Int("rough", 6, "drawn days of hosts with bad answers to play")

// responseFault is a way in which a faulty host handles a response.
type responseFault uint8

const (
	noResponse        responseFault = iota // runs the request, doesn't respond, keeps the connection
	resetAfterRun                          // runs the request and resets the connection
	closedAfterRun                         // runs the request and closes the connection
	closedBeforeRun                        // closes the connection without running the request
	lateResponse                           // responds after 0.5 to 2.5 s
	duplicateResponse                      // sends the response twice in one write
	lateDuplicate                          // sends the response again later, where another one is expected
	rejectedTwice                          // rejects the request twice
	rejectedTwiceLate                      // rejects the request, and again some time later
	truncatedResponse                      // sends only the start of the response
	leadingGarbage                         // sends invalid bytes before the response
	trailingGarbage                        // sends invalid bytes after the response
	wrongAttemptID                         // responds with the ID of another attempt
	missingAttemptID                       // responds without an attempt ID
	protocolSwitch                         // responds with 101 Switching Protocols
	interimResponses                       // sends 1xx responses first
	chunkedResponse                        // sends a chunked response with trailers
	unframedReset                          // sends a response without a length and resets the connection during the body
	unframedResponse                       // sends a response without a length, ended by closing the connection
	earlyRejection                         // rejects the request before reading its body, and then reads it
	bare429                                // runs the request and responds with 429, without stating that it didn't run
	responseFaultCount
)

var responseFaultNames = [responseFaultCount]string{"lost", "broken", "closed", "unread", "late", "doubled", "copied", "unrun", "unrun late", "cut", "noise", "behind",
	"another's", "nobody's", "switched", "hinted", "chunked", "endless", "unframed", "early", "promising"}

// faultyHostRun is a randomized run with faulty hosts.
type faultyHostRun struct {
	*Cluster
	mu      sync.Mutex
	rng     random.Source
	counts  map[string]int
	stopped map[string]bool // addresses whose first host was crashed, and names of proxies that were stopped
}

// pickUnstoppedProxy picks a proxy that was not stopped yet, and marks it as stopped.
func (r *faultyHostRun) pickUnstoppedProxy() *ProxyNode {
	for {
		if proxyNode := r.Proxies[r.intn(len(r.Proxies))]; !r.stopped[proxyNode.Settings.Name] {
			r.stopped[proxyNode.Settings.Name] = true
			return proxyNode
		}
	}
}

func (r *faultyHostRun) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(r.rng.Float64() * float64(n))
}

func (r *faultyHostRun) count(label string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[label]++
}

// crashHost crashes a host at an address where none was crashed before.
func (r *faultyHostRun) crashHost() *Host {
	for {
		if host := r.Hosts[r.intn(len(r.Hosts))]; !r.stopped[host.Address] {
			r.stopped[host.Address] = true
			host.Crash()
			return host
		}
	}
}

// disturbances are faults of proxies, hosts and the network that are added to a run.
var disturbances = []struct {
	name string
	do   func(d *faultyHostRun) (undo func())
}{
	{"nothing", func(d *faultyHostRun) func() { return nil }},
	{"a proxy is killed under load", func(d *faultyHostRun) func() {
		px := d.pickUnstoppedProxy()
		px.Kill()
		return func() {
			if err := px.Start(); err != nil {
				d.violation("proxy failed to start: %v", err)
			}
		}
	}},
	{"a proxy is killed while it drains", func(d *faultyHostRun) func() {
		px, done := d.pickUnstoppedProxy(), make(chan bool)
		d.background.Go(func() {
			defer close(done)
			px.Running.Drain()
		})
		time.Sleep(time.Duration(d.intn(1500)) * time.Millisecond)
		px.Kill()
		return func() {
			<-done
			if err := px.Start(); err != nil {
				d.violation("proxy failed to start: %v", err)
			}
		}
	}},
	{"a proxy is partitioned from a host", func(d *faultyHostRun) func() {
		px, host := d.Proxies[d.intn(len(d.Proxies))], d.Hosts[d.intn(len(d.Hosts))]
		d.Network.SetPartition(px.Settings.IP, host.IP(), true)
		return func() { d.Network.SetPartition(px.Settings.IP, host.IP(), false) }
	}},
	{"an address is reused by another service", func(d *faultyHostRun) func() {
		host := d.crashHost()
		time.Sleep(time.Duration(d.intn(300)) * time.Millisecond)
		var z int
		fmt.Sscanf(host.Zone, "z%d", &z)
		d.startFaultyHost("mail", z, host.Address, 0)
		return func() { d.startFaultyHost("desk", z, "", 0) }
	}},
	{"an address is reused by a new instance", func(d *faultyHostRun) func() {
		host := d.crashHost()
		var z int
		fmt.Sscanf(host.Zone, "z%d", &z)
		d.startFaultyHost("desk", z, host.Address, 0)
		return nil
	}},
	{"a host is powered off", func(d *faultyHostRun) func() {
		host := d.Hosts[d.intn(len(d.Hosts))]
		d.Network.SetPoweredOff(host.IP(), true)
		return func() { d.Network.SetPoweredOff(host.IP(), false) }
	}},
}

// playFaultyHosts plays one run in virtual time. It returns how often each fault occurred, and how many requests were served and sent.
func playFaultyHosts(t *testing.T, seed int) (counts map[string]int, served, requests int) {
	firstDisturbance, secondDisturbance := disturbances[seed%len(disturbances)], disturbances[seed/len(disturbances)%len(disturbances)]
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := Layout{Zones: 3, ProxiesPerZone: 2, Services: []string{"desk", "mail"}, ServiceTime: 40 * time.Millisecond, Concurrency: 3, Rate: 8, Seed: uint64(seed)}
		cluster := New(layout)
		c.Assert(cluster.Start(), qt.IsNil)
		c.Cleanup(cluster.Stop)
		run := &faultyHostRun{Cluster: cluster, rng: random.Source{Seed: uint64(seed)*7919 + 1}, counts: map[string]int{}, stopped: map[string]bool{}}
		for z := range layout.Zones {
			for range 2 {
				var faults []responseFault
				faultPercent := []int{0, 5, 20, 40}[run.intn(4)]
				for range 1 + run.intn(4) {
					faults = append(faults, responseFault(run.intn(int(responseFaultCount))))
				}
				run.startFaultyHost("desk", z, "", faultPercent, faults...)
			}
		}
		time.Sleep(2 * time.Second)
		configure(c, cluster, cluster.ChangeBody(true, safeRoute, unsafeRoute), 0)
		time.Sleep(1500 * time.Millisecond)
		duration := 5 * time.Second
		var tally Tally
		for z := range layout.Zones {
			cluster.GenerateTraffic(&tally, z, safeRoute, layout.Rate, duration)
			cluster.GenerateTraffic(&tally, z, unsafeRoute, 2*layout.Rate, duration)
			cluster.background.Go(func() { run.runRudeClients(z, duration) })
		}
		time.Sleep(time.Second + time.Duration(run.intn(500))*time.Millisecond)
		undo := []func(){firstDisturbance.do(run)}
		time.Sleep(time.Duration(run.intn(800)) * time.Millisecond)
		undo = append(undo, secondDisturbance.do(run))
		time.Sleep(1500 * time.Millisecond)
		for _, f := range undo {
			if f != nil {
				f()
			}
		}
		time.Sleep(8 * time.Second)
		var summary string
		served, requests, summary = tally.Counts()
		counts = run.counts
		c.Check(cluster.Verify(), qt.HasLen, 0, qt.Commentf("seed %d, %s, %s: %s", seed, firstDisturbance.name, secondDisturbance.name, summary))
	})
	return counts, served, requests
}

// With lost, late, duplicate and corrupted responses, reused addresses, proxies killed under load, and clients that pipeline and
// disconnect, no response may reach another request, no request may run twice, and a rejected request must not have run.
// -args -rough N plays N runs, with seeds from -from on.
func TestFaultyHostResponses(t *testing.T) {
	counts, served, requests := map[string]int{}, 0, 0
	for seed := *firstSeed; seed < *firstSeed+*faultyHostRuns; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCounts, runServed, runRequests := playFaultyHosts(t, seed)
			for label, n := range runCounts {
				counts[label] += n
			}
			served, requests = served+runServed, requests+runRequests
		})
		if (seed-*firstSeed+1)%500 == 0 {
			t.Logf("%d runs: %d of %d requests served, %v", seed-*firstSeed+1, served, requests, counts)
		}
	}
	t.Logf("%d runs: %d of %d requests served", *faultyHostRuns, served, requests)
	for _, label := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%s: %d", label, counts[label])
	}
	if requests == 0 || float64(served) < 0.5*float64(requests) {
		t.Errorf("%d of %d requests served, want at least half", served, requests)
	}
}
