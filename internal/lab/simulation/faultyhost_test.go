package simulation

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
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

// faultyHostRun is one drawn day.
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

// startFaultyHost starts a host that speaks for itself, at an address that may have been another's; of its requests so many in a hundred
// are answered by each of its quirks.
func (r *faultyHostRun) startFaultyHost(service string, zoneIndex int, address string, faultPercent int, faults ...responseFault) *Host {
	r.Cluster.mu.Lock()
	r.lastHost++
	n := r.lastHost
	r.Cluster.mu.Unlock()
	if address == "" {
		address = fmt.Sprintf("10.%d.64.%d:9000", zoneIndex+1, n)
	}
	host := &Host{cluster: r.Cluster, ID: fmt.Sprintf("i-%04d", n), Service: service, Zone: zoneName(zoneIndex), Version: "v1", Address: address, ServiceTime: r.ServiceTime,
		slots: make(chan struct{}, r.Concurrency), state: "ready", server: &http.Server{}}
	host.process = r.Network.Process(host.IP())
	ctx, cancel := context.WithCancel(r.ctx)
	host.cancel = cancel
	ln, err := host.process.Listen(address)
	if err != nil {
		panic(err)
	}
	r.Cluster.mu.Lock()
	r.Hosts = append(r.Hosts, host)
	r.Cluster.mu.Unlock()
	r.background.Go(func() { host.sendHeartbeats(ctx, zoneIndex) })
	r.background.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.background.Go(func() { r.serveConn(ctx, host, c, faultPercent, faults) })
		}
	})
	return host
}

// serveConn is one connection of such a host.
func (r *faultyHostRun) serveConn(ctx context.Context, host *Host, nc net.Conn, faultPercent int, faults []responseFault) {
	defer nc.Close()
	var mu sync.Mutex // whole answers, whoever sends them
	write := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(nc, text)
	}
	wait := func(t time.Duration) {
		select {
		case <-time.After(t):
		case <-ctx.Done():
		}
	}
	reader, previousID := bufio.NewReader(nc), "none"
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Attempt-Id")
		idHeader := "Attempt-Id: " + id + "\r\n"
		if req.ContentLength > sendWindow && r.intn(100) < faultPercent && slices.Contains(faults, earlyRejection) && req.Header.Get("Expected-Instance") == host.ID {
			r.count(responseFaultNames[earlyRejection])
			host.recordArrival(id)
			write("HTTP/1.1 503 Service Unavailable\r\n" + idHeader + "Request-Not-Run: full\r\nContent-Length: 0\r\n\r\n")
			wait(time.Duration(r.intn(400)) * time.Millisecond)
			rest, err := io.ReadAll(req.Body)
			if strings.Trim(string(rest), "b") != "" {
				r.violation("UNASKED: other bytes in the body of %s", id)
			}
			if err != nil {
				return
			}
			continue
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.Header.Get("Expected-Instance") != host.ID {
			r.count("misdirected")
			write("HTTP/1.1 421 Misdirected Request\r\n" + idHeader + "Content-Length: 0\r\n\r\n")
			continue
		}
		host.recordArrival(id)
		fault := responseFaults
		if r.intn(100) < faultPercent {
			fault = faults[r.intn(len(faults))]
			r.count(responseFaultNames[fault])
		}
		rejection := "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + "Request-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
		release := func() {}
		select {
		case host.slots <- struct{}{}:
			release = func() { <-host.slots }
		default: // it has no queue
			fault = rejectedTwice
		}
		switch fault {
		case closedBeforeRun:
			release()
			return
		case rejectedTwice, rejectedTwiceLate:
			release()
			write(rejection)
			if fault == rejectedTwiceLate {
				wait(time.Duration(r.intn(40)) * time.Millisecond)
			}
			write(rejection)
			previousID = id
			continue
		}
		r.Cluster.mu.Lock()
		r.executions[id]++
		host.executions++
		r.Cluster.mu.Unlock()
		wait(host.ServiceTime/2 + time.Duration(r.intn(int(host.ServiceTime))))
		release()
		body := host.ID + " ran " + id
		responseHead := func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + id + "Server-Seal: " + host.ID + "\r\n"
		}
		okResponse := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", responseHead(idHeader), len(body), body)
		switch fault {
		case noResponse:
			continue
		case resetAfterRun:
			nc.(*conn).reset()
			return
		case closedAfterRun:
			return
		case lateResponse:
			wait(time.Duration(500+r.intn(2000)) * time.Millisecond)
			write(okResponse)
		case duplicateResponse:
			write(okResponse + okResponse)
		case lateDuplicate:
			write(okResponse)
			r.background.Go(func() {
				wait(time.Duration(r.intn(300)) * time.Millisecond)
				write(okResponse)
			})
		case truncatedResponse:
			write(okResponse[:r.intn(len(okResponse))])
			return
		case leadingGarbage:
			write("\xff\x00what\r\n\r\n" + okResponse)
		case trailingGarbage:
			write(okResponse + "\r\n\x00")
		case wrongAttemptID:
			write(strings.Replace(okResponse, id, previousID, 1))
		case missingAttemptID:
			write(strings.Replace(okResponse, idHeader, "", 1))
		case protocolSwitch:
			write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" + idHeader + "Server-Seal: s\r\n\r\n")
		case interimResponses:
			write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nAttempt-Id: " + previousID + "\r\nRequest-Not-Run: 1\r\n\r\n" + okResponse)
		case chunkedResponse:
			write(fmt.Sprintf("%sTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n%x;y\r\n%s\r\n0\r\nX: 1\r\n\r\n", responseHead(idHeader), len(body), body))
		case unframedReset:
			write(responseHead(idHeader) + "\r\n" + body[:r.intn(len(body))])
			wait(time.Duration(r.intn(10)) * time.Millisecond)
			nc.(*conn).reset()
			return
		case unframedResponse:
			write(responseHead(idHeader) + "\r\n" + body)
			return
		case bare429:
			write("HTTP/1.1 429 Too Many Requests\r\n" + idHeader + "Content-Length: 0\r\n\r\n")
		default:
			write(okResponse)
		}
		previousID = id
	}
}

