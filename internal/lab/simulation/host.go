package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Host is a host.
type Host struct {
	cluster                        *Cluster
	ID, Service                    string
	Zone, Version                  string
	Address                        string
	FailAll                        bool          // its answers are errors
	FailRate, HangRate             float64       // a part of them is, or never comes, while its beats are good
	ResponseBytes, AbortAfterBytes int           // bytes of its answers, and after how many it breaks off, 0 for never
	ServiceTime                    time.Duration // a request's
	process                        *Process
	server                         *http.Server
	slots                          chan struct{}
	mu                             sync.Mutex
	state                          string
	warmUntil                      time.Time
	drainAckedAt                   time.Time // when it was first heard that it drains
	sequence                       int
	arrivals                       []time.Time
	cancel                         context.CancelFunc
	executions                     int
}

// IP is the number that the host has.
func (host *Host) IP() string { return host.Address[:strings.IndexByte(host.Address, ':')] }

// Executions is how many requests it has run.
func (host *Host) Executions() int {
	host.cluster.mu.Lock()
	defer host.cluster.mu.Unlock()
	return host.executions
}

// Drain has it say that it is leaving.
func (host *Host) Drain() {
	host.mu.Lock()
	defer host.mu.Unlock()
	host.state = "draining"
}

// Crash ends it without a word.
func (host *Host) Crash() {
	host.cancel()
	host.process.Kill()
	host.server.Close()
}

// sendHeartbeats tells the control processes of the host, the nearest that answers.
func (host *Host) sendHeartbeats(ctx context.Context, zoneIndex int) {
	client := host.cluster.httpClient(host.process, time.Second)
	defer client.CloseIdleConnections()
	controlIndex := zoneIndex
	for ctx.Err() == nil {
		host.mu.Lock()
		host.sequence++
		cold := max(0, time.Until(host.warmUntil).Seconds())
		body, _ := json.Marshal(map[string]any{"address": host.Address, "information": map[string]any{"service": host.Service, "version": host.Version,
			"zone-name": host.Zone, "slot-count": max(1, host.cluster.Concurrency)}, "current-status": map[string]any{"server-state": host.state, "sequence": host.sequence,
			"cold-remaining-s": cold}})
		host.mu.Unlock()
		for range len(host.cluster.Controls) {
			status, reply, err := callRPC(ctx, client, host.cluster.Controls[controlIndex].Settings.ListenAddresses["control"], "instances.heartbeat", host.ID, body)
			if err == nil && status == 200 {
				host.mu.Lock()
				if host.state == "draining" && host.drainAckedAt.IsZero() {
					host.drainAckedAt = time.Now()
				}
				host.mu.Unlock()
				var decoded map[string]string
				json.Unmarshal(reply, &decoded)
				if target := decoded["heartbeat-address"]; target != "" {
					controlIndex = slices.IndexFunc(host.cluster.Controls, func(node *ControlNode) bool { return node.Settings.ListenAddresses["control"] == target })
				}
				break
			}
			controlIndex = (controlIndex + 1) % len(host.cluster.Controls)
		}
		select {
		case <-time.After(time.Duration(host.cluster.Controls[0].Settings.HeartbeatInterval)):
		case <-ctx.Done():
		}
	}
}

// ServeHTTP runs a request.
func (host *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expected-Instance"); want != host.ID {
		w.Header().Set("Answering-Instance", host.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body)
	host.recordArrival(r.Header.Get("Attempt-Id"))
	select {
	case host.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-host.slots }()
	id := r.Header.Get("Attempt-Id")
	host.cluster.mu.Lock()
	host.cluster.executions[id]++
	host.executions++
	fail := host.FailAll || host.cluster.rng.Float64() < host.FailRate
	hang := host.cluster.rng.Float64() < host.HangRate
	host.cluster.mu.Unlock()
	work := host.ServiceTime
	if hang {
		work = time.Hour
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Attempt-Id", id)
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Server-Seal", host.ID)
	if host.ResponseBytes > 0 {
		host.writeLongResponse(w)
		return
	}
	fmt.Fprintf(w, "%s ran %s", host.ID, id)
}

// writeLongResponse answers with many bytes.
func (host *Host) writeLongResponse(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(host.ResponseBytes))
	chunk := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	for sent := 0; sent < host.ResponseBytes; sent += len(chunk) {
		if host.AbortAfterBytes > 0 && sent >= host.AbortAfterBytes {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk[:min(len(chunk), host.ResponseBytes-sent)]); err != nil {
			return
		}
	}
}

// recordArrival counts what a cold host gets within a second, what comes to a host that has long said that it leaves, and what was
// at some host before.
func (host *Host) recordArrival(id string) {
	now := time.Now()
	host.cluster.mu.Lock()
	if host.cluster.arrived[id] {
		host.cluster.reattempts = append(host.cluster.reattempts, now)
	}
	host.cluster.arrived[id] = true
	host.cluster.mu.Unlock()
	host.mu.Lock()
	defer host.mu.Unlock()
	if limit := time.Duration(host.cluster.Controls[0].Settings.Terms.DrainLimit); !host.drainAckedAt.IsZero() && now.Sub(host.drainAckedAt) > limit {
		host.cluster.violation("DRAIN: %s got %s %v after it was heard to leave", host.ID, id, now.Sub(host.drainAckedAt))
	}
	if now.After(host.warmUntil) {
		return
	}
	host.arrivals = append(slices.DeleteFunc(host.arrivals, func(t time.Time) bool { return now.Sub(t) >= time.Second }), now)
	if n := len(host.arrivals); float64(n) > ColdRequestsPerSecond*1.5+5 {
		host.cluster.violation("FAILBACK: cold host %s got %d requests in a second", host.ID, n)
	}
}

// StartHost starts a host of a service and a version; one that starts cold says so.
func (cl *Cluster) StartHost(service string, zoneIndex int, version string, warmup time.Duration) *Host {
	cl.mu.Lock()
	cl.lastHost++
	n := cl.lastHost
	cl.mu.Unlock()
	ip := fmt.Sprintf("10.%d.%d.%d", zoneIndex+1, 64+n>>8, n&255)
	host := &Host{cluster: cl, ID: fmt.Sprintf("i-%04d", n), Service: service, Zone: zoneName(zoneIndex), Version: version, Address: ip + ":9000", ServiceTime: cl.ServiceTime,
		process: cl.Network.Process(ip), slots: make(chan struct{}, max(1, cl.Concurrency)), state: "ready", warmUntil: time.Now().Add(warmup)}
	ctx, cancel := context.WithCancel(cl.ctx)
	host.cancel = cancel
	ln, err := host.process.Listen(host.Address)
	if err != nil {
		panic(err)
	}
	host.server = &http.Server{Handler: host}
	cl.mu.Lock()
	cl.Hosts = append(cl.Hosts, host)
	cl.mu.Unlock()
	cl.background.Go(func() { host.server.Serve(ln) })
	cl.background.Go(func() { host.sendHeartbeats(ctx, zoneIndex) })
	return host
}

// ColdRequestsPerSecond is what a cold host bears.
const ColdRequestsPerSecond = 3.0
