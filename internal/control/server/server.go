// Package server runs a control process. It owns the process's connections, its HTTP ports, its disk and its goroutines: hosts send
// heartbeats and operators send calls over HTTP, proxies and other control processes subscribe to updates over streams, and what
// the voters decide is written to disk.
//
// It decides nothing itself. What a control process knows is registry.State, what the voters agree on is consensus.Node, and the
// decisions on rollouts, outliers and quotas are those of packages rollout, outlier and quota. This package feeds them with events,
// the time and chance, and carries out what they ask for.
//
// Begin with Server and Start; then consensus.go, which steps the consensus node, calls.go, which lists the calls, and updates.go,
// which sends subscribers what has changed.
package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/syndtr/goleveldb/leveldb/storage"
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/network"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/settings"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/registry"
	"portflow/internal/control/rpc"
	"portflow/internal/control/store"
	"portflow/internal/dispatch"
	"portflow/internal/random"
)

// Options are how a control process runs.
type Options struct {
	Settings   settings.Settings
	MinPerZone int // control processes in each zone, as the deploy file has it
	Network    network.Network
	Storage    storage.Storage
	Seed       uint64
	Clock      dispatch.Clock // nanoseconds since 1970, never back; nil for this machine's clock, anchored once
}

// Server is a running control process.
//
// Its fields above mu are set before the first goroutine starts and don't change afterwards; what they refer to is safe for
// concurrent use. Every goroutine of the server ends when ctx ends, unless it says otherwise.
type Server struct {
	Options
	ctx           context.Context
	cancel        context.CancelFunc
	clock         dispatch.Clock // anchored once, so that a step of the time of day changes nothing
	writeFailures atomic.Int64   // writes that the disk has refused
	writer        *diskWriter
	gossip        *gossip.Gossiper
	httpServer    *http.Server
	rpc           *rpc.Server

	// mu guards everything below, with all that it refers to: the state, the consensus node in it, and the fields of every subscriber
	// and peerConn that don't say otherwise. It is never held while something blocks: streams and the disk writer queue what they
	// are given.
	mu          sync.Mutex
	state       *registry.State
	incarnation string // names this run of the process; a "+" is added when its updates can't be followed any more
	random      random.Source
	stopping    bool // the process leaves: it takes no more calls
	lastStatus  registry.Status

	peers         map[string]*peerConn // by IP, other control processes that this one dials
	knownPeers    map[string]bool      // by IP, control processes that gossip, the settings or the members name
	subscriptions subscriptions
	calls         pendingCalls
	departures    departures

	tickScheduled bool // a tick of the consensus node is due within busyTickInterval
	diskBehind    bool // the disk has missed a write, and must be rewritten

	tolerance      membership.Tolerance // losses that the voters still tolerate, as seen from here
	recoveryPhrase string               // what an operator confirmed when this process was made the only member

	pendingDecisions  map[string]bool // by rollout ID, rollouts for which this process submits a decision now
	pendingVersions   map[string]bool // services whose first version this process submits now
	outliers          *outlier.Detector
	quotas            quotaAllocation
	operatorSnapshots operatorSnapshots
	proxySnapshots    proxySnapshots
}

// Start runs a control process until the context ends.
func Start(parent context.Context, opts Options) (*Server, error) {
	began := time.Now()
	itemStore, items, records, complete, err := store.Open(opts.Storage)
	if err != nil {
		return nil, err
	}
	s := newServer(parent, opts)
	hardState, set, removed, created := s.loadHardState(items, records, complete, itemStore.Repaired)
	s.initState(hardState, set)
	s.startDiskWriter(itemStore)
	if created || len(removed) > 0 {
		s.writer.enqueue(writeJob{removed: removed, records: encodeHardState(hardState), complete: true, done: func() {}})
	}
	listener, err := s.startGossip()
	if err != nil {
		return nil, s.abort(err)
	}
	serveHTTP, err := s.listen()
	if err != nil {
		return nil, s.abort(err)
	}
	go s.gossip.Run(s.ctx)
	go s.acceptConnections(listener)
	go s.discoverPeers()
	go s.runTicker()
	serveHTTP()
	go s.closeOnDone(listener, itemStore)
	s.mu.Lock()
	defer s.mu.Unlock()
	klog.InfoS("control server started", "node", s.Settings.Name, "zone", s.Settings.Zone, "items", len(items), "new_disk", created,
		"repaired", itemStore.Repaired, "core", s.state.Node.String(), "start_ms", time.Since(began).Milliseconds())
	return s, nil
}

