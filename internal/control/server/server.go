// Package server is the control process: it hears hosts and routers, keeps the items on disk, takes orders and tells
// the news. What it knows is bridge.State.
package server

import (
	"context"
	"fmt"
	"maps"
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
	"portflow/internal/control/snapshot"
	"portflow/internal/control/store"
	"portflow/internal/dispatch"
	"portflow/internal/quota"
	"portflow/internal/random"
)

// Options are how a control process runs.
type Options struct {
	Settings   settings.Settings
	MinPerZone int // control processes in each zone, as the deploy file has it
	Network    network.Network
	Storage    storage.Storage
	Seed       uint64
	Clock      dispatch.Clock // nanoseconds since 1970, never back; none for this machine's, anchored once
}

// Server is a control process that runs.
type Server struct {
	Options
	ctx    context.Context
	cancel context.CancelFunc

	mu                sync.Mutex // over all that follows
	state             *registry.State
	updated           chan struct{} // closed and made anew when there is news
	peers             map[string]*peerConn
	wanted            map[string]bool                         // by IP number, control processes that are named by anything just now
	leavingHosts      map[string]uint64                       // hosts that say they leave, whose news more than half of the members haven't acknowledged: its number
	leftHosts         map[string]bool                         // hosts that leave, whose news from here they have
	acked             chan struct{}                           // closed and made anew when one of the members acknowledges news, while such hosts wait
	waiters           map[uint64]chan consensus.Result        // orders and reads that are under way, by tag
	subscribers       map[*subscriber]bool                    // who follows here
	inbound           map[string]*stream.Conn[update.Message] // by IP number, lines that other control processes dialled
	lastTag           uint64
	decidingRollouts  map[string]bool      // rollouts whose end this process asks for now
	snapshots         snapshot.Cache       // snapshots that are asked for
	upload            snapshot.Upload      // one that is restored
	restoreCount      int                  // how many this life has put in force, or tried to
	settingVersions   map[string]bool      // services whose first version this process asks for now
	tickScheduled     bool                 // a tick of the agreement comes soon
	diskBehind        bool                 // the disk has missed something
	stopping          bool                 // it ends
	tolerance         membership.Tolerance // of losses that the core bears, as it is seen here
	recoveryPhrase    string               // what an operator confirmed when this process was made the whole core
	random            random.Source
	lastStatus        registry.Status
	allocator         *quota.Allocator // of callers' shares
	quotaSum          uint64           // the sum of the shares and services that it goes by
	sentSums          bool             // to the other control processes, the last time
	outliers          *outlier.Detector
	proxySnapshots    update.SnapshotCache // snapshots that routers are sent
	evictionScheduled bool                 // they are looked at again soon

	clock         dispatch.Clock // anchored once: a step of the time of day changes nothing
	writeFailures atomic.Int64   // writes by the disk
	writer        *diskWriter
	gossip        *gossip.Gossiper
	incarnation   string
	httpServer    *http.Server
	rpc           *rpc.Server
}

