package main

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/clients"
	"portflow/internal/config"
	"portflow/internal/hosts"
	"portflow/internal/list"
	"portflow/internal/peers"
	"portflow/internal/platform"
	"portflow/internal/router"
	"portflow/rules"
)

// frontDelay is for how long a front may go on sending connections to a router that leaves; fronts take up to 0.4 s.
const frontDelay = 550 * time.Millisecond

// serve runs a router until SIGTERM or an interrupt, and then until what it took is finished. At SIGHUP it loads the
// configuration again.
func serve(c config.Config, load func() (config.Config, error), log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	// the rest is for the program itself, some 10 MB, and for the kernel's buffers
	debug.SetMemoryLimit(c.Memory - max(c.Memory/4, min(c.Memory/2, 14<<20)))
	debug.SetGCPercent(400) // a live heap is some 10 MB; collecting it seldom saves a tenth of the core
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	stdlog.SetOutput(io.Discard) // http.Transport tells there, without a limit, what hosts send unasked
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	clock := router.NewClock()
	r := router.New(clock, log)
	// Hosts may have half of the descriptors and clients the other. What waits for a host waits here: a command that
	// is refused, or has its connection closed, comes again and costs more.
	half := (c.Sockets - own) / 2
	pool := hosts.New(hosts.Options{ConnectIn: time.Duration(c.Settings.ConnectIn),
		IdleIn: time.Duration(c.Settings.IdleIn), Most: half, Report: c.Settings.ReportFields}, log)
	watch := list.New(c.Discovery, c.Settings, log, r.Post)
	desk := platform.New(c.Platform, c.Settings.Bands, time.Duration(c.Settings.VoteWait), log, r.Post)
	out := router.Out{Hosts: pool, Platform: desk, List: watch}
	if c.Settings.Peers {
		others, err := peers.Listen(c.PeerListen, c.Peers, log, r.Post)
		if err != nil {
			return err
		}
		out.Peers = others
		go others.Run(ctx)
	}
	listening := net.ListenConfig{KeepAlive: -1} // clients that went silent are found by the time-outs
	listening.SetMultipathTCP(false)
	listener, err := listening.Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return err
	}
	settings := c.Settings.Settings
	settings.Most = most(settings.Most, half)
	known := c.Known.List
	known.Form = rules.Cached
	pool.Open(known.Ready())
	go r.Run(ctx, router.Start{Settings: settings, Seed: c.Seed, List: known, News: c.News}, out)
	go watch.Run(ctx)
	go desk.Run(ctx)
	server := clients.New(c.Settings, half, settings.Most, clock, r.Post)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.Info().Str("listen", c.Listen).Int("hosts", len(c.Known.Hosts)).Int("build", c.News.Build).Msg("serving")
	for leave := false; !leave; {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			log.Info().Stringer("signal", s).Msg("signal")
			if leave = s != syscall.SIGHUP; leave {
				break
			}
			next, err := load()
			if err != nil {
				log.Error().Err(err).Msg("configuration left as it was")
				break
			}
			if fields := c.Differs(next); len(fields) > 0 {
				log.Warn().Strs("fields", fields).Msg("these need a restart")
			}
			watch.Move(next.Discovery)
			desk.Move(next.Platform)
		}
	}
	err = server.Leave(frontDelay)
	log.Info().Err(err).Msg("left")
	return nil
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
