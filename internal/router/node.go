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

// frontDelay is for how long a front may go on sending connections to a router that leaves; fronts take up to 0.4 s.
const frontDelay = 550 * time.Millisecond

// Node is a router that serves.
type Node struct {
	server *ingress.Server
	watch  *discovery.Watch
	desk   *platform.Platform
	cancel context.CancelFunc
	failed chan error
	done   chan struct{} // the reducer has ended
	flows  *export.Exporter
}

// Start brings a router up; it serves until Leave, or until the context ends.
func Start(ctx context.Context, c config.Config, s site.Site, log zerolog.Logger) (*Node, error) {
	var guard dispatch.Guard
	if s.Storm != nil {
		g, err := retryguard.New(Storm(c.Settings, *s.Storm), c.Seed, time.Now().UnixNano())
		if err != nil {
			return nil, err
		}
		guard = g
	}
	return StartWith(ctx, c, guard, flows(c, s.Flows, log), log)
}

// flows makes an exporter, or none.
func flows(c config.Config, f *site.Flows, log zerolog.Logger) *export.Exporter {
	if f == nil {
		return nil
	}
	o := export.Options{Version9: f.Protocol == "netflow9", Domain: f.Domain, Enterprise: f.Enterprise, Refresh: time.Duration(f.Refresh), Packets: refreshPackets,
		MTU: f.MTU, Linger: frontDelay, Names: ipfix.Names{Carriers: c.Settings.Carriers, Bands: c.Settings.Bands}}
	for _, to := range f.Collectors {
		network, address, _ := strings.Cut(to, "://")
		o.Collectors = append(o.Collectors, export.Collector{Network: network, Address: address})
	}
	m := export.NewMeter(flow.Limits{Active: f.Active, Idle: f.Idle, Most: c.Sockets}, len(o.Collectors), f.Memory, dispatch.NewClock())
	return export.New(o, m, log)
}

// refreshPackets is after how many messages over UDP templates are sent again: some seconds' worth of a busy router.
const refreshPackets = 200

// StartWith is Start with a guard and an exporter of the caller's, or none.
func StartWith(ctx context.Context, c config.Config, guard dispatch.Guard, flows *export.Exporter, log zerolog.Logger) (*Node, error) {
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{cancel: cancel, failed: make(chan error, 1), done: make(chan struct{})}
	clock := dispatch.NewClock()
	r := dispatch.New(clock, log)
	// Hosts may have half of the descriptors and clients the other. What waits for a host waits here: a command that
	// is refused, or has its connection closed, comes again and costs more.
	half := (c.Sockets - own) / 2
	connects := time.Duration(c.Settings.ConnectIn)
	// hosts write an answer at once: one that takes longer than a connection to come up never ends
	options := upstream.Options{Protocol: protocol.Speech{Report: c.Settings.ReportFields}, ConnectIn: connects, RestIn: connects,
		IdleIn: time.Duration(c.Settings.IdleIn), Most: half, Panicked: func(v any, stack []byte) {
			log.Error().Interface("panic", v).Bytes("stack", stack).Msg("hand-off")
		}}
	var meter *export.Meter
	if flows != nil {
		meter = flows.Meter
		options.Watch = watch(meter)
	}
	pool := upstream.New(options)
	n.watch = discovery.New(c.Discovery, c.Settings, log, r.Post)
	n.watch.Known(c.Known.Revision)
	n.watch.Seed(c.Seed)
	n.desk = platform.New(c.Platform, c.Settings.Bands, time.Duration(c.Settings.VoteWait), log, r.Post)
	n.desk.Seed(^c.Seed)
	out := dispatch.Out{Hosts: pool, Platform: n.desk, List: n.watch}
	begin := start(c, half)
	begin.Storm = guard
	if c.Settings.Peers {
		others, err := peers.Listen(c.PeerListen, c.Peers, log, r.Post)
		if err != nil {
			cancel()
			return nil, err
		}
		out.Peers = others
		go others.Run(ctx)
	}
	listening := net.ListenConfig{KeepAlive: -1} // clients that went silent are found by the time-outs
	listening.SetMultipathTCP(false)
	listener, err := listening.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		cancel()
		return nil, err
	}
	pool.Open(ahead(begin))
	go func() {
		defer close(n.done)
		r.Run(ctx, begin, out)
	}()
	go n.watch.Run(ctx)
	go n.desk.Run(ctx)
	n.server = ingress.New(c.Settings, half, begin.Settings.Most, clock, r.Post)
	n.server.Meter = meter
	if n.flows = flows; flows != nil {
		go flows.Run(ctx)
	}
	go func() { n.failed <- n.server.Serve(listener) }()
	log.Info().Str("listen", c.Listen).Int("hosts", len(c.Known.Hosts)).Int("build", c.News.Build).
		Bool("storm", guard != nil).Msg("serving")
	return n, nil
}

