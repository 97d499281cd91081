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

// peerConn is a line that this process dialled to another of the core.
type peerConn struct {
	ip, name     string
	member       membership.Member
	stream       *stream.Conn[update.Message]
	subscription update.Subscription
	clockOffset  update.ClockOffset
	cancelDial   func()        // ends the dial that is under way
	redial       chan struct{} // has it dialled at once
}

const (
	dialTimeout     = time.Second
	maxDialFailures = 600 // dials of one that nothing names any more, a second or two each, before it is given up
)

// discoverPeers finds the others of the core and keeps a line to each.
func (s *Server) discoverPeers() {
	for round := 0; s.ctx.Err() == nil; round++ {
		ips := map[string]bool{}
		for _, found := range s.gossip.Members() {
			if found.Kind == gossip.Control {
				ips[found.IP] = true
			}
		}
		for _, found := range Seeds(s.Settings) {
			ips[found.IP] = true
		}
		s.mu.Lock()
		for _, ip := range s.state.MemberIPs() {
			ips[ip] = true
		}
		s.wanted = ips
		for ip := range ips {
			if ip != s.Settings.IP && s.peers[ip] == nil {
				s.peers[ip] = &peerConn{ip: ip, redial: make(chan struct{}, 1)}
				go s.maintainPeer(s.peers[ip])
			}
		}
		s.mu.Unlock()
		wait := 100 * time.Millisecond
		if round > 50 {
			wait = time.Second
		}
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
		}
	}
}

// addPeer begins to follow another control process that follows here. Its word may be the only one of it: among many routers the
// view that it is noted in forgets it before it is looked at, and it would be no member until gossip brings it up again. The
// caller holds the lock.
func (s *Server) addPeer(ip string) {
	if ip != "" && ip != s.Settings.IP && s.peers[ip] == nil {
		s.peers[ip] = &peerConn{ip: ip, redial: make(chan struct{}, 1)}
		go s.maintainPeer(s.peers[ip])
	}
}

// maintainPeer holds a line to another control process, for as long as this one runs.
func (s *Server) maintainPeer(conn *peerConn) {
	for failures := 0; s.ctx.Err() == nil; failures++ {
		ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
		s.mu.Lock()
		conn.cancelDial = cancel
		abandoned := failures > maxDialFailures && !s.wanted[conn.ip]
		if abandoned { // should it come back, it dials this one, and is found
			delete(s.peers, conn.ip)
		}
		s.mu.Unlock()
		if abandoned {
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
		case <-time.After(min(time.Second, 50*time.Millisecond<<min(failures, 5))):
		case <-conn.redial: // it dialled: it is there again
		case <-s.ctx.Done():
		}
	}
}

// runPeer follows on one connection until it ends.
func (s *Server) runPeer(conn *peerConn, netConn net.Conn) {
	peerStream := stream.Open[update.Message](netConn, stream.ControlKeepalive)
	stop := context.AfterFunc(s.ctx, func() { peerStream.Close(s.ctx.Err()) })
	defer stop()
	hello := s.state.Self
	s.mu.Lock()
	hello.Incarnation, hello.Offset, hello.Now = conn.subscription.Incarnation, conn.subscription.Offset, s.clock()
	s.mu.Unlock()
	peerStream.Send(update.Message{Hello: &hello})
	err := peerStream.Run(func(w update.Message) { s.handlePeerMessage(conn, peerStream, w) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn.stream == peerStream {
		conn.stream = nil
		s.state.PeerLost(s.clock(), conn.ip, conn.name)
		s.allocator.ZoneLost(s.clock(), conn.name)
		klog.InfoS("line lost", "to", conn.name, "why", err)
		s.stepNode(consensus.Event{PeerLost: true, From: conn.ip})
	}
}

// peerDialled notes that another control process follows here, and is there: this one dials it at once. The caller holds the
// lock.
func (s *Server) peerDialled(ip string, peerStream *stream.Conn[update.Message]) {
	s.inbound[ip] = peerStream
	if conn := s.peers[ip]; conn != nil && conn.stream == nil {
		if conn.cancelDial != nil {
			conn.cancelDial()
		}
		select {
		case conn.redial <- struct{}{}:
		default:
		}
	}
}

// handlePeerMessage takes what the other control process says.
func (s *Server) handlePeerMessage(conn *peerConn, peerStream *stream.Conn[update.Message], msg update.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case msg.Hello != nil:
		conn.name, conn.stream, conn.clockOffset = msg.Hello.Name, peerStream, update.ClockOffset{}
		conn.clockOffset.Observe(msg.Hello.Now, s.clock())
		conn.member = membership.Member{IP: conn.ip, ID: msg.Hello.ID, Name: msg.Hello.Name, Zone: msg.Hello.Zone}
		s.gossip.Add(gossip.Member{IP: msg.Hello.IP, Kind: gossip.Control, Zone: msg.Hello.Zone})
		s.state.PeerFound(conn.name)
	case conn.stream != peerStream:
	case msg.Status != nil:
		conn.clockOffset.Observe(msg.Now, s.clock())
		for _, age := range msg.RolloutStarts {
			age.StartedAt = conn.clockOffset.ToLocal(age.StartedAt)
			s.state.RolloutAges.Merge(age)
		}
		s.state.UpdatePeer(conn.ip, *msg.Status)
		s.stepNode(consensus.Event{From: conn.ip, Peer: &consensus.Peer{Member: conn.member, Epoch: msg.Status.Epoch, Applied: msg.Status.Number, CaughtUp: msg.Status.Complete && !msg.Status.Leaving}})
	case msg.Batch != nil:
		conn.clockOffset.Observe(msg.Now, s.clock())
		if conn.subscription.Advance(msg.Batch.Incarnation, msg.Batch.From, msg.Batch.To, msg.Batch.Snapshot) {
			for _, change := range msg.Batch.Changes {
				s.state.Merge(s.clock(), change.ToLocal(conn.clockOffset))
			}
			if msg.Batch.Snapshot {
				s.state.ReconcilePeer(s.clock(), conn.name, msg.Batch.Changes)
			}
			s.notifySubscribers()
			peerStream.Send(update.Message{Ack: msg.Batch.To})
		} else if msg.Batch.Incarnation != conn.subscription.Incarnation || msg.Batch.To > conn.subscription.Offset {
			peerStream.Close(errors.New("news does not follow"))
		}
	case msg.Consensus != nil:
		s.handleConsensusMessage(conn.ip, msg.Consensus)
	case msg.Quota != nil:
		s.allocator.MergeZone(s.clock(), conn.name, msg.Quota.ZoneUsage, msg.Quota.Loads)
	}
}

// wallClock is the time of day as the core has it, and whether more than half of the members agree on it. It is for people to read,
// and for rollouts that no process has seen begin. The caller holds the lock.
func (s *Server) wallClock() (int64, bool) {
	offsets, list := []int64{}, s.state.Node.Membership()
	for _, member := range list.Members {
		if conn := s.peers[member.IP]; conn != nil && conn.stream != nil && conn.member.ID == member.ID {
			offsets = append(offsets, conn.clockOffset.Ahead())
		} else if member.IP == s.Settings.IP {
			offsets = append(offsets, 0)
		}
	}
	return rollout.WallClock(s.clock(), offsets, len(list.Members))
}

// sameIncarnation tells whether two names of lives are of one process that has run on: a mark is put behind the name where its news can't be
// followed any more.
func sameIncarnation(a, b string) bool { return strings.TrimRight(a, "+") == strings.TrimRight(b, "+") }
