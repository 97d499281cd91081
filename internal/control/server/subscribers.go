package server

import (
	"context"
	"net"
	"time"

	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// acceptRetryDelay is the time before the next attempt to accept a connection after one that failed.
const acceptRetryDelay = 10 * time.Millisecond

// subscriptions are the proxies and control processes that receive updates from here. The server's mu guards it.
type subscriptions struct {
	subscribers map[*subscriber]bool
	peerStreams map[string]*stream.Conn[update.Message] // by IP, those of subscribers that are control processes
	updated     chan struct{}                           // closed, and replaced, when there are new updates
}

func newSubscriptions() subscriptions {
	return subscriptions{
		subscribers: map[*subscriber]bool{},
		peerStreams: map[string]*stream.Conn[update.Message]{},
		updated:     make(chan struct{}),
	}
}

// notify wakes all that wait for updates.
func (s *subscriptions) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *subscriptions) add(sub *subscriber) { s.subscribers[sub] = true }

func (s *subscriptions) remove(sub *subscriber) {
	delete(s.subscribers, sub)
	if s.peerStreams[sub.identity.IP] == sub.stream {
		delete(s.peerStreams, sub.identity.IP)
	}
}

// closeAll ends all subscriptions; each is removed by its own goroutine.
func (s *subscriptions) closeAll(cause error) {
	for sub := range s.subscribers {
		sub.stream.Close(cause)
	}
}

// subscriber is a proxy or a control process that receives updates. Its fields but stream and the channels are guarded by the
// server's mu.
type subscriber struct {
	stream           *stream.Conn[update.Message]
	helloReceived    chan update.Hello // has room for one
	identity         update.Hello      // as its hello has it; zero before
	proxy            update.Proxy      // as it was announced; zero for a control process
	acked            uint64            // number of the last update that it has acknowledged
	progress         *update.Progress  // what it has of a snapshot; nil where it takes no chunks
	chunkAcked       chan struct{}     // has room for one: a chunk was acknowledged
	provisional      bool              // a proxy that still receives updates from another process, until it announces itself
	bytesAtLastCheck int64             // that had come when reclaimProxies looked at it
}

// acceptConnections accepts streams of proxies and of other control processes, until ctx ends.
func (s *Server) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveSubscriber(conn)
	}
}

// serveSubscriber serves one stream until it ends; ctx ends it too.
func (s *Server) serveSubscriber(conn net.Conn) {
	subStream := stream.Open[update.Message](conn, stream.ProxyKeepalive) // until its hello says that it is a control process
	stop := context.AfterFunc(s.ctx, func() { subStream.Close(s.ctx.Err()) })
	defer stop()
	self := s.state.Self // never changes
	self.Now = s.clock()
	subStream.Send(update.Message{Hello: &self})
	sub := &subscriber{stream: subStream, helloReceived: make(chan update.Hello, 1), chunkAcked: make(chan struct{}, 1)}
	go s.sendUpdates(sub)
	s.mu.Lock()
	s.subscriptions.add(sub)
	s.mu.Unlock()
	_ = subStream.Run(func(msg update.Message) { s.handleSubscriberMessage(sub, msg) }) // the subscriber logs why, and dials again
	s.subscriberLost(sub)
}

// subscriberLost notes that a subscriber's stream has ended.
func (s *Server) subscriberLost(sub *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscriptions.remove(sub)
	s.quotas.allocator.RemoveRouter(sub.proxy.Name)
	s.outliers.RemoveRouter(sub.proxy.Name)
	if sub.proxy.Name == "" {
		return
	}
	terminated := sub.proxy
	current := s.state.Proxies[terminated.Name]
	if current.RegisteredAt != terminated.RegisteredAt || current.Owner != s.Settings.Name { // it has subscribed again, here or elsewhere
		return
	}
	terminated.Gone = true
	terminated.Revision = current.Revision + 1
	s.state.PublishProxy(terminated, true)
	s.subscriptions.notify()
}