// newServer makes a server that has no state, disk or network yet.
func newServer(parent context.Context, opts Options) *Server {
	ctx, cancel := context.WithCancel(parent)
	startedAt := strconv.FormatInt(time.Now().UnixNano(), 36)
	s := &Server{
		Options:          opts,
		ctx:              ctx,
		cancel:           cancel,
		clock:            opts.Clock,
		incarnation:      startedAt + "-" + strconv.FormatUint(opts.Seed%1e6, 36),
		random:           random.Source{Seed: opts.Seed},
		peers:            map[string]*peerConn{},
		subscriptions:    newSubscriptions(),
		calls:            newPendingCalls(),
		departures:       newDepartures(),
		pendingDecisions: map[string]bool{},
		pendingVersions:  map[string]bool{},
		outliers:         outlier.NewDetector(),
		quotas:           newQuotaAllocation(),
	}
	if s.clock == nil {
		s.clock = dispatch.NewClock()
	}
	return s
}

// initState makes the state from what the disk held.
func (s *Server) initState(hardState consensus.HardState, set *config.Set) {
	cfg := s.Settings
	member := membership.Member{IP: cfg.IP, ID: hardState.DiskID, Name: cfg.Name, Zone: cfg.Zone}
	node := consensus.New(member, s.incarnation, s.MinPerZone, hardState, set, s.clock())
	self := update.Hello{Name: cfg.Name, IP: cfg.IP, Zone: cfg.Zone, Control: true, ID: hardState.DiskID}
	s.state = registry.NewState(self, node, cfg.HeartbeatInterval)
	for _, item := range set.Live(config.KindRollouts) {
		s.state.RolloutAges.Observe(s.clock(), rollout.FromItem(item), false)
	}
}

// startDiskWriter starts the goroutine that writes to the store; closeOnDone stops it.
func (s *Server) startDiskWriter(itemStore *store.Store) {
	s.writer = newDiskWriter(itemStore, func(err error) {
		s.writeFailures.Add(1) // atomic, as mu may be held
		klog.ErrorS(err, "disk write")
	})
	go s.writer.run()
}

// startGossip opens the internal port, for streams and for gossip's packets, and makes the gossiper. It returns the listener for streams.
func (s *Server) startGossip() (net.Listener, error) {
	cfg := s.Settings
	address := net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.InternalPorts[0]))
	listener, err := s.Network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("network.internal-port-range: %w", err)
	}
	packets, err := s.Network.ListenPacket(address)
	if err != nil {
		return nil, fmt.Errorf("network.internal-port-range: %w", err)
	}
	self := gossip.Member{IP: cfg.IP, Kind: gossip.Control, Zone: cfg.Zone}
	ports := [2]int{cfg.InternalPorts[0], cfg.InternalPorts[1]}
	s.gossip = gossip.NewGossiper(self, packets, ports, s.Seed, func(string, []byte) {})
	s.gossip.Add(Seeds(cfg)...)
	return listener, nil
}

// closeOnDone closes what the server has opened, once ctx ends.
func (s *Server) closeOnDone(listener net.Listener, itemStore *store.Store) {
	<-s.ctx.Done()
	listener.Close()
	s.httpServer.Close()
	close(s.writer.stop)
	_ = itemStore.Close() // every write that was confirmed is synced already
}

// abort ends a server that could not be started, and returns the cause.
func (s *Server) abort(err error) error {
	s.cancel()
	return err
}

// Status is how far this process can be relied on.
func (s *Server) Status() registry.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Status()
}

// Seeds are the control processes that the settings file names, other than this one.
func Seeds(cfg settings.Settings) (seeds []gossip.Member) {
	for _, address := range cfg.SeedNodes {
		if host, _, err := net.SplitHostPort(address); err == nil && host != cfg.IP {
			seeds = append(seeds, gossip.Member{IP: host, Kind: gossip.Control})
		}
	}
	return seeds
}

// LogCounters writes the counters as one log entry.
func (s *Server) LogCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	klog.InfoS("counters",
		"standing", s.state.Status(),
		"items", s.state.Set.Len(),
		"hosts", len(s.state.Instances.All()),
		"routers", len(s.state.ReadyProxies()),
		"core", len(s.state.Peers)+1,
		"agreed", s.state.Node.String(),
		"agreement", s.state.Node.Counts,
		"news", s.state.Updates.Last(),
		"syncs", s.writer.store.Syncs.Load(),
		"said", stream.FramesWritten.Load(),
		"said_bytes", stream.FrameBytesWritten.Load(),
		"beats", stream.HeartbeatsWritten.Load(),
		"foreign", stream.MalformedFrames.Load()+s.gossip.Rejected.Load(),
		"disk_refusals", s.writeFailures.Load(),
		"disk_opened_again", s.writer.store.Reopened.Load(),
		"calls", s.rpc.Counts())
}