func start(c config.Config, half int) dispatch.Start {
	s := c.Settings.Settings
	s.Most = most(s.Most, half)
	known := c.Known.List
	known.Form = decision.Cached
	return dispatch.Start{Settings: s, Seed: c.Seed, List: known, News: c.News}
}

// ahead tells the hosts to which a router opens connections before its first command, those that the rules use first,
// and how many at most, by the time that the rules guess for its commands.
func ahead(s dispatch.Start) (addresses []string, most int) {
	ready := s.List.Ready()
	for _, i := range pacing.Order(len(ready), s.Settings.Rank) {
		addresses = append(addresses, ready[i])
	}
	rate, takes := 0.0, 0.0
	for _, c := range s.Settings.Carriers {
		rate += c.PerSecond
	}
	for _, b := range s.Settings.Bands {
		takes += b.Guess() / 1e9 / float64(len(s.Settings.Bands))
	}
	if most = pacing.Ahead(rate, takes, s.Settings.Routers); most == 0 {
		most = math.MaxInt
	}
	return addresses, most
}

// Storm is what a guard is told of a deployment.
func Storm(s settings.Settings, t retryguard.Tuning) retryguard.Settings {
	out := retryguard.Settings{Tuning: t, Carriers: len(s.Settings.Carriers), Routers: s.Routers, ColdFrom: s.ColdFrom,
		ColdFor: s.ColdFor, MaxAdvice: s.MaxAdvice}
	for _, b := range s.Settings.Bands {
		out.Bands = append(out.Bands, retryguard.Band{Contract: b.Contract, CutOff: b.CutOff, Importance: b.Importance})
	}
	return out
}

// Failed gets the error that ends the service by itself.
func (n *Node) Failed() <-chan error { return n.failed }

// Move takes up the addresses of discovery and the platform in a new configuration.
func (n *Node) Move(next config.Config) {
	n.watch.Move(next.Discovery)
	n.desk.Move(next.Platform)
}

// Leave ends the service once what it took is finished; clients go on coming for a while before.
func (n *Node) Leave() error {
	err := n.server.Leave(frontDelay)
	n.cancel()
	<-n.done
	if n.flows != nil { // what is left goes out within its time
		<-n.flows.Done()
	}
	return err
}

// own is how many descriptors a router needs beside those of clients and hosts: standard streams, the poller, the
// listener, peers, four votes, and discovery, the platform's news and the file, twice while a new configuration comes.
const own = 20

// most is how many commands may be open: each holds a client's connection.
func most(stated, conns int) int {
	if stated == 0 || stated > conns {
		return conns
	}
	return stated
}

// counter accounts for what passes on a connection to a host.
type counter struct{ *export.Conn }

func watch(m *export.Meter) upstream.Watch {
	return func(to string, local, remote net.Addr) upstream.Counter {
		return counter{m.Open(flow.Label{Side: flow.Hosts, Host: to}, export.Address(local), export.Address(remote))}
	}
}

func (c counter) Sent(to dispatch.Host, r *dispatch.Request) {
	c.Answered()
	c.Command(flow.Label{Side: flow.Hosts, Carrier: uint16(r.Carrier + 1), Band: uint8(r.Band + 1), Host: to.Address}, 0)
}

func (c counter) Closed() { c.Close(false) }