// Start brings a control process up; it serves until the context ends.
func Start(parent context.Context, opts Options) (*Server, error) {
	began := time.Now()
	itemStore, items, records, complete, err := store.Open(opts.Storage)
	if err != nil {
		return nil, err
	}
	cfg := opts.Settings
	ctx, cancel := context.WithCancel(parent)
	s := &Server{Options: opts, ctx: ctx, cancel: cancel, updated: make(chan struct{}), peers: map[string]*peerConn{},
		leavingHosts: map[string]uint64{}, leftHosts: map[string]bool{}, acked: make(chan struct{}),
		waiters: map[uint64]chan consensus.Result{}, subscribers: map[*subscriber]bool{}, inbound: map[string]*stream.Conn[update.Message]{}, decidingRollouts: map[string]bool{}, settingVersions: map[string]bool{},
		allocator: quota.NewAllocator(), outliers: outlier.NewDetector(), random: random.Source{Seed: opts.Seed},
		clock: opts.Clock, incarnation: strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(opts.Seed%1e6, 36)}
	if s.clock == nil {
		s.clock = dispatch.NewClock() // a step of the time of day changes nothing
	}
	hardState, set, removed, created := s.loadHardState(items, records, complete, itemStore.Repaired)
	member := membership.Member{IP: cfg.IP, ID: hardState.DiskID, Name: cfg.Name, Zone: cfg.Zone}
	s.state = registry.NewState(update.Hello{Name: cfg.Name, IP: cfg.IP, Zone: cfg.Zone, Control: true, ID: hardState.DiskID},
		consensus.New(member, s.incarnation, opts.MinPerZone, hardState, set, s.clock()), cfg.HeartbeatInterval)
	for _, i := range set.Live(config.KindRollouts) {
		s.state.RolloutAges.Observe(s.clock(), rollout.FromItem(i), false)
	}
	s.writer = &diskWriter{store: itemStore, queue: make(chan writeJob, maxQueuedWrites), stop: make(chan struct{}), reportError: func(err error) {
		s.writeFailures.Add(1) // the lock may be held
		klog.ErrorS(err, "logbook")
	}}
	if created || len(removed) > 0 {
		s.writer.enqueue(writeJob{removed: removed, records: encodeHardState(hardState), complete: true, done: func() {}})
	}
	go s.writer.run()
	listener, err := opts.Network.Listen(net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.InternalPorts[0])))
	if err != nil {
		return nil, s.abort(fmt.Errorf("network.internal-port-range: %w", err))
	}
	packets, err := opts.Network.ListenPacket(net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.InternalPorts[0])))
	if err != nil {
		return nil, s.abort(fmt.Errorf("network.internal-port-range: %w", err))
	}
	s.gossip = gossip.Start(gossip.Member{IP: cfg.IP, Kind: gossip.Control, Zone: cfg.Zone}, packets,
		[2]int{cfg.InternalPorts[0], cfg.InternalPorts[1]}, opts.Seed, func(string, []byte) {})
	s.gossip.Add(Seeds(cfg)...)
	serve, err := s.listen()
	if err != nil {
		return nil, s.abort(err)
	}
	go s.gossip.Run(ctx)
	go s.acceptConnections(listener)
	go s.discoverPeers()
	go s.runTicker()
	serve()
	go func() {
		<-ctx.Done()
		listener.Close()
		s.httpServer.Close()
		close(s.writer.stop)
		itemStore.Close()
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	klog.InfoS("harbourmaster serves", "node", cfg.Name, "zone", cfg.Zone, "items", len(items), "new_disk", created, "spoilt", itemStore.Repaired,
		"core", s.state.Node.String(), "start_ms", time.Since(began).Milliseconds())
	return s, nil
}

// Status tells how far this process may be gone by.
func (s *Server) Status() registry.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Status()
}

func (s *Server) abort(err error) error {
	s.cancel()
	return err
}

// Seeds are the control processes that the settings file names.
func Seeds(cfg settings.Settings) (all []gossip.Member) {
	for _, s := range cfg.SeedNodes {
		if host, _, err := net.SplitHostPort(s); err == nil && host != cfg.IP {
			all = append(all, gossip.Member{IP: host, Kind: gossip.Control})
		}
	}
	return all
}

// runTicker looks for hosts that have become silent and for rollouts to be ended.
func (s *Server) runTicker() {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		for _, host := range s.state.Instances.CheckHeartbeats(s.clock(), s.state.Status() == registry.HasQuorum) {
			klog.InfoS("host silent", "host", host.ID, "service", host.Service, "zone", host.Zone)
			s.state.PublishInstance(host, host.Owner == s.Settings.Name)
			s.notifySubscribers()
		}
		if s.state.Tick(s.clock()) {
			s.notifySubscribers()
		}
		if round%5 == 4 {
			s.reclaimProxies()
			expired := func(id string) bool { return s.state.Instances.Lookup(id).ID == "" }
			maps.DeleteFunc(s.leavingHosts, func(id string, _ uint64) bool { return expired(id) })
			maps.DeleteFunc(s.leftHosts, func(id string, _ bool) bool { return expired(id) })
		}
		s.stepNode(consensus.Event{Tick: true})
		s.rewriteDisk()
		s.updateTolerance()
		s.allocateQuotas(round)
		s.ejectOutliers()
		s.noteStatusChange()
		s.mu.Unlock()
		s.advanceRollouts()
		if round%300 == 299 {
			s.mu.Lock()
			s.state.Expire(s.clock())
			s.mu.Unlock()
		}
		if round%50 == 49 {
			s.LogCounters()
		}
	}
}

// LogCounters writes the counters on one line.
func (s *Server) LogCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	klog.InfoS("counters", "standing", s.state.Status(), "items", s.state.Set.Len(), "hosts", len(s.state.Instances.All()),
		"routers", len(s.state.ReadyProxies()), "core", len(s.state.Peers)+1, "agreed", s.state.Node.String(), "agreement", s.state.Node.Counts, "news", s.state.Updates.Last(),
		"syncs", s.writer.store.Syncs.Load(), "said", stream.FramesWritten.Load(), "said_bytes", stream.FrameBytesWritten.Load(), "beats", stream.HeartbeatsWritten.Load(), "foreign", stream.MalformedFrames.Load()+s.gossip.Rejected.Load(), "disk_refusals", s.writeFailures.Load(), "disk_opened_again", s.writer.store.Reopened.Load(), "calls", s.rpc.Counts())
}
