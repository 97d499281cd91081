// Package server runs a control process: it owns the process's connections, HTTP ports, disk and goroutines. Hosts send heartbeats and
// operators send calls over HTTP, proxies and other control processes subscribe to updates over streams, and the replicated
// configuration is written to disk.
//
// The package contains no decision logic. registry.State holds what the process knows, consensus.Node replicates the configuration,
// and packages rollout, outlier and quota decide on rollouts, ejections and quotas. This package passes them events, the time and
// random numbers, and performs the I/O that they request.
//
// Start with Server and Start. consensus.go steps the consensus node, calls.go lists the HTTP calls, and updates.go sends updates to
// subscribers.
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

// Options configure a control process.
type Options struct {
	Settings   settings.Settings
	MinPerZone int // number of voting members that a zone keeps at least when silent members are removed
	Network    network.Network
	Storage    storage.Storage
	Seed       uint64
	Clock      dispatch.Clock // monotonic, in Unix nanoseconds; nil for dispatch.NewClock
}

// Server is a running control process.
//
// The fields above mu are set before the first goroutine starts and are not reassigned; what they refer to is safe for concurrent use.
// Unless documented otherwise, every goroutine of the server ends when ctx is cancelled.
type Server struct {
	Options
	ctx           context.Context
	cancel        context.CancelFunc
	clock         dispatch.Clock // monotonic, so steps of the wall clock have no effect
	writeFailures atomic.Int64   // errors reported by the disk writer
	writer        *diskWriter
	gossip        *gossip.Gossiper
	httpServer    *http.Server
	rpc           *rpc.Server

	// mu guards the fields below and everything they refer to: the state with its consensus node, and the fields of each subscriber
	// and peerConn unless documented otherwise. It is never held during a blocking operation: streams and the disk writer queue what
	// they are passed.
	mu          sync.Mutex
	state       *registry.State
	incarnation string // identifies this run of the process; a "+" is appended whenever subscribers can't resume and need a snapshot
	random      random.Source
	stopping    bool // graceful shutdown has begun: no more calls are accepted
	lastStatus  registry.Status

	peers         map[string]*peerConn // by IP address; other control processes that this one dials
	knownPeers    map[string]bool      // by IP address; control processes listed by gossip, the settings or the member list
	subscriptions subscriptions
	calls         pendingCalls
	departures    departures

	consensusMessages int64 // messages of the consensus node sent to other control processes

	tickScheduled bool // a tick of the consensus node is due within busyTickInterval
	diskBehind    bool // a write was dropped: nothing more is written until rewriteDisk has queued the complete state

	tolerance      membership.Tolerance // losses that the voting members still tolerate, as seen by this process
	recoveryPhrase string               // phrase that confirmed the last forced recovery on this process

	pendingDecisions  map[string]bool // by rollout ID; rollouts for which this process is submitting a decision
	pendingVersions   map[string]bool // by service; services whose initial version this process is submitting
	outliers          *outlier.Detector
	quotas            quotaAllocation
	operatorSnapshots operatorSnapshots
	proxySnapshots    proxySnapshots
}

// Start starts a control process and returns once its ports are open. The process runs until parent is cancelled.
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

// newServer returns a server without state, disk or network.
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

// initState creates the state from the data on disk.
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

// startGossip opens the internal port for streams and gossip packets and creates the gossiper. It returns the listener for streams.
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

// closeOnDone waits for ctx to end, then closes the ports and the store and stops the disk writer.
func (s *Server) closeOnDone(listener net.Listener, itemStore *store.Store) {
	<-s.ctx.Done()
	listener.Close()
	s.httpServer.Close()
	close(s.writer.stop)
	_ = itemStore.Close() // every acknowledged write has already been fsynced
}

// abort cancels the context of a server that failed to start. It returns err.
func (s *Server) abort(err error) error {
	s.cancel()
	return err
}

// Status returns whether this process has caught up and has a quorum.
func (s *Server) Status() registry.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Status()
}

// ConsensusMessages returns the number of messages of the consensus node that this process has sent to others.
func (s *Server) ConsensusMessages() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consensusMessages
}

// Seeds returns the control processes listed as seeds in the settings, except this one.
func Seeds(cfg settings.Settings) (seeds []gossip.Member) {
	for _, address := range cfg.SeedNodes {
		if host, _, err := net.SplitHostPort(address); err == nil && host != cfg.IP {
			seeds = append(seeds, gossip.Member{IP: host, Kind: gossip.Control})
		}
	}
	return seeds
}

// LogCounters logs the status and all counters as one entry.
func (s *Server) LogCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	klog.InfoS("counters",
		"standing", s.state.Status(),
		"items", s.state.Set.Len(),
		"dropped", s.state.Set.DroppedNames(),
		"departed", s.state.Set.Departures(),
		"hosts", len(s.state.Instances.All()),
		"routers", len(s.state.ReadyProxies()),
		"core", len(s.state.Peers)+1,
		"agreed", s.state.Node.String(),
		"agreement", s.state.Node.Counts,
		"news", s.state.Updates.Last(),
		"syncs", s.writer.store.Syncs.Load(),
		"said", stream.FramesWritten.Load(),
		"said_bytes", stream.FrameBytesWritten.Load(),
		"said_agreement", s.consensusMessages,
		"beats", stream.HeartbeatsWritten.Load(),
		"foreign", stream.MalformedFrames.Load()+s.gossip.Rejected.Load(),
		"disk_refusals", s.writeFailures.Load(),
		"disk_opened_again", s.writer.store.Reopened.Load(),
		"calls", s.rpc.Counts())
}
