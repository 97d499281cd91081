package server

import (
	"context"
	"net"
	"time"

	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
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

// notifySubscribers tells those who follow that there is news; the caller holds the lock.
func (s *Server) notifySubscribers() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// reclaimProxies tells anew of routers that are heard here and were taken for gone elsewhere; the caller holds the lock.
func (s *Server) reclaimProxies() {
	for sub := range s.subscribers {
		received := sub.stream.BytesRead.Load()
		current, known := s.state.Proxies[sub.proxy.Name]
		if known && (current.Gone || current.Owner != s.Settings.Name) && received > sub.bytesAtLastCheck {
			sub.proxy = s.state.ClaimProxy(s.clock(), sub.proxy)
			s.notifySubscribers()
		}
		sub.bytesAtLastCheck = received
	}
}
