package server

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
	"portflow/internal/control/registry"
)

// nodeRecord is the record of the agreement on disk, beside the items.
const nodeRecord = "node"

func encodeHardState(d consensus.HardState) map[string][]byte {
	raw, err := json.Marshal(d)
	if err != nil { // it holds items that were read as JSON
		panic(err)
	}
	return map[string][]byte{nodeRecord: raw}
}

// loadHardState is what the disk gives the agreement: the record that it holds, or a new one where the disk is new, was lost or is
// spoilt. Who comes with a new record is no member until it is voted in; only at the first start it may be a founder. A disk
// of before the agreement names the founders by the core's items. gone are items that are not to stay on disk.
func (s *Server) loadHardState(items []config.Item, records map[string][]byte, complete, damaged bool) (hardState consensus.HardState, set *config.Set, removed []config.Key, created bool) {
	set = config.NewSet()
	var formerMembers []string
	for _, i := range items {
		if i.Kind == config.KindCore && i.Key() != membership.Key {
			formerMembers, removed = append(formerMembers, i.Name), append(removed, i.Key())
			continue
		}
		set.Merge(i)
	}
	removed = append(removed, set.TakeEvicted()...)
	if raw, there := records[nodeRecord]; there && complete && !damaged && json.Unmarshal(raw, &hardState) == nil && hardState.DiskID != "" {
		return hardState, set, removed, false
	}
	hardState = consensus.HardState{DiskID: s.incarnation}
	switch {
	case damaged:
	case complete && len(formerMembers) > 0:
		hardState.Founders = formerMembers
	case s.Settings.FirstStart && len(items) == 0:
		for _, seed := range s.Settings.SeedNodes {
			if host, _, err := net.SplitHostPort(seed); err == nil && !slices.Contains(hardState.Founders, host) {
				hardState.Founders = append(hardState.Founders, host)
			}
		}
		if len(hardState.Founders) == 0 {
			hardState.Founders = []string{s.Settings.IP}
		}
	}
	slices.Sort(hardState.Founders)
	return hardState, set, removed, true
}

// stepNode steps the agreement, and does what comes of it. The caller holds the lock.
func (s *Server) stepNode(event consensus.Event) {
	event.Now, event.Random = s.clock(), s.random.Float64()
	epoch, index, caughtUp := s.state.Node.Membership().Epoch, s.state.Node.Applied(), s.state.Node.CaughtUp()
	effects := s.state.Node.Step(event)
	if effects.HardState != nil && !s.diskBehind {
		synced := effects.SendAfterSync
		queued := s.writer.enqueue(writeJob{items: effects.SaveItems, removed: effects.DeleteKeys, records: encodeHardState(*effects.HardState), done: func() {
			if len(synced) == 0 {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sendMessages(synced)
		}})
		if !queued { // the disk hangs: what it has is of one number still, and nothing more goes to it until all does
			s.diskBehind = true
			s.state.Node.SetMuted(true)
		}
	}
	s.sendMessages(effects.Send)
	for _, answer := range effects.Answers {
		if waiter := s.waiters[answer.Tag]; waiter != nil {
			delete(s.waiters, answer.Tag)
			waiter <- answer.Result
		}
	}
	s.state.Publish(s.clock(), effects.Updated, caughtUp) // what comes before it is whole may be from before it started
	recovered := index > 0 && s.state.Node.Applied() >= index+consensus.RecoveryIndexJump
	if effects.Replaced || recovered { // what isn't there any more can't be told as a change: who follows takes a snapshot
		s.incarnation += "+"
		for sub := range s.subscribers {
			sub.stream.Close(errors.New("the set was taken over"))
		}
	}
	if list := s.state.Node.Membership(); list.Epoch != epoch {
		klog.InfoS("members", "epoch", list.Epoch, "of", len(list.Members), "down", s.state.Node.Unreachable(), "member", s.state.Node.IsMember())
	}
	if effects.Changed {
		s.notifySubscribers()
	}
	s.noteStatusChange()
	if event.PeerLost || event.Peer != nil || s.state.Node.Membership().Epoch != epoch { // a loss may be over before the next look
		s.updateTolerance()
	}
	if s.state.Node.Busy() && !s.tickScheduled {
		s.tickScheduled = true
		time.AfterFunc(busyTickInterval, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.tickScheduled = false; s.ctx.Err() == nil {
				s.stepNode(consensus.Event{Tick: true})
			}
		})
	}
}

