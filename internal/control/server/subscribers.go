package server

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/registry"
)

// acceptConnections takes lines of routers and of other control processes.
func (s *Server) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go s.serveSubscriber(conn)
	}
}

const (
	statusInterval       = 3 * time.Second // where nothing has changed
	statusChangeInterval = 200 * time.Millisecond
	rolloutAnnounceTime  = int64(time.Hour)      // for so long the others are told when a rollout began
	batchInterval        = 40 * time.Millisecond // at least between two batches of news: what comes close together goes together
	evictInterval        = 10 * time.Second      // of snapshots that were made for routers
)

// serveSubscriber tells the news on one line until it ends.
func (s *Server) serveSubscriber(conn net.Conn) {
	subStream := stream.Open[update.Message](conn, stream.ProxyKeepalive) // until it has said who it is
	stop := context.AfterFunc(s.ctx, func() { subStream.Close(s.ctx.Err()) })
	defer stop()
	self := s.state.Self
	self.Now = s.clock()
	subStream.Send(update.Message{Hello: &self})
	sub := &subscriber{stream: subStream, helloReceived: make(chan update.Hello, 1), chunkAcked: make(chan struct{}, 1)}
	go s.sendUpdates(sub)
	s.mu.Lock()
	s.subscribers[sub] = true
	s.mu.Unlock()
	subStream.Run(func(msg update.Message) { s.handleSubscriberMessage(sub, msg) })
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub)
	if s.inbound[sub.identity.IP] == sub.stream {
		delete(s.inbound, sub.identity.IP)
	}
	s.allocator.RemoveRouter(sub.proxy.Name)
	s.outliers.RemoveRouter(sub.proxy.Name)
	if sub.proxy.Name != "" { // it hangs here no longer
		gone := sub.proxy
		if current := s.state.Proxies[gone.Name]; current.RegisteredAt == gone.RegisteredAt && current.Owner == s.Settings.Name {
			gone.Gone, gone.Revision = true, current.Revision+1
			s.state.PublishProxy(gone, true)
			s.notifySubscribers()
		}
	}
}

// subscriber is one who follows this process's news.
type subscriber struct {
	stream           *stream.Conn[update.Message]
	helloReceived    chan update.Hello
	identity         update.Hello
	proxy            update.Proxy // as it told
	acked            uint64
	received         *update.Progress // what it has of a snapshot, as it said last; nil where it takes no chunks
	chunkAcked       chan struct{}    // a chunk was acknowledged
	provisional      bool             // it is a router that follows another one still, until it says how it is
	bytesAtLastCheck int64            // bytes that had come when it was last looked at
}

