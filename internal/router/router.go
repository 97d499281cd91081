// Package router runs a standalone router. It connects the HTTP server, the dispatcher, the connections to hosts, host
// discovery and the deployment platform, and the optional features that the operator's file enables. Start reading at
// StartWith.
package router

import (
	"context"
	"math"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/pacing"
	"portflow/internal/retryguard"
	"portflow/internal/router/config"
	"portflow/internal/router/discovery"
	"portflow/internal/router/flow"
	"portflow/internal/router/flow/export"
	"portflow/internal/router/flow/ipfix"
	"portflow/internal/router/ingress"
	"portflow/internal/router/peers"
	"portflow/internal/router/platform"
	"portflow/internal/router/protocol"
	"portflow/internal/router/settings"
	"portflow/internal/router/site"
	"portflow/internal/upstream"
)

// drainDelay is how long a draining router keeps accepting connections. The load balancers in front of it take up to 0.4 s to
// stop sending them.
const drainDelay = 550 * time.Millisecond

// Router is a running router. Start and StartWith return one, and Drain stops it.
type Router struct {
	server    *ingress.Server
	discovery *discovery.Watcher
	platform  *platform.Client
	cancel    context.CancelFunc
	failed    chan error       // receives the result of server.Serve
	stopped   chan struct{}    // closed when the dispatcher has stopped
	flows     *export.Exporter // nil if flow export is disabled
}

// Start starts a router, which serves requests until Drain. If ctx is done earlier, the router stops processing requests, but only
// Drain closes its listener.
func Start(ctx context.Context, c config.Config, s site.Config, log zerolog.Logger) (*Router, error) {
	var guard dispatch.Guard
	if s.Storm != nil {
		g, err := retryguard.New(RetryGuardSettings(c.Settings, *s.Storm), c.Seed, time.Now().UnixNano())
		if err != nil {
			return nil, err
		}
		guard = g
	}
	return StartWith(ctx, c, guard, newExporter(c, s.Flows, log), log)
}

// newExporter returns nil if f is nil.
func newExporter(c config.Config, f *site.Flows, log zerolog.Logger) *export.Exporter {
	if f == nil {
		return nil
	}
	options := export.Options{Version9: f.Protocol == "netflow9", Domain: f.Domain, Enterprise: f.Enterprise, Refresh: time.Duration(f.Refresh), Packets: refreshPackets,
		MTU: f.MTU, Linger: drainDelay, Names: ipfix.Names{Carriers: c.Settings.CustomerNames, Bands: c.Settings.ClassNames}}
	for _, collectorURL := range f.Collectors {
		network, address, _ := strings.Cut(collectorURL, "://")
		options.Collectors = append(options.Collectors, export.Collector{Network: network, Address: address})
	}
	meter := export.NewMeter(flow.Limits{Active: f.Active, Idle: f.Idle, MaxConnections: c.Sockets}, len(options.Collectors), f.Memory, dispatch.NewClock())
	return export.New(options, meter, log)
}

// refreshPackets is the number of UDP messages after which templates are sent again, a few seconds' worth for a busy router.
const refreshPackets = 200

// StartWith is like Start, with a guard and an exporter that the caller has created; nil disables either. The goroutines that it
// starts end when ctx is done or Drain cancels their context, except the one of server.Serve, which ends when Drain shuts the server
// down.
func StartWith(ctx context.Context, c config.Config, guard dispatch.Guard, flows *export.Exporter, log zerolog.Logger) (*Router, error) {
	ctx, cancel := context.WithCancel(ctx)
	router := &Router{cancel: cancel, failed: make(chan error, 1), stopped: make(chan struct{})}
	clock := dispatch.NewClock()
	dispatcher := dispatch.New(clock, log)
	// Half of the file descriptors are for connections to hosts, the other half for clients. Requests that wait for a host are
	// kept here, because rejecting a request or closing its connection leads to a retry, which costs more.
	maxConns := (c.Sockets - reservedDescriptors) / 2
	connectTimeout := time.Duration(c.Settings.ConnectTimeout)
	// A host writes a response in one go: one that takes longer than ConnectTimeout after its first byte is never completed.
	options := upstream.Options{Protocol: protocol.Protocol{ReportFields: c.Settings.AnswerReportFields}, ConnectTimeout: connectTimeout, ReadTimeout: connectTimeout,
		IdleTimeout: time.Duration(c.Settings.IdleTimeout), MaxConns: maxConns, OnPanic: func(v any, stack []byte) {
			log.Error().Interface("panic", v).Bytes("stack", stack).Msg("hand-off")
		}}
	var meter *export.Meter
	if flows != nil {
		meter = flows.Meter
		options.Observe = observeConns(meter)
	}
	pool := upstream.New(options)
	router.discovery = discovery.New(c.Discovery, c.Settings, log, dispatcher.Post)
	router.discovery.SetKnown(c.KnownHosts.Revision)
	router.discovery.Seed(c.Seed)
	router.platform = platform.New(c.Platform, c.Settings.ClassNames, time.Duration(c.Settings.VoteTimeout), log, dispatcher.Post)
	router.platform.Seed(^c.Seed)
	outputs := dispatch.Outputs{Upstream: pool, Platform: router.platform, HostWatcher: router.discovery}
	initial := dispatchConfig(c, maxConns)
	initial.Guard = guard
	if c.Settings.Gossip {
		gossip, err := peers.Listen(c.PeerListen, c.Peers, log, dispatcher.Post)
		if err != nil {
			cancel()
			return nil, err
		}
		outputs.Peers = gossip
		go gossip.Run(ctx)
	}
	listenConfig := net.ListenConfig{KeepAlive: -1} // unresponsive clients are detected by the server's timeouts
	listenConfig.SetMultipathTCP(false)
	listener, err := listenConfig.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		cancel()
		return nil, err
	}
	pool.Preconnect(preconnectTargets(initial))
	go func() {
		defer close(router.stopped)
		dispatcher.Run(ctx, initial, outputs)
	}()
	go router.discovery.Run(ctx)
	go router.platform.Run(ctx)
	router.server = ingress.New(c.Settings, maxConns, initial.Settings.MaxOpen, clock, dispatcher.Post)
	router.server.Meter = meter
	if router.flows = flows; flows != nil {
		go flows.Run(ctx)
	}
	go func() { router.failed <- router.server.Serve(listener) }()
	log.Info().Str("listen", c.Listen).Int("hosts", len(c.KnownHosts.Hosts)).Int("build", c.Rollout.Build).
		Bool("storm", guard != nil).Msg("serving")
	return router, nil
}

