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

// responseFault is something that a bad host does with an answer.
type responseFault uint8

const (
	noResponse        responseFault = iota // it runs, says nothing and keeps the connection
	resetAfterRun                          // it runs and resets the connection
	closedAfterRun                         // it runs and closes it
	closedBeforeRun                        // it closes it without having run
	lateResponse                           // it answers after a second or two
	duplicateResponse                      // its answer comes twice at once
	lateDuplicate                          // and once more some time later, in the place of another's
	rejectedTwice                          // it turns it away, in two copies
	rejectedTwiceLate                      // it turns it away, and once more some time later
	truncatedResponse                      // its answer ends early
	leadingGarbage                         // it sends bytes that are no answer
	trailingGarbage                        // it sends some behind its answer
	wrongAttemptID                         // it says another's id
	missingAttemptID                       // it says none
	protocolSwitch                         // it changes the protocol
	interimResponses                       // it sends 1xx before
	chunkedResponse                        // it answers in chunks, with trailers
	unframedReset                          // its answer has no stated end, and is reset on the way
	unframedResponse                       // its answer has no stated end, and ends with its connection
	earlyRejection                         // it turns it away, or answers, before it has read its body, and reads on
	bare429                                // it runs, and answers 429 without a word that it did not
	responseFaults
)

var responseFaultNames = [responseFaults]string{"lost", "broken", "closed", "unread", "late", "doubled", "copied", "unrun", "unrun late", "cut", "noise", "behind",
	"another's", "nobody's", "switched", "hinted", "chunked", "endless", "unframed", "early", "promising"}

// faultyHostRun is one drawn run with faulty hosts.
type faultyHostRun struct {
	*Cluster
	mu      sync.Mutex
	rng     random.Source
	counts  map[string]int
	stopped map[string]bool // addresses whose first host has ended, and routers that were stopped
}

// takeProxy is one that was not stopped yet.
func (r *faultyHostRun) takeProxy() *ProxyNode {
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

// crashHost crashes a host that has its address to itself.
func (r *faultyHostRun) crashHost() *Host {
	for {
		if host := r.Hosts[r.intn(len(r.Hosts))]; !r.stopped[host.Address] {
			r.stopped[host.Address] = true
			host.Crash()
			return host
		}
	}
}

// disturbances are what happens besides in such a run.
var disturbances = []struct {
	name string
	do   func(d *faultyHostRun) (undo func())
}{
	{"nothing", func(d *faultyHostRun) func() { return nil }},
	{"a router is killed while it is busy", func(d *faultyHostRun) func() {
		f := d.takeProxy()
		f.Kill()
		return func() {
			if err := f.Start(); err != nil {
				d.violation("a router does not start: %v", err)
			}
		}
	}},
	{"a router drains, and is killed before it is done", func(d *faultyHostRun) func() {
		f, done := d.takeProxy(), make(chan bool)
		d.background.Go(func() {
			defer close(done)
			f.Running.Drain()
		})
		time.Sleep(time.Duration(d.intn(1500)) * time.Millisecond)
		f.Kill()
		return func() {
			<-done
			if err := f.Start(); err != nil {
				d.violation("a router does not start: %v", err)
			}
		}
	}},
	{"a router is cut off from hosts", func(d *faultyHostRun) func() {
		f, q := d.Proxies[d.intn(len(d.Proxies))], d.Hosts[d.intn(len(d.Hosts))]
		d.Network.SetPartition(f.Settings.IP, q.IP(), true)
		return func() { d.Network.SetPartition(f.Settings.IP, q.IP(), false) }
	}},
	{"an address is another's", func(d *faultyHostRun) func() {
		q := d.crashHost()
		time.Sleep(time.Duration(d.intn(300)) * time.Millisecond)
		var z int
		fmt.Sscanf(q.Zone, "z%d", &z)
		d.startFaultyHost("mail", z, q.Address, 0)
		return func() { d.startFaultyHost("desk", z, "", 0) }
	}},
	{"an address is a new life's", func(d *faultyHostRun) func() {
		q := d.crashHost()
		var z int
		fmt.Sscanf(q.Zone, "z%d", &z)
		d.startFaultyHost("desk", z, q.Address, 0)
		return nil
	}},
	{"a host is dark", func(d *faultyHostRun) func() {
		q := d.Hosts[d.intn(len(d.Hosts))]
		d.Network.SetPoweredOff(q.IP(), true)
		return func() { d.Network.SetPoweredOff(q.IP(), false) }
	}},
}

// playFaultyHosts plays one run in virtual time, and returns what was done and how many requests were served.
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
					faults = append(faults, responseFault(run.intn(int(responseFaults))))
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

// Hosts' responses are lost, late, doubled and corrupted, addresses are reused, proxies are killed while they are busy or drain,
// and clients pipeline and go away: no response goes to another request, nothing runs twice, and what is rejected has not run.
// -args -rough 10000 plays as many runs, from -from on.
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
			t.Logf("%d days: %d of %d served, %v", seed-*firstSeed+1, served, requests, counts)
		}
	}
	t.Logf("%d days: %d of %d served", *faultyHostRuns, served, requests)
	for _, label := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%s: %d", label, counts[label])
	}
	if requests == 0 || float64(served) < 0.5*float64(requests) {
		t.Errorf("%d of %d served", served, requests)
	}
}
