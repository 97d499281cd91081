package server

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
)

const (
	dialTimeout     = time.Second
	minRedialDelay  = 50 * time.Millisecond
	maxRedialDelay  = time.Second
	maxDialFailures = 600 // consecutive failures, one to two seconds each, after which a process that nothing lists any more is dropped

	initialDiscoveryInterval = 100 * time.Millisecond
	discoveryInterval        = time.Second // after initialDiscoveryRounds
	initialDiscoveryRounds   = 50
)

// errUpdateGap ends a peer connection on which updates are missing. The next connection resumes after the last update that was applied,
// or with a snapshot if that is impossible.
var errUpdateGap = errors.New("gap in the sequence of updates")

// peerConn is the connection that this process dials to another control process. The server's mu guards its fields, except ip and
// redial.
type peerConn struct {
	ip           string
	name         string
	member       membership.Member
	stream       *stream.Conn[update.Message] // nil without a connection and before the other process's hello
	subscription update.Subscription
	clockOffset  update.ClockOffset
	cancelDial   func()        // cancels the dial attempt in progress
	redial       chan struct{} // has capacity 1; a value ends the delay before the next attempt
}

// discoverPeers looks for other control processes at intervals and dials them, until ctx ends.
func (s *Server) discoverPeers() {
	for round := 0; s.ctx.Err() == nil; round++ {
		s.dialPeers()
		interval := initialDiscoveryInterval
		if round > initialDiscoveryRounds {
			interval = discoveryInterval
		}
		select {
		case <-time.After(interval):
		case <-s.ctx.Done():
		}
	}
}

// dialPeers starts to dial all control processes listed by gossip, the settings or the member list.
func (s *Server) dialPeers() {
	ips := map[string]bool{}
	for _, found := range s.gossip.Members() {
		if found.Kind == gossip.Control {
			ips[found.IP] = true
		}
	}
	for _, seed := range Seeds(s.Settings) {
		ips[seed.IP] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ip := range s.state.MemberIPs() {
		ips[ip] = true
	}
	s.knownPeers = ips
	for ip := range ips {
		s.addPeer(ip)
	}
}

// addPeer starts to dial another control process if that isn't being done already. It is also called for a process that subscribes here,
// since its hello may be the only sign of it: with many proxies, gossip's partial view may drop a process before dialPeers reads the
// view, and the process could not join until gossip lists it again. The caller holds mu.
func (s *Server) addPeer(ip string) {
	if ip == "" || ip == s.Settings.IP || s.peers[ip] != nil {
		return
	}
	conn := &peerConn{ip: ip, redial: make(chan struct{}, 1)}
	s.peers[ip] = conn
	go s.maintainPeer(conn)
}

// maintainPeer maintains a connection to another control process until ctx ends or that process is dropped.
func (s *Server) maintainPeer(conn *peerConn) {
	for failures := 0; s.ctx.Err() == nil; failures++ {
		ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
		if !s.beginDial(conn, cancel, failures) {
			cancel()
			return
		}
		netConn, err := s.Network.Dial(ctx, "tcp", net.JoinHostPort(conn.ip, strconv.Itoa(s.Settings.InternalPorts[0])))
		cancel()
		if err == nil {
			s.runPeer(conn, netConn)
			failures = 0
		}
		select {
		case <-time.After(redialDelay(failures)):
		case <-conn.redial: // the other process dialled this one, so it is up
		case <-s.ctx.Done():
		}
	}
}

// redialDelay returns the delay before the next attempt. It doubles with each consecutive failure, up to maxRedialDelay.
func redialDelay(failures int) time.Duration {
	return min(maxRedialDelay, minRedialDelay<<min(failures, 5))
}

// beginDial records the function that cancels the attempt. It reports false if the process is dropped; one that returns later dials
// this process and is added again.
func (s *Server) beginDial(conn *peerConn, cancel func(), failures int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.cancelDial = cancel
	if failures > maxDialFailures && !s.knownPeers[conn.ip] {
		delete(s.peers, conn.ip)
		return false
	}
	return true
}

// runPeer subscribes to another control process over one connection, until the connection ends.
func (s *Server) runPeer(conn *peerConn, netConn net.Conn) {
	peerStream := stream.Open[update.Message](netConn, stream.ControlKeepalive)
	stop := context.AfterFunc(s.ctx, func() { peerStream.Close(s.ctx.Err()) })
	defer stop()
	hello := s.state.Self // immutable, so mu is not needed
	s.mu.Lock()
	hello.Incarnation = conn.subscription.Incarnation
	hello.Offset = conn.subscription.Offset
	hello.Now = s.clock()
	s.mu.Unlock()
	peerStream.Send(update.Message{Hello: &hello})
	err := peerStream.Run(func(msg update.Message) { s.handlePeerMessage(conn, peerStream, msg) })
	s.peerLost(conn, peerStream, err)
}

// peerLost handles the end of a stream to another control process.
func (s *Server) peerLost(conn *peerConn, peerStream *stream.Conn[update.Message], cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn.stream != peerStream {
		return
	}
	conn.stream = nil
	s.state.PeerLost(s.clock(), conn.ip, conn.name)
	s.quotas.allocator.ZoneLost(s.clock(), conn.name)
	klog.InfoS("peer connection lost", "to", conn.name, "why", cause)
	s.stepNode(consensus.Event{PeerLost: true, From: conn.ip})
}

// peerDialled records the stream on which another control process subscribes here. Since that process is up, this one dials it without
// further delay. The caller holds mu.
func (s *Server) peerDialled(ip string, peerStream *stream.Conn[update.Message]) {
	s.subscriptions.peerStreams[ip] = peerStream
	conn := s.peers[ip]
	if conn == nil || conn.stream != nil {
		return
	}
	if conn.cancelDial != nil {
		conn.cancelDial()
	}
	select {
	case conn.redial <- struct{}{}:
	default:
	}
}

// handlePeerMessage handles a message from another control process on a stream that this process dialled.
func (s *Server) handlePeerMessage(conn *peerConn, peerStream *stream.Conn[update.Message], msg update.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case msg.Hello != nil:
		s.handlePeerHello(conn, peerStream, *msg.Hello)
	case conn.stream != peerStream: // messages before the hello are ignored
	case msg.Status != nil:
		s.handlePeerStatus(conn, msg)
	case msg.Batch != nil:
		s.handlePeerBatch(conn, msg)
	case msg.Consensus != nil:
		s.handleConsensusMessage(conn.ip, msg.Consensus)
	case msg.Quota != nil:
		s.quotas.allocator.MergeZone(s.clock(), conn.name, msg.Quota.ZoneUsage, msg.Quota.Loads)
	}
}

