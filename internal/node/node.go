// Package node puts one router on sockets together: its carriers, its reducer, and the parts that a site's file
// switches on.
package node

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/clients"
	"portflow/internal/config"
	"portflow/internal/hosts"
	"portflow/internal/list"
	"portflow/internal/peers"
	"portflow/internal/platform"
	"portflow/internal/router"
	"portflow/internal/settings"
	"portflow/internal/site"
	"portflow/internal/storm"
	"portflow/rules"
)

// frontDelay is for how long a front may go on sending connections to a router that leaves; fronts take up to 0.4 s.
const frontDelay = 550 * time.Millisecond

// Node is a router that serves.
type Node struct {
	server *clients.Server
	watch  *list.Watch
	desk   *platform.Platform
	cancel context.CancelFunc
	failed chan error
	done   chan struct{} // the reducer has ended
}

// Start brings a router up; it serves until Leave, or until the context ends.
func Start(ctx context.Context, c config.Config, s site.Site, log zerolog.Logger) (*Node, error) {
	if s.Storm == nil {
		return StartWith(ctx, c, nil, log)
	}
	guard, err := storm.New(Storm(c.Settings, *s.Storm), c.Seed, time.Now().UnixNano())
	if err != nil {
		return nil, err
	}
	return StartWith(ctx, c, guard, log)
}

// StartWith is Start with a guard of the caller's, or none.
func StartWith(ctx context.Context, c config.Config, guard router.Guard, log zerolog.Logger) (*Node, error) {
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{cancel: cancel, failed: make(chan error, 1), done: make(chan struct{})}
	clock := router.NewClock()
	r := router.New(clock, log)
	// Hosts may have half of the descriptors and clients the other. What waits for a host waits here: a command that
	// is refused, or has its connection closed, comes again and costs more.
	half := (c.Sockets - own) / 2
	pool := hosts.New(hosts.Options{ConnectIn: time.Duration(c.Settings.ConnectIn),
		IdleIn: time.Duration(c.Settings.IdleIn), Most: half, Report: c.Settings.ReportFields}, log)
	n.watch = list.New(c.Discovery, c.Settings, log, r.Post)
	n.desk = platform.New(c.Platform, c.Settings.Bands, time.Duration(c.Settings.VoteWait), log, r.Post)
	out := router.Out{Hosts: pool, Platform: n.desk, List: n.watch}
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
	pool.Open(begin.List.Ready())
	go func() {
		defer close(n.done)
		r.Run(ctx, begin, out)
	}()
	go n.watch.Run(ctx)
	go n.desk.Run(ctx)
	n.server = clients.New(c.Settings, half, begin.Settings.Most, clock, r.Post)
	go func() { n.failed <- n.server.Serve(listener) }()
	log.Info().Str("listen", c.Listen).Int("hosts", len(c.Known.Hosts)).Int("build", c.News.Build).
		Bool("storm", guard != nil).Msg("serving")
	return n, nil
}

func start(c config.Config, half int) router.Start {
	s := c.Settings.Settings
	s.Most = most(s.Most, half)
	known := c.Known.List
	known.Form = rules.Cached
	return router.Start{Settings: s, Seed: c.Seed, List: known, News: c.News}
}

// Storm is what a guard is told of a deployment.
func Storm(s settings.Settings, t storm.Tuning) storm.Settings {
	out := storm.Settings{Tuning: t, Carriers: len(s.Settings.Carriers), Routers: s.Routers, ColdFrom: s.ColdFrom,
		ColdFor: s.ColdFor, MaxAdvice: s.MaxAdvice}
	for _, b := range s.Settings.Bands {
		out.Bands = append(out.Bands, storm.Band{Contract: b.Contract, CutOff: b.CutOff, Importance: b.Importance})
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