// sendUpdates sends news as it comes: all that is there at once goes into one batch. Who can't be given changes alone, or to whom they
// would be more than a snapshot, is sent one: a router in chunks, then the changes since it in one batch, with which it takes all
// in at once.
func (s *Server) sendUpdates(sub *subscriber) {
	var identity update.Hello
	select {
	case identity = <-sub.helloReceived:
	case <-sub.stream.Done():
		return
	}
	sentUpTo, following := uint64(0), false
	var sentStatus update.Status
	statusSentAt, clockSentAt := time.Time{}, time.Time{}
	var transfer *update.Transfer // of the snapshot that it is being sent
	awaited := ""                 // for which snapshot
	batchSentAt := time.Time{}    // news, the last time
	for {
		if pause := batchInterval - time.Since(batchSentAt); pause > 0 {
			select {
			case <-time.After(pause):
			case <-sub.stream.Done():
				return
			}
		}
		select {
		case <-sub.stream.Done():
			return
		default:
		}
		var snapshotReady chan struct{}
		s.mu.Lock()
		updated, status := s.updated, s.state.PeerStatus()
		status.Leaving = s.stopping && identity.Control
		epoch, index := status.Epoch, status.Number
		if !identity.Control {
			status.Sum, status.Epoch, status.Number = 0, 0, 0 // of no use to a router
		}
		if status != sentStatus && (!identity.Control || time.Since(statusSentAt) > statusChangeInterval || status.Complete != sentStatus.Complete ||
			status.HasQuorum != sentStatus.HasQuorum || status.Member != sentStatus.Member || status.Leaving != sentStatus.Leaving) || time.Since(statusSentAt) >= statusInterval {
			if status != sentStatus || identity.Control {
				msg := update.Message{Status: &status}
				if time.Since(clockSentAt) >= statusInterval { // not with each change: that would cost each order its bytes
					if msg.Now, clockSentAt = s.clock(), time.Now(); identity.Control {
						msg.RolloutStarts = s.state.RolloutAges.Announcements(msg.Now, rolloutAnnounceTime)
					}
				}
				sub.stream.Send(msg)
			}
			sentStatus, statusSentAt = status, time.Now()
		}
		if identity.Control || status.Complete && !sub.provisional {
			last := s.state.Updates.Last()
			if _, available := s.state.Updates.After(identity.Offset); !following && transfer == nil && available && identity.Incarnation == s.incarnation { // it has been here before
				sentUpTo, following = identity.Offset, true
			}
			changes, available := s.state.Updates.After(sentUpTo)
			batch := registry.Filter(changes, identity.Control)
			if sub.received != nil && update.EstimateSize(batch) > update.MaxBatchBytes {
				available = false
			}
			switch {
			case following && available:
				if len(batch) > 0 || last-sentUpTo > registry.MaxUpdates/4 {
					msg := update.Message{Batch: &update.Batch{Incarnation: s.incarnation, From: sentUpTo, To: last, Changes: batch, Epoch: epoch, Number: index}}
					if slices.ContainsFunc(batch, update.Change.HasTimes) {
						msg.Now = s.clock()
					}
					sub.stream.Send(msg)
					sentUpTo, batchSentAt = last, time.Now()
				} // else nothing of it is for this one: the numbers go with the next batch
			case sub.received == nil:
				sub.stream.Send(update.Message{Batch: &update.Batch{Incarnation: s.incarnation, To: last, Snapshot: true, Changes: s.state.Snapshot(s.clock(), identity.Control), Epoch: epoch, Number: index}, Now: s.clock()})
				sentUpTo, following = last, true
			default:
				following, identity.Incarnation = false, ""
				var snapshot *update.PendingSnapshot
				if transfer != nil {
					awaited = transfer.Snapshot.Name
				}
				if snapshot, transfer = s.snapshotFor(sub, awaited, transfer, update.SnapshotHeader{Incarnation: s.incarnation, To: last, Epoch: epoch, Number: index}); transfer == nil {
					snapshotReady, awaited = snapshot.Done, snapshot.Name
					break
				}
				chunks, done := transfer.Next(*sub.received)
				for _, msg := range chunks {
					sub.stream.SendFrame(msg)
				}
				if !done {
					break
				}
				changes, _ = s.state.Updates.After(transfer.Snapshot.To) // it is all kept, or the cut weren't sent any more
				sub.stream.Send(update.Message{Batch: &update.Batch{Incarnation: s.incarnation, From: transfer.Snapshot.To, To: last, Changes: registry.Filter(changes, false), Epoch: epoch, Number: index}, Now: s.clock()})
				sentUpTo, following, transfer = last, true, nil
			}
		}
		wait := statusInterval
		if status != sentStatus { // it has only just said another: this one follows soon, or others miss what has changed
			wait = statusChangeInterval
		}
		s.mu.Unlock()
		select {
		case <-updated:
		case <-sub.chunkAcked:
		case <-snapshotReady:
		case <-time.After(wait):
		case <-sub.stream.Done():
			return
		}
	}
}