func dispatchConfig(c config.Config, maxConns int) dispatch.Config {
	s := c.Settings.Settings
	s.MaxOpen = maxOpen(s.MaxOpen, maxConns)
	hosts := c.KnownHosts.HostsChanged
	hosts.Kind = decision.CachedSnapshot
	return dispatch.Config{Settings: s, Seed: c.Seed, Hosts: hosts, Rollout: c.Rollout}
}

// preconnectTargets returns the addresses of the hosts to which the router opens connections before its first request, those that
// the decision engine uses first at the front, and the maximum number of these connections, which is estimated from the request
// rates and the initial latencies in the settings, and is unlimited if no rates are set.
func preconnectTargets(s dispatch.Config) (addresses []string, maxConns int) {
	ready := s.Hosts.ReadyAddresses()
	for _, i := range pacing.PreconnectOrder(len(ready), s.Settings.Rank) {
		addresses = append(addresses, ready[i])
	}
	rate, latency := 0.0, 0.0
	for _, c := range s.Settings.Customers {
		rate += c.PerSecond
	}
	for _, class := range s.Settings.Classes {
		latency += class.InitialLatency() / 1e9 / float64(len(s.Settings.Classes))
	}
	if maxConns = pacing.PreconnectCount(rate, latency, s.Settings.Routers); maxConns == 0 {
		maxConns = math.MaxInt
	}
	return addresses, maxConns
}

// RetryGuardSettings derives the settings of a retry guard from the settings of the router and the operator's tuning.
func RetryGuardSettings(s settings.Settings, tuning retryguard.Tuning) retryguard.Settings {
	guardSettings := retryguard.Settings{Tuning: tuning, Customers: len(s.Settings.Customers), Routers: s.Routers, ColdCapacity: s.ColdCapacity,
		WarmUpTime: s.WarmUpTime, MaxRetryAfter: s.MaxRetryAfter}
	for _, class := range s.Settings.Classes {
		guardSettings.Classes = append(guardSettings.Classes, retryguard.Class{LatencyTarget: class.LatencyTarget, Timeout: class.Timeout, Value: class.Value})
	}
	return guardSettings
}

// Failed returns a channel that receives an error if the HTTP server fails, and nil if Drain has shut it down.
func (r *Router) Failed() <-chan error { return r.failed }

// UpdateAddresses switches to the addresses of discovery and the platform in a new configuration, and ignores its other fields.
func (r *Router) UpdateAddresses(next config.Config) {
	r.discovery.SetAddress(next.Discovery)
	r.platform.SetAddress(next.Platform)
}

// Drain shuts the router down gracefully. The router keeps accepting connections for drainDelay and finishes the requests in
// progress. Drain returns when the dispatcher and the flow export have ended; the error is non-nil if some requests did not finish
// in time.
func (r *Router) Drain() error {
	err := r.server.Drain(drainDelay)
	r.cancel()
	<-r.stopped
	if r.flows != nil { // sends the remaining records, for up to Linger
		<-r.flows.Done()
	}
	return err
}

// reservedDescriptors is the number of file descriptors that a router needs apart from the connections to clients and hosts: for the
// standard streams, the poller, the listener, the socket for gossip, four votes, and, twice while a new configuration is applied,
// for discovery, the platform's stream and the configuration file.
const reservedDescriptors = 20

// maxOpen returns the maximum number of open requests. It is at most maxConns, as each of them occupies a client connection. A
// configured limit of 0 means that there is no other limit.
func maxOpen(configured, maxConns int) int {
	if configured == 0 || configured > maxConns {
		return maxConns
	}
	return configured
}

// connCounter counts the traffic of a connection to a host for flow export. It implements upstream.ConnCounter.
type connCounter struct{ *export.Conn }

func observeConns(m *export.Meter) upstream.Observer {
	return func(host string, local, remote net.Addr) upstream.ConnCounter {
		return connCounter{m.Open(flow.Label{Side: flow.Hosts, Host: host}, export.Address(local), export.Address(remote))}
	}
}

func (c connCounter) AttemptStarted(to dispatch.Host, r *dispatch.Request) {
	c.Answered()
	c.Command(flow.Label{Side: flow.Hosts, Carrier: uint16(r.Customer + 1), Band: uint8(r.Class + 1), Host: to.Address}, 0)
}

func (c connCounter) Closed() { c.Close(false) }
