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
	maxDialFailures = 600 // of a process that nothing names any more, a second or two each, before it is given up

	initialDiscoveryInterval = 100 * time.Millisecond
	discoveryInterval        = time.Second // once initialDiscoveryRounds are over
	initialDiscoveryRounds   = 50
)

// errUpdateGap ends a peer connection whose next update isn't the one expected; the next connection begins with a snapshot.
var errUpdateGap = errors.New("news does not follow")

// peerConn is the connection that this process dials to another control process. Its fields but ip and redial are guarded by the
// server's mu.
type peerConn struct {
	ip           string
	name         string
	member       membership.Member
	stream       *stream.Conn[update.Message] // nil while there is none, or the other's hello hasn't come
	subscription update.Subscription
	clockOffset  update.ClockOffset
	cancelDial   func()        // ends the attempt in progress
	redial       chan struct{} // has room for one: ends the delay before the next attempt
}

// discoverPeers looks for the other control processes and has each dialled, until ctx ends.
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

// dialPeers has all processes dialled that gossip, the settings or the members name.
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

// addPeer has another control process dialled, if it isn't yet. It is called also for a process that subscribes here, whose hello may
// be the only sign of it: among many proxies gossip's partial view forgets it before it is looked at, and it would be no member
// until gossip names it again. The caller holds mu.
func (s *Server) addPeer(ip string) {
	if ip == "" || ip == s.Settings.IP || s.peers[ip] != nil {
		return
	}
	conn := &peerConn{ip: ip, redial: make(chan struct{}, 1)}
	s.peers[ip] = conn
	go s.maintainPeer(conn)
}

// maintainPeer keeps a connection to another control process, until ctx ends or that process is given up.
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

// redialDelay doubles with each failure in a row.
func redialDelay(failures int) time.Duration {
	return min(maxRedialDelay, minRedialDelay<<min(failures, 5))
}

// beginDial notes how the attempt is ended. It reports false where the process is given up: should it come back, it dials this one,
// and is added again.
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

// runPeer subscribes to another control process on one connection, until that ends.
func (s *Server) runPeer(conn *peerConn, netConn net.Conn) {
	peerStream := stream.Open[update.Message](netConn, stream.ControlKeepalive)
	stop := context.AfterFunc(s.ctx, func() { peerStream.Close(s.ctx.Err()) })
	defer stop()
	hello := s.state.Self // never changes
	s.mu.Lock()
	hello.Incarnation = conn.subscription.Incarnation
	hello.Offset = conn.subscription.Offset
	hello.Now = s.clock()
	s.mu.Unlock()
	peerStream.Send(update.Message{Hello: &hello})
	err := peerStream.Run(func(msg update.Message) { s.handlePeerMessage(conn, peerStream, msg) })
	s.peerLost(conn, peerStream, err)
}

// peerLost notes that a stream to another control process has ended.
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

// peerDialled notes the stream on which another control process subscribes here: that process is up, so this one dials it at once.
// The caller holds mu.
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

// handlePeerMessage takes a message of another control process, on the stream that this one dialled.
func (s *Server) handlePeerMessage(conn *peerConn, peerStream *stream.Conn[update.Message], msg update.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case msg.Hello != nil:
		s.handlePeerHello(conn, peerStream, *msg.Hello)
	case conn.stream != peerStream: // nothing counts before the hello
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

// wallClock is the time of day, nanoseconds since 1970, as the clocks of the members have it, and whether a majority of them agrees on
// it. It is for people to read, and for rollouts that no process has seen begin. The caller holds mu.
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

// sameIncarnation reports whether two incarnations are of one process that has run on; see Server.incarnation.
func sameIncarnation(a, b string) bool { return strings.TrimRight(a, "+") == strings.TrimRight(b, "+") }