// snapshotFor finds the snapshot that a router is to be sent, and has one made where none is there: sent is nil until it is. The one that
// it is being sent or waits for goes on as long as it is kept, and one of which the router has a part; else it begins with the
// newest. The caller holds the lock.
func (s *Server) snapshotFor(sub *subscriber, awaited string, transfer *update.Transfer, header update.SnapshotHeader) (*update.PendingSnapshot, *update.Transfer) {
	now, log := s.clock(), s.state.Updates
	snapshot := s.proxySnapshots.ByName(now, awaited, header.Incarnation, log)
	if snapshot != nil && transfer != nil {
		return snapshot, transfer
	}
	if snapshot == nil {
		snapshot = s.proxySnapshots.ByName(now, sub.received.Name, header.Incarnation, log)
	}
	if snapshot == nil {
		snapshot = s.proxySnapshots.Newest(now, header.Incarnation, log)
	}
	if snapshot == nil {
		snapshot = s.proxySnapshots.Start(now, header)
		go snapshot.Encode(s.state.Snapshot(s.clock(), false), stream.EncodeFrame)
		s.scheduleEviction()
	}
	select {
	case <-snapshot.Done:
		if snapshot.Err != nil {
			sub.stream.Close(snapshot.Err)
			return snapshot, nil
		}
		return snapshot, update.NewTransfer(snapshot.Snapshot, *sub.received)
	default:
		return snapshot, nil
	}
}

// scheduleEviction looks for cuts that nobody asks for any more, as long as one is kept; the caller holds the lock.
func (s *Server) scheduleEviction() {
	if s.evictionScheduled {
		return
	}
	s.evictionScheduled = true
	time.AfterFunc(evictInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.evictionScheduled = false; s.ctx.Err() == nil && s.proxySnapshots.EvictIdle(s.clock()) {
			s.scheduleEviction()
		}
	})
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

// sameIncarnation tells whether two names of lives are of one process that has run on: a mark is put behind the name where its news can't be
// followed any more.
func sameIncarnation(a, b string) bool { return strings.TrimRight(a, "+") == strings.TrimRight(b, "+") }

// handleSubscriberMessage takes what a follower says.
func (s *Server) handleSubscriberMessage(sub *subscriber, msg update.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case msg.Hello != nil:
		if sub.identity.IP == "" && !msg.Hello.Control {
			sub.received, sub.provisional = msg.Progress, msg.StatusOnly
		}
		select {
		case sub.helloReceived <- *msg.Hello:
			sub.identity = *msg.Hello
		default:
		}
		kind := gossip.Proxy
		if msg.Hello.Control {
			kind = gossip.Control
			sub.stream.SetKeepalive(stream.ControlKeepalive)
			s.addPeer(msg.Hello.IP)
			s.peerDialled(msg.Hello.IP, sub.stream)
			if msg.Hello.Incarnation != "" && sameIncarnation(msg.Hello.Incarnation, s.incarnation) { // else it is told all anew, and takes none of it for gone
				s.state.ReannounceProxies()
				s.notifySubscribers()
			}
		}
		s.gossip.Add(gossip.Member{IP: msg.Hello.IP, Kind: kind, Zone: msg.Hello.Zone})
	case msg.Proxy != nil && sub.identity.Name != "" && !sub.identity.Control:
		proxy := *msg.Proxy
		proxy.Name, proxy.Owner, proxy.Gone, proxy.RegisteredAt = sub.identity.Name, s.Settings.Name, false, sub.proxy.RegisteredAt
		sub.proxy, sub.provisional = s.state.ClaimProxy(s.clock(), proxy), false
		s.notifySubscribers()
	case msg.Votes != nil && !sub.identity.Control:
		for _, vote := range msg.Votes {
			vote.Proxy, vote.ReceivedAt = sub.identity.Name, s.clock()
			s.state.PublishVote(vote, true)
		}
		s.notifySubscribers()
	case msg.Quota != nil && sub.proxy.Name != "" && !sub.identity.Control:
		s.handleQuotaReport(sub.proxy.Name, *msg.Quota)
	case msg.Outliers != nil && sub.proxy.Name != "" && !sub.identity.Control:
		for service, observations := range msg.Outliers {
			s.outliers.AddReport(s.clock(), sub.proxy.Name, service, observations)
		}
	case msg.Progress != nil && sub.received != nil:
		sub.received = msg.Progress
		select {
		case sub.chunkAcked <- struct{}{}:
		default:
		}
	case msg.Ack != 0:
		sub.acked = max(sub.acked, msg.Ack)
		if len(s.leavingHosts) > 0 && sub.identity.Control {
			close(s.acked)
			s.acked = make(chan struct{})
		}
	case msg.Consensus != nil && sub.identity.Control:
		s.handleConsensusMessage(sub.identity.IP, msg.Consensus)
	}
}