// runRudeClients are clients that pipeline, go away in the middle of a body, or with their request at a host.
func (r *faultyHostRun) runRudeClients(zoneIndex int, duration time.Duration) {
	process := r.Network.Process(fmt.Sprintf("10.%d.201.1", zoneIndex+1))
	deadline := time.Now().Add(duration)
	for n := 0; time.Now().Before(deadline); n++ {
		time.Sleep(time.Duration(50+r.intn(200)) * time.Millisecond)
		kind, address := r.intn(4), r.pickProxy(zoneIndex)
		r.background.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, time.Second)
			defer cancel()
			nc, err := process.Dial(ctx, "tcp", address)
			if err != nil {
				return
			}
			defer nc.Close()
			requests, ids := "", []string{}
			for k := range 3 {
				id := fmt.Sprintf("visit-%d-%d-%d", zoneIndex, n, k)
				ids = append(ids, id)
				requests += fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nTime-Remaining: 2000\r\nContent-Length: 9\r\n\r\n123456789", unsafeRoute.Prefix, id)
			}
			recordOutcome := func(id, outcome string) {
				r.Cluster.mu.Lock()
				defer r.Cluster.mu.Unlock()
				if r.requests = append(r.requests, time.Now()); r.outcomes[id] == "" || outcome != "gone" {
					r.outcomes[id] = outcome
				}
			}
			first := requests[:len(requests)/3]
			switch kind {
			case 0: // in the middle of a body: its id was never sent whole, and no host may run it
				io.WriteString(nc, first[:len(first)-1-r.intn(8)])
				time.Sleep(time.Duration(r.intn(200)) * time.Millisecond)
				if r.intn(2) == 0 {
					nc.(*conn).reset()
				}
				r.count("half a body")
			case 1:
				recordOutcome(ids[0], "gone")
				io.WriteString(nc, first)
				time.Sleep(time.Duration(r.intn(150)) * time.Millisecond)
				if r.intn(2) == 0 {
					nc.(*conn).reset()
				}
				r.count("client gone")
			default:
				if kind == 3 { // long bodies
					requests = strings.ReplaceAll(requests, "Content-Length: 9\r\n\r\n123456789", fmt.Sprintf("Content-Length: %d\r\n\r\n", 5*sendWindow)+strings.Repeat("b", 5*sendWindow))
					r.count("long bodies")
				}
				for _, id := range ids {
					recordOutcome(id, "gone")
				}
				r.background.Go(func() { io.WriteString(nc, requests) })
				nc.SetReadDeadline(time.Now().Add(8 * time.Second))
				reader := bufio.NewReader(nc)
				for _, id := range ids {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					body, err := io.ReadAll(resp.Body)
					if err != nil {
						break
					}
					if recordOutcome(id, fmt.Sprint(resp.StatusCode)); resp.StatusCode == 200 && !strings.HasSuffix(string(body), " ran "+id) {
						r.violation("MIXED: %s got %q", id, body)
					}
					if resp.Close {
						break
					}
				}
				r.count("pipelined")
			}
		})
	}
}

// disturbances are what happens besides on such a day.
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

// playFaultyHosts plays one day in virtual time and tells what was done and how it ended.
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

// Days on which hosts' answers are lost, late, doubled and spoilt, addresses are used again, routers killed while they are busy
// or drain, and clients pipeline and go away: nothing is mixed up, nothing runs twice, and what is refused has not run.
// -args -rough 10000 plays as many, from -from on.
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
