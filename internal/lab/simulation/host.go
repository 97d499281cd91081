package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	hostPort = 9000

	// ColdRequestsPerSecond is how many requests a cold host bears.
	ColdRequestsPerSecond = 3.0

	coldOverrun = 1.5 // by which a cold host's requests may exceed what it bears
	coldSlack   = 5   // requests beyond that

	hostCallTimeout = time.Second // for one call to a control process
)

// Host is a host of a service. Its exported fields are set before its first request.
type Host struct {
	ID, Service, Zone, Version, Address string

	ServiceTime     time.Duration
	FailAll         bool
	FailRate        float64 // fraction of the requests that it answers with 500
	HangRate        float64 // fraction of the requests that it never answers
	ResponseBytes   int     // of a long response, 0 for a short one
	AbortAfterBytes int     // of a long response, 0 for none

	cluster *Cluster
	process *Process
	server  *http.Server
	cancel  context.CancelFunc // ends its heartbeats
	slots   chan struct{}      // one for each request that it runs

	mu           sync.Mutex  // guards what follows
	state        string      // as its heartbeats report it
	warmUntil    time.Time   // until when it is cold
	drainAckedAt time.Time   // when control first acknowledged that it drains
	sequence     int         // of its heartbeats
	arrivals     []time.Time // while it is cold, those of the last second

	executions int // guarded by cluster.mu
}

// IP returns the host's IP address.
func (host *Host) IP() string { return host.Address[:strings.IndexByte(host.Address, ':')] }

// StartHost starts a host of a service and a version; one that starts cold reports that, and is warm after a while.
func (cl *Cluster) StartHost(service string, zoneIndex int, version string, warmup time.Duration) *Host {
	host := cl.newHost(service, zoneIndex, version)
	host.warmUntil = time.Now().Add(warmup)
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
	cl.background.Go(func() {
		if err := host.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			cl.violation("HOST: %s: %v", host.ID, err)
		}
	})
	cl.background.Go(func() { host.sendHeartbeats(ctx, zoneIndex) })
	return host
}

// newHost makes a host on a machine of its own.
func (cl *Cluster) newHost(service string, zoneIndex int, version string) *Host {
	cl.mu.Lock()
	cl.lastMachine++
	n := cl.lastMachine
	cl.mu.Unlock()
	ip := fmt.Sprintf("10.%d.%d.%d", zoneIndex+1, 64+n>>8, n&255)
	return &Host{
		cluster:     cl,
		ID:          fmt.Sprintf("i-%04d", n),
		Service:     service,
		Zone:        zoneName(zoneIndex),
		Version:     version,
		Address:     fmt.Sprintf("%s:%d", ip, hostPort),
		ServiceTime: cl.ServiceTime,
		process:     cl.Network.Process(ip),
		slots:       make(chan struct{}, max(1, cl.Concurrency)),
		state:       "ready",
	}
}

// Executions returns how many requests the host has run.
func (host *Host) Executions() int {
	host.cluster.mu.Lock()
	defer host.cluster.mu.Unlock()
	return host.executions
}

// Drain has the host report that it drains.
func (host *Host) Drain() {
	host.mu.Lock()
	defer host.mu.Unlock()
	host.state = "draining"
}

// Crash ends the host at once, and it reports nothing.
func (host *Host) Crash() {
	host.cancel()
	host.process.Kill()
	host.server.Close()
}

// sendHeartbeats reports the host to the nearest control process that answers, until the context ends.
func (host *Host) sendHeartbeats(ctx context.Context, zoneIndex int) {
	client := host.cluster.httpClient(host.process, hostCallTimeout)
	defer client.CloseIdleConnections()
	controlIndex := zoneIndex
	for ctx.Err() == nil {
		controlIndex = host.sendHeartbeat(ctx, client, controlIndex)
		select {
		case <-time.After(time.Duration(host.cluster.Controls[0].Settings.HeartbeatInterval)):
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat sends one heartbeat to control processes in turn until one acknowledges it, and returns the one for the next.
func (host *Host) sendHeartbeat(ctx context.Context, client *http.Client, controlIndex int) (next int) {
	body := host.heartbeat()
	controls := host.cluster.Controls
	for range len(controls) {
		address := controls[controlIndex].Settings.ListenAddresses["control"]
		status, reply, err := callRPC(ctx, client, address, "instances.heartbeat", host.ID, body)
		if err == nil && status == http.StatusOK {
			host.recordAcknowledged()
			return host.cluster.redirected(reply, controlIndex)
		}
		controlIndex = (controlIndex + 1) % len(controls)
	}
	return controlIndex
}

// heartbeat returns the body of the next heartbeat.
func (host *Host) heartbeat() []byte {
	host.mu.Lock()
	defer host.mu.Unlock()
	host.sequence++
	return mustMarshal(map[string]any{
		"address": host.Address,
		"information": map[string]any{
			"service":    host.Service,
			"version":    host.Version,
			"zone-name":  host.Zone,
			"slot-count": max(1, host.cluster.Concurrency),
		},
		"current-status": map[string]any{
			"server-state":     host.state,
			"sequence":         host.sequence,
			"cold-remaining-s": max(0, time.Until(host.warmUntil).Seconds()),
		},
	})
}

// recordAcknowledged notes when control first acknowledged that the host drains.
func (host *Host) recordAcknowledged() {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.state == "draining" && host.drainAckedAt.IsZero() {
		host.drainAckedAt = time.Now()
	}
}

// redirected returns the control process that a heartbeat's reply names, the one that replied if it names none.
func (cl *Cluster) redirected(reply []byte, controlIndex int) int {
	var decoded struct {
		HeartbeatAddress string `json:"heartbeat-address"`
	}
	if json.Unmarshal(reply, &decoded) != nil || decoded.HeartbeatAddress == "" {
		return controlIndex
	}
	return slices.IndexFunc(cl.Controls, func(node *ControlNode) bool {
		return node.Settings.ListenAddresses["control"] == decoded.HeartbeatAddress
	})
}

// mustMarshal encodes what a simulation built itself; it panics on values that JSON does not have.
func mustMarshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
