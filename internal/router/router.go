// Package router puts one router on sockets together: its carriers, its reducer, and the parts that a site's file
// switches on.
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

// drainDelay is for how long a front may go on sending connections to a router that leaves; fronts take up to 0.4 s.
const drainDelay = 550 * time.Millisecond

// Router is a router that serves.
type Router struct {
	server    *ingress.Server
	discovery *discovery.Watcher
	platform  *platform.Client
	cancel    context.CancelFunc
	failed    chan error
	stopped   chan struct{} // the reducer has ended
	flows     *export.Exporter
}

// Start brings a router up; it serves until Leave, or until the context ends.
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

// newExporter makes an exporter, or none.
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

// refreshPackets is after how many messages over UDP templates are sent again: some seconds' worth of a busy router.
const refreshPackets = 200

// StartWith is Start with a guard and an exporter of the caller's, or none.
func StartWith(ctx context.Context, c config.Config, guard dispatch.Guard, flows *export.Exporter, log zerolog.Logger) (*Router, error) {
	ctx, cancel := context.WithCancel(ctx)
	router := &Router{cancel: cancel, failed: make(chan error, 1), stopped: make(chan struct{})}
	clock := dispatch.NewClock()
	dispatcher := dispatch.New(clock, log)
	// Hosts may have half of the descriptors and clients the other. What waits for a host waits here: a command that
	// is refused, or has its connection closed, comes again and costs more.
	maxConns := (c.Sockets - reservedDescriptors) / 2
	connectTimeout := time.Duration(c.Settings.ConnectTimeout)
	// hosts write an answer at once: one that takes longer than a connection to come up never ends
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
	listenConfig := net.ListenConfig{KeepAlive: -1} // clients that went silent are found by the time-outs
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

// preconnect tells the hosts to which a router opens connections before its first command, those that the rules use first,
// and how many at most, by the time that the rules guess for its commands.
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

// RetryGuardSettings is what a guard is told of a deployment.
func RetryGuardSettings(s settings.Settings, tuning retryguard.Tuning) retryguard.Settings {
	guardSettings := retryguard.Settings{Tuning: tuning, Customers: len(s.Settings.Customers), Routers: s.Routers, ColdCapacity: s.ColdCapacity,
		WarmUpTime: s.WarmUpTime, MaxRetryAfter: s.MaxRetryAfter}
	for _, class := range s.Settings.Classes {
		guardSettings.Classes = append(guardSettings.Classes, retryguard.Class{LatencyTarget: class.LatencyTarget, Timeout: class.Timeout, Value: class.Value})
	}
	return guardSettings
}

// Failed gets the error that ends the service by itself.
func (r *Router) Failed() <-chan error { return r.failed }

// UpdateAddresses takes up the addresses of discovery and the platform in a new configuration.
func (r *Router) UpdateAddresses(next config.Config) {
	r.discovery.SetAddress(next.Discovery)
	r.platform.SetAddress(next.Platform)
}

// Drain ends the service once what it took is finished; clients go on coming for a while before.
func (r *Router) Drain() error {
	err := r.server.Drain(drainDelay)
	r.cancel()
	<-r.stopped
	if r.flows != nil { // what is left goes out within its time
		<-r.flows.Done()
	}
	return err
}

// reservedDescriptors is how many descriptors a router needs beside those of clients and hosts: standard streams, the poller, the
// listener, peers, four votes, and discovery, the platform's news and the file, twice while a new configuration comes.
const reservedDescriptors = 20

// maxOpen is how many commands may be open: each holds a client's connection.
func maxOpen(configured, maxConns int) int {
	if configured == 0 || configured > maxConns {
		return maxConns
	}
	return configured
}

// connCounter accounts for what passes on a connection to a host.
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
