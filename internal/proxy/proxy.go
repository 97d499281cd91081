// Package proxy is the process that carries traffic: it follows the updates of a control process, keeps a snapshot of the routing
// table and the endpoints, and has a decision engine choose a host for each request.
//
// A request's way, a file a stage: listener.go and client_conn.go (accept, deadlines), handler.go (ServeHTTP, where to begin reading),
// request_check.go (framing, head, route), body.go, route.go and quota.go (admission), host_state.go (which hosts the decision
// engine may choose), forward.go and host_protocol.go (an attempt at a host), answer.go and refusal.go. The snapshot that requests
// are routed by is in routing_snapshot.go; what control sends comes in by control_link.go and updates.go.
//
// The package decides nothing about hosts, retries or rollouts itself: internal/decision does, and internal/proxy/attempt says what
// may be sent again.
package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/network"
	"portflow/internal/cluster/settings"
	"portflow/internal/connlimit"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/endpoint"
	"portflow/internal/random"
	"portflow/internal/upstream"
)

// Options are how a process that carries traffic runs.
type Options struct {
	Settings settings.Settings
	Network  network.Network
	Seed     uint64
	Clock    dispatch.Clock // nanoseconds, never back; nil for this machine's monotonic clock
}

// Proxy is a process that carries traffic.
type Proxy struct {
	Options
	ctx         context.Context
	clock       dispatch.Clock
	upstreams   *upstream.Pool
	gossiper    *gossip.Gossiper
	connections *connlimit.Limiter
	server      atomic.Pointer[http.Server]
	front       atomic.Pointer[net.Listener]
	acceptDone  chan struct{} // closed once no connection is accepted any more

	mu             sync.Mutex // guards what follows; a service's lock may be locked under it, and never the other way round
	endpoints      *endpoint.Table
	services       map[string]*service
	control        *controlLink // the control process that is followed
	subscribedAt   int64        // Unix nanoseconds
	history        endpoint.History
	quotasActive   bool // demand is reported to control, since the first quota
	reportedDemand bool // the last report had any

	shortage endpoint.Shortage // only the ticker uses it

	snapshot      atomic.Pointer[routingSnapshot]
	cutOffSince   atomic.Int64 // since when no control process with a quorum is heard, 0 where one is
	rejoinedAt    atomic.Int64 // when one was heard again
	ready         atomic.Bool  // a complete snapshot of the configuration has come
	draining      atomic.Bool
	refusing      atomic.Bool  // no new request is served any more
	borrowing     atomic.Bool  // other proxies lend this one their shares
	openRequests  atomic.Int64 // requests that have no answer yet
	unfinished    atomic.Int64 // clients' connections that are new, or have a request that isn't answered yet
	heldBodyBytes atomic.Int64 // bytes of requests' bodies
	counters      counters
	forwarded     forwardCounts

	randomMu sync.Mutex // guards random
	random   random.Source
}

const second = int64(time.Second)

const (
	connectTimeout      = 400 * time.Millisecond // more than the longest round trip, and a packet sent again
	upstreamIdleTimeout = 8 * time.Second        // hosts close connections that are idle for some seconds
	maxBufferedAnswer   = 256 << 10              // bytes of a host's answer that are read before it is passed on; longer ones are streamed
)

const (
	reservedDescriptors = 300 // file descriptors for all but the connections of clients and to hosts
	minConnections      = 64
)

// Start starts the process; it serves until Drain, or until its context ends. The caller calls Close after that.
func Start(ctx context.Context, o Options) (*Proxy, error) {
	p := newProxy(ctx, o)
	if err := p.startGossip(); err != nil {
		return nil, err
	}
	front, err := p.listen("front")
	if err != nil {
		return nil, err
	}
	readiness, err := p.listen("readiness")
	if err != nil {
		return nil, err
	}
	p.publish(endpoint.Changes{Routing: true, Proxies: true})
	p.startServers(front, readiness)
	go p.gossiper.Run(ctx) // these end with the context
	go p.followControl()
	go p.runTicker()
	klog.InfoS("proxy serving", "node", o.Settings.Name, "zone", o.Settings.Zone)
	return p, nil
}

// newProxy is a process that has neither routes nor connections yet.
func newProxy(ctx context.Context, o Options) *Proxy {
	s := o.Settings
	p := &Proxy{
		Options:      o,
		ctx:          ctx,
		clock:        o.Clock,
		acceptDone:   make(chan struct{}),
		services:     map[string]*service{},
		subscribedAt: time.Now().UnixNano(),
		endpoints:    endpoint.NewTable(s.Name, endpoint.Location{Zone: s.Zone, Region: s.Region}, s.ZoneRegions),
	}
	if p.clock == nil {
		p.clock = dispatch.NewClock() // a step of the time of day changes nothing
	}
	p.random.Seed = ^o.Seed
	maxConnections := max(minConnections, (s.Descriptors-reservedDescriptors)/2) // one half each: clients, hosts
	p.connections = connlimit.New(maxConnections, maxConnections*3/4)
	p.upstreams = upstream.New(upstream.Options{
		Protocol:       hostProtocol{maxBufferedAnswer},
		ConnectTimeout: connectTimeout,
		IdleTimeout:    upstreamIdleTimeout,
		MaxConns:       maxConnections,
		Dial:           o.Network.Dial,
		OnPanic:        p.attemptPanicked,
	})
	return p
}

// attemptPanicked counts and logs a panic of an attempt, which ends that attempt alone.
func (p *Proxy) attemptPanicked(v any, stack []byte) {
	p.counters.panics.Add(1)
	klog.ErrorS(fmt.Errorf("%v", v), "attempt", "stack", string(stack))
}

// startGossip opens the gossip socket; the seed nodes are the members that are known to begin with.
func (p *Proxy) startGossip() error {
	s := p.Settings
	packets, err := p.Network.ListenPacket(net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[1])))
	if err != nil {
		return fmt.Errorf("network.internal-port-range: %w", err)
	}
	self := gossip.Member{IP: s.IP, Kind: gossip.Proxy, Zone: s.Zone}
	ports := [2]int{s.InternalPorts[0], s.InternalPorts[1]}
	p.gossiper = gossip.NewGossiper(self, packets, ports, p.Seed, p.receiveGossip)
	for _, node := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(node); err == nil {
			p.gossiper.Add(gossip.Member{IP: host, Kind: gossip.Control})
		}
	}
	return nil
}

// listen opens a listener of the settings by its name.
func (p *Proxy) listen(name string) (net.Listener, error) {
	l, err := p.Network.Listen(p.Settings.ListenAddresses[name])
	if err != nil {
		return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
	}
	return l, nil
}