func (s *Server) handlePeerHello(conn *peerConn, peerStream *stream.Conn[update.Message], hello update.Hello) {
	conn.name = hello.Name
	conn.stream = peerStream
	conn.clockOffset = update.ClockOffset{}
	conn.clockOffset.Observe(hello.Now, s.clock())
	conn.member = membership.Member{IP: conn.ip, ID: hello.ID, Name: hello.Name, Zone: hello.Zone}
	s.gossip.Add(gossip.Member{IP: hello.IP, Kind: gossip.Control, Zone: hello.Zone})
	s.state.PeerFound(conn.name)
}

func (s *Server) handlePeerStatus(conn *peerConn, msg update.Message) {
	conn.clockOffset.Observe(msg.Now, s.clock())
	for _, start := range msg.RolloutStarts {
		start.StartedAt = conn.clockOffset.ToLocal(start.StartedAt)
		s.state.RolloutAges.Merge(start)
	}
	status := *msg.Status
	s.state.UpdatePeer(conn.ip, status)
	s.stepNode(consensus.Event{From: conn.ip, Peer: &consensus.Peer{
		Member:   conn.member,
		Epoch:    status.Epoch,
		Applied:  status.Number,
		CaughtUp: status.Complete && !status.Leaving,
	}})
}

func (s *Server) handlePeerBatch(conn *peerConn, msg update.Message) {
	conn.clockOffset.Observe(msg.Now, s.clock())
	batch := msg.Batch
	if !conn.subscription.Advance(batch.Incarnation, batch.From, batch.To, batch.Snapshot) {
		received := batch.Incarnation == conn.subscription.Incarnation && batch.To <= conn.subscription.Offset
		if !received {
			conn.stream.Close(errUpdateGap)
		}
		return
	}
	for _, change := range batch.Changes {
		s.state.Merge(s.clock(), change.ToLocal(conn.clockOffset))
	}
	if batch.Snapshot {
		s.state.ReconcilePeer(s.clock(), conn.name, batch.Changes)
	}
	s.subscriptions.notify()
	conn.stream.Send(update.Message{Ack: batch.To})
}

// wallClock returns the wall clock time in Unix nanoseconds according to the clocks of the members, and whether a majority of them
// agrees on it. It is used for display, and for rollouts whose start no running process has observed. The caller holds mu.
func (s *Server) wallClock() (now int64, agreed bool) {
	list := s.state.Node.Membership()
	offsets := []int64{}
	for _, member := range list.Members {
		if conn := s.peers[member.IP]; conn != nil && conn.stream != nil && conn.member.ID == member.ID {
			offsets = append(offsets, conn.clockOffset.Ahead())
		} else if member.IP == s.Settings.IP {
			offsets = append(offsets, 0)
		}
	}
	return rollout.WallClock(s.clock(), offsets, len(list.Members))
}

// sameIncarnation reports whether two incarnations belong to the same run of a process; see Server.incarnation.
func sameIncarnation(a, b string) bool { return strings.TrimRight(a, "+") == strings.TrimRight(b, "+") }
