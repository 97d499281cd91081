// Package proxy implements the process that forwards clients' requests to hosts. It receives updates from a control process, keeps a
// snapshot of the routing table and the endpoints, and has a decision engine choose a host for each request.
//
// A request passes through these files: listener.go and client_conn.go (accepting, deadlines), handler.go (ServeHTTP; start reading
// there), request_check.go (framing, header, route), body.go, route.go and quota.go (admission), host_state.go (which hosts the decision
// engine may choose), forward.go and host_protocol.go (an attempt at a host), answer.go and refusal.go (the response). The snapshot that
// requests are routed with is in routing_snapshot.go; control_link.go and updates.go receive the updates from control.
//
// The package itself makes no decisions about hosts, retries or rollouts: internal/decision makes them, and internal/proxy/attempt
// determines which requests may be sent again.
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

// Options configures a Proxy.
type Options struct {
	Settings settings.Settings
	Network  network.Network
	Seed     uint64
	Clock    dispatch.Clock // must never go back; nil for dispatch.NewClock
}

// Proxy is a running proxy process. Start returns one.
type Proxy struct {
	Options
	ctx         context.Context
	clock       dispatch.Clock
	upstreams   *upstream.Pool
	gossiper    *gossip.Gossiper
	connections *connlimit.Limiter
	server      atomic.Pointer[http.Server]
	front       atomic.Pointer[net.Listener]
	acceptDone  chan struct{} // closed once no more connections are accepted

	mu             sync.Mutex // guards the fields up to reportedDemand; a service's mu may be locked while it is held, but not vice versa
	endpoints      *endpoint.Table
	services       map[string]*service
	control        *controlLink // link to the control process that is followed or was last; nil before the first
	subscribedAt   int64        // when control was last replaced, in Unix nanoseconds; at first the start of the proxy
	history        endpoint.History
	quotasActive   bool // set with the first quota: since then demand is reported to control
	reportedDemand bool // whether the last report had any demand

	shortage endpoint.Shortage // used only by the goroutine of runTicker

	snapshot      atomic.Pointer[routingSnapshot]
	cutOffSince   atomic.Int64 // when the link to control ended, 0 while a usable control process is followed
	rejoinedAt    atomic.Int64 // when a usable control process was followed again after that
	ready         atomic.Bool  // a complete snapshot was received from control
	draining      atomic.Bool
	refusing      atomic.Bool  // new requests are refused
	borrowing     atomic.Bool  // short of capacity in the zone: other proxies lend this one their shares of hosts
	openRequests  atomic.Int64 // number of requests without an answer yet
	unfinished    atomic.Int64 // number of client connections that are new or have a request without an answer yet
	heldBodyBytes atomic.Int64 // memory for request bodies, in bytes
	counters      counters
	forwarded     forwardCounts

	randomMu sync.Mutex // guards random
	random   random.Source
}

const second = int64(time.Second)

const (
	connectTimeout      = 400 * time.Millisecond // longer than the longest round trip plus one retransmission
	upstreamIdleTimeout = 8 * time.Second        // hosts close connections that were idle for several seconds
	maxBufferedAnswer   = 256 << 10              // bytes; longer answers of hosts are streamed
)

const (
	reservedDescriptors = 300 // file descriptors for uses other than connections of clients and to hosts
	minConnections      = 64
)

// Start starts a proxy, which serves until Drain is called or ctx is done. The caller must call Close after that.
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
	go p.gossiper.Run(ctx) // this goroutine and the next two end when ctx is done
	go p.followControl()
	go p.runTicker()
	klog.InfoS("proxy serving", "node", o.Settings.Name, "zone", o.Settings.Zone)
	return p, nil
}

// newProxy returns a proxy without routes and connections.
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
		p.clock = dispatch.NewClock() // unaffected by steps of the wall clock
	}
	p.random.Seed = ^o.Seed
	maxConnections := max(minConnections, (s.Descriptors-reservedDescriptors)/2) // half for clients, half for hosts
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

// attemptPanicked counts and logs a panic in an attempt. Other attempts continue.
func (p *Proxy) attemptPanicked(v any, stack []byte) {
	p.counters.panics.Add(1)
	klog.ErrorS(fmt.Errorf("%v", v), "attempt", "stack", string(stack))
}

// startGossip opens the gossip socket and adds the seed nodes as the first known members.
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

// listen opens the listener with the given name in the settings.
func (p *Proxy) listen(name string) (net.Listener, error) {
	l, err := p.Network.Listen(p.Settings.ListenAddresses[name])
	if err != nil {
		return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
	}
	return l, nil
}
