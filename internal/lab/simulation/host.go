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

	// ColdRequestsPerSecond is the configured request rate limit of a cold host.
	ColdRequestsPerSecond = 3.0

	// In any second a cold host may receive ColdRequestsPerSecond*coldOverrun + coldSlack requests.
	coldOverrun = 1.5
	coldSlack   = 5

	hostCallTimeout = time.Second // for a call to one control process
)

// Host is a host of a service. Its exported fields must be set before its first request, except that FailAll, FailRate and HangRate
// may be changed later while cluster.mu is held.
type Host struct {
	ID, Service, Zone, Version, Address string

	ServiceTime     time.Duration
	FailAll         bool
	FailRate        float64 // fraction of requests that get status 500
	HangRate        float64 // fraction of requests that never get a response
	ResponseBytes   int     // body size of responses; 0 for a short body
	AbortAfterBytes int     // body size after which a long response is aborted; 0 for never

	cluster *Cluster
	process *Process
	server  *http.Server
	cancel  context.CancelFunc // stops the heartbeats
	slots   chan struct{}      // semaphore for running requests

	mu           sync.Mutex  // guards the fields below, except executions
	state        string      // server state in heartbeats
	warmUntil    time.Time   // end of the warm-up
	drainAckedAt time.Time   // first acknowledgement of a heartbeat with state "draining"
	sequence     int         // number of the last heartbeat
	arrivals     []time.Time // arrival times within the last second, recorded during the warm-up

	executions int // guarded by cluster.mu
}

// IP returns the host's IP address.
func (host *Host) IP() string { return host.Address[:strings.IndexByte(host.Address, ':')] }

// StartHost starts a host of a service and version in a zone. Its heartbeats report it as cold until warmup has passed.
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

// newHost creates a host on a new machine.
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

// Executions returns the number of requests that the host has started to run.
func (host *Host) Executions() int {
	host.cluster.mu.Lock()
	defer host.cluster.mu.Unlock()
	return host.executions
}

// Drain makes the host's further heartbeats report that it is draining. It still accepts requests.
func (host *Host) Drain() {
	host.mu.Lock()
	defer host.mu.Unlock()
	host.state = "draining"
}

// Crash terminates the host immediately, without notice to control.
func (host *Host) Crash() {
	host.cancel()
	host.process.Kill()
	host.server.Close()
}

// sendHeartbeats sends a heartbeat every HeartbeatInterval until ctx is done. It begins with the control process of the host's zone
// and follows the addresses that replies name.
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

// sendHeartbeat sends a heartbeat to the control processes in turn, beginning with controlIndex, until one acknowledges it. It returns
// the index of the control process for the next heartbeat.
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

// heartbeat returns the body of the next heartbeat and increments its sequence number.
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

// recordAcknowledged records the time of the first acknowledged heartbeat of a draining host.
func (host *Host) recordAcknowledged() {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.state == "draining" && host.drainAckedAt.IsZero() {
		host.drainAckedAt = time.Now()
	}
}

// redirected returns the index of the control process named in the reply to a heartbeat, or controlIndex if the reply names none.
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

// mustMarshal encodes v as JSON; it panics if v can't be encoded.
func mustMarshal(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