const busyTickInterval = 50 * time.Millisecond // between ticks of the agreement while something of it is under way

// rewriteDisk writes all to a disk that has missed something, once it takes writes again; the caller holds the lock.
func (s *Server) rewriteDisk() {
	if s.diskBehind && s.writer.idle() && s.writer.enqueue(writeJob{replaceAll: true, items: s.state.Set.All(), records: encodeHardState(s.state.Node.HardState()), complete: true, done: func() {}}) {
		s.diskBehind = false
		s.state.Node.SetMuted(false)
	}
}

// sendMessages sends messages of the agreement, on either line between two processes; what can't be sent is lost, as on its way. The
// caller holds the lock.
func (s *Server) sendMessages(messages map[string][]consensus.Message) {
	for ip, toPeer := range messages {
		for _, message := range toPeer {
			if ip == s.Settings.IP {
				s.stepNode(consensus.Event{From: ip, Message: &message})
				continue
			}
			peerStream := s.inbound[ip] // the line that it dialled, until this process's own is up
			if conn := s.peers[ip]; conn != nil && conn.stream != nil {
				peerStream = conn.stream
			}
			if peerStream == nil {
				continue
			}
			raw, err := json.Marshal(message)
			if err != nil {
				klog.ErrorS(err, "agreement")
				continue
			}
			peerStream.Send(update.Message{Consensus: raw})
		}
	}
}

// handleConsensusMessage takes a message of the agreement; the caller holds the lock.
func (s *Server) handleConsensusMessage(from string, raw []byte) {
	var message consensus.Message
	if err := json.Unmarshal(raw, &message); err != nil {
		stream.MalformedFrames.Add(1)
		return
	}
	s.stepNode(consensus.Event{From: from, Message: &message})
}

// submit has the core take an order. It returns once the order stands, kept by more than half, or is refused for good, or
// the context ends: then it may stand or not, and is decided or gone soon.
func (s *Server) submit(ctx context.Context, op operation.Operation) error {
	return s.await(ctx, consensus.Event{Operation: &op})
}

// confirmLatest waits until this process has all that was decided when the call came: it asks more than half of the members.
func (s *Server) confirmLatest(ctx context.Context) error {
	return s.await(ctx, consensus.Event{Read: true})
}

func (s *Server) await(ctx context.Context, event consensus.Event) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	err := s.checkReady()
	if event.Operation != nil && event.Operation.Kind == operation.ChangeMembers { // also one that leaves asks for it
		err = s.checkQuorum()
	}
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.lastTag++
	event.Tag = s.lastTag
	done := make(chan consensus.Result, 1)
	s.waiters[event.Tag] = done
	s.stepNode(event)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiters, event.Tag)
	}()
	select {
	case result := <-done:
		return result.Err()
	case <-ctx.Done():
		return apierror.Wrap(apierror.Unavailable, ctx.Err(), "not yet known to more than half of the core")
	case <-s.ctx.Done():
		return apierror.Wrap(apierror.Unavailable, s.ctx.Err(), "this process ends")
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

// noteStatusChange is the one place where this process's standing is noted; the caller holds the lock.
func (s *Server) noteStatusChange() {
	if status := s.state.Status(); status != s.lastStatus {
		klog.InfoS("standing", "from", s.lastStatus, "to", status, "heard", len(s.state.Peers), "core", s.state.Node.String())
		s.lastStatus = status
		s.notifySubscribers()
	}
}

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

const (
	dialTimeout     = time.Second
	maxDialFailures = 600 // dials of one that nothing names any more, a second or two each, before it is given up
)

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

// checkReady tells whether this process may take orders; the caller holds the lock.
func (s *Server) checkReady() error {
	if s.stopping {
		return apierror.New(apierror.Unavailable, "this process ends")
	}
	return s.checkQuorum()
}

func (s *Server) checkQuorum() error {
	if status := s.state.Status(); status != registry.HasQuorum {
		return apierror.New(apierror.Unavailable, "this process is %v: %v, down %v", status, s.state.Node, s.state.Node.Unreachable())
	}
	return nil
}
