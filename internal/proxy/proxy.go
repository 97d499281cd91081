// Package proxy is the process that carries traffic: it follows the news of a control process, and its rules choose a
// host for each request.
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
	Clock    dispatch.Clock // nanoseconds, never back; none for this machine's, anchored once
}

// Proxy is such a process.
type Proxy struct {
	Options
	ctx         context.Context
	clock       dispatch.Clock
	upstreams   *upstream.Pool
	gossiper    *gossip.Gossiper
	connections *connlimit.Limiter
	server      atomic.Pointer[http.Server]

	mu           sync.Mutex // over the board and all that follows
	endpoints    *endpoint.Table
	services     map[string]*service
	control      *controlLink
	subscribedAt int64
	history      endpoint.History
	shortage     endpoint.Shortage

	snapshot     atomic.Pointer[routingSnapshot]
	cutOffSince  atomic.Int64 // since when no control process in touch is heard, 0 for not
	ready        atomic.Bool  // a snapshot has come
	draining     atomic.Bool
	refusing     atomic.Bool  // it takes no more requests
	rejoinedAt   atomic.Int64 // when one was heard again
	openRequests atomic.Int64 // requests
	front        atomic.Pointer[net.Listener]
	accepted     chan struct{} // closed once no connection is accepted any more
	// clients' connections that are new, or have a request that isn't answered yet
	unfinished     atomic.Int64
	heldBodyBytes  atomic.Int64 // bytes of bodies
	counters       counters
	forwarded      forwardCounts
	borrowing      atomic.Bool // others' parts, to this router
	quotasActive   bool        // callers' shares are told of
	reportedDemand bool        // what they ask for, the last time
	randomMu       sync.Mutex
	random         random.Source
}

const second = int64(time.Second)

const (
	connectTimeout      = 400 * time.Millisecond // beyond the longest way twice, and a packet sent again
	upstreamIdleTimeout = 8 * time.Second        // hosts close connections that stand idle for some seconds
	maxBufferedAnswer   = 256 << 10              // bytes of a host's answer that is read whole; longer ones are passed on as they come
)

// Start brings the process up; it serves until Leave.
func Start(ctx context.Context, o Options) (*Proxy, error) {
	b := o.Settings
	f := &Proxy{Options: o, ctx: ctx, clock: o.Clock, accepted: make(chan struct{}), services: map[string]*service{}, subscribedAt: time.Now().UnixNano()}
	if f.clock == nil {
		f.clock = dispatch.NewClock() // a step of the time of day changes nothing
	}
	f.random.Seed = ^o.Seed
	f.endpoints = endpoint.NewTable(b.Name, endpoint.Location{Zone: b.Zone, Region: b.Region}, b.ZoneRegions)
	half := max(64, (b.Descriptors-300)/2)
	f.connections = connlimit.New(half, half*3/4)
	f.upstreams = upstream.New(upstream.Options{Protocol: hostProtocol{maxBufferedAnswer}, ConnectTimeout: connectTimeout, IdleTimeout: upstreamIdleTimeout, MaxConns: half,
		Dial: o.Network.Dial, OnPanic: func(v any, stack []byte) {
			f.counters.panics.Add(1)
			klog.ErrorS(fmt.Errorf("%v", v), "hand-off", "stack", string(stack))
		}})
	packets, err := o.Network.ListenPacket(net.JoinHostPort(b.IP, strconv.Itoa(b.InternalPorts[1])))
	if err != nil {
		return nil, fmt.Errorf("network.internal-port-range: %w", err)
	}
	f.gossiper = gossip.Start(gossip.Member{IP: b.IP, Kind: gossip.Proxy, Zone: b.Zone}, packets, [2]int{b.InternalPorts[0], b.InternalPorts[1]},
		o.Seed, f.receiveGossip)
	for _, s := range b.SeedNodes {
		if host, _, err := net.SplitHostPort(s); err == nil {
			f.gossiper.Add(gossip.Member{IP: host, Kind: gossip.Control})
		}
	}
	var all []net.Listener
	for _, name := range []string{"front", "readiness"} {
		l, err := o.Network.Listen(b.ListenAddresses[name])
		if err != nil {
			return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
		}
		all = append(all, l)
	}
	f.publish(endpoint.Changes{Routing: true, Proxies: true})
	f.startServers(all[0], all[1])
	go f.gossiper.Run(ctx)
	go f.followControl()
	go f.runTicker()
	klog.InfoS("fairway serves", "node", b.Name, "zone", b.Zone)
	return f, nil
}