// reclaimProxies announces proxies again that send to this process and are taken for gone, or for another's, elsewhere. The caller
// holds mu.
func (s *Server) reclaimProxies() {
	for sub := range s.subscriptions.subscribers {
		received := sub.stream.BytesRead.Load()
		current, known := s.state.Proxies[sub.proxy.Name]
		if known && (current.Gone || current.Owner != s.Settings.Name) && received > sub.bytesAtLastCheck {
			sub.proxy = s.state.ClaimProxy(s.clock(), sub.proxy)
			s.subscriptions.notify()
		}
		sub.bytesAtLastCheck = received
	}
}

// handleSubscriberMessage takes a message of a subscriber. What is of no kind that the subscriber may send is ignored.
func (s *Server) handleSubscriberMessage(sub *subscriber, msg update.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isControl := sub.identity.Control
	isAnnounced := !isControl && sub.proxy.Name != ""
	switch {
	case msg.Hello != nil:
		s.handleSubscriberHello(sub, msg)
	case msg.Proxy != nil && !isControl && sub.identity.Name != "":
		s.handleProxy(sub, *msg.Proxy)
	case msg.Votes != nil && !isControl:
		s.handleVotes(sub.identity.Name, msg.Votes)
	case msg.Quota != nil && isAnnounced:
		s.handleQuotaReport(sub.proxy.Name, *msg.Quota)
	case msg.Outliers != nil && isAnnounced:
		for service, observations := range msg.Outliers {
			s.outliers.AddReport(s.clock(), sub.proxy.Name, service, observations)
		}
	case msg.Progress != nil && sub.progress != nil:
		sub.progress = msg.Progress
		select {
		case sub.chunkAcked <- struct{}{}:
		default:
		}
	case msg.Ack != 0:
		sub.acked = max(sub.acked, msg.Ack)
		if isControl {
			s.departures.notifyWaiters()
		}
	case msg.Consensus != nil && isControl:
		s.handleConsensusMessage(sub.identity.IP, msg.Consensus)
	}
}

// handleSubscriberHello notes who a subscriber is; the caller holds mu.
func (s *Server) handleSubscriberHello(sub *subscriber, msg update.Message) {
	hello := *msg.Hello
	if sub.identity.IP == "" && !hello.Control {
		sub.progress = msg.Progress
		sub.provisional = msg.StatusOnly
	}
	select {
	case sub.helloReceived <- hello:
		sub.identity = hello
	default:
	}
	kind := gossip.Proxy
	if hello.Control {
		kind = gossip.Control
		s.handleControlHello(sub, hello)
	}
	s.gossip.Add(gossip.Member{IP: hello.IP, Kind: kind, Zone: hello.Zone})
}

func (s *Server) handleControlHello(sub *subscriber, hello update.Hello) {
	sub.stream.SetKeepalive(stream.ControlKeepalive)
	s.addPeer(hello.IP)
	s.peerDialled(hello.IP, sub.stream)
	// otherwise it receives a snapshot, in which no proxy is gone
	if hello.Incarnation != "" && sameIncarnation(hello.Incarnation, s.incarnation) {
		s.state.ReannounceProxies()
		s.subscriptions.notify()
	}
}

// handleProxy takes a proxy's own announcement of its state; the caller holds mu.
func (s *Server) handleProxy(sub *subscriber, proxy update.Proxy) {
	proxy.Name = sub.identity.Name
	proxy.Owner = s.Settings.Name
	proxy.Gone = false
	proxy.RegisteredAt = sub.proxy.RegisteredAt
	sub.proxy = s.state.ClaimProxy(s.clock(), proxy)
	sub.provisional = false
	s.subscriptions.notify()
}

// handleVotes takes a proxy's votes on rollouts; the caller holds mu.
func (s *Server) handleVotes(proxy string, votes []update.Vote) {
	for _, vote := range votes {
		vote.Proxy = proxy
		vote.ReceivedAt = s.clock()
		s.state.PublishVote(vote, true)
	}
	s.subscriptions.notify()
}
