package server

import (
	"context"
	"net"
	"time"

	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// acceptRetryDelay is the delay after an error of Accept.
const acceptRetryDelay = 10 * time.Millisecond

// subscriptions holds the proxies and control processes that receive updates from this process. The server's mu guards it.
type subscriptions struct {
	subscribers map[*subscriber]bool
	peerStreams map[string]*stream.Conn[update.Message] // by IP address; streams of the subscribers that are control processes
	updated     chan struct{}                           // closed and replaced when there are new updates
}

func newSubscriptions() subscriptions {
	return subscriptions{
		subscribers: map[*subscriber]bool{},
		peerStreams: map[string]*stream.Conn[update.Message]{},
		updated:     make(chan struct{}),
	}
}

// notify wakes all goroutines that wait for updates.
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

// closeAll closes the streams of all subscribers; serveSubscriber then removes each of them.
func (s *subscriptions) closeAll(cause error) {
	for sub := range s.subscribers {
		sub.stream.Close(cause)
	}
}

// subscriber is a proxy or a control process that receives updates. The server's mu guards its fields, except stream and the channels.
type subscriber struct {
	stream           *stream.Conn[update.Message]
	helloReceived    chan update.Hello // has capacity 1
	identity         update.Hello      // its hello; zero before that
	proxy            update.Proxy      // as last announced; zero before that and for a control process
	acked            uint64            // number of the last update that it has acknowledged
	progress         *update.Progress  // the part of a snapshot that it has received; nil if it doesn't accept chunks
	ackReceived      chan struct{}     // has capacity 1; a value means that a chunk, or a batch while awaitsAck was set, was acknowledged
	awaitsAck        bool              // no batch is sent to it until it acknowledges one
	provisional      bool              // a proxy that still receives updates from another control process, until it announces itself
	bytesAtLastCheck int64             // bytes received up to the last run of reclaimProxies
}

// acceptConnections accepts connections from proxies and other control processes until ctx ends.
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

// serveSubscriber serves one stream until it ends. The stream is closed when ctx ends.
func (s *Server) serveSubscriber(conn net.Conn) {
	subStream := stream.Open[update.Message](conn, stream.ProxyKeepalive) // changed if the hello comes from a control process
	stop := context.AfterFunc(s.ctx, func() { subStream.Close(s.ctx.Err()) })
	defer stop()
	self := s.state.Self // immutable, so mu is not needed
	self.Now = s.clock()
	subStream.Send(update.Message{Hello: &self})
	sub := &subscriber{stream: subStream, helloReceived: make(chan update.Hello, 1), ackReceived: make(chan struct{}, 1)}
	go s.sendUpdates(sub)
	s.mu.Lock()
	s.subscriptions.add(sub)
	s.mu.Unlock()
	_ = subStream.Run(func(msg update.Message) { s.handleSubscriberMessage(sub, msg) }) // the subscriber logs the error and dials again
	s.subscriberLost(sub)
}

// subscriberLost handles the end of a subscriber's stream. It publishes a proxy as gone unless that has subscribed again.
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
	if current.RegisteredAt != terminated.RegisteredAt || current.Owner != s.Settings.Name { // subscribed again, here or to another control process
		return
	}
	terminated.Gone = true
	terminated.Revision = current.Revision + 1
	s.state.PublishProxy(terminated, true)
	s.subscriptions.notify()
}

// reclaimProxies announces those proxies again that keep sending to this process but are registered as gone or as owned by another
// control process. The caller holds mu.
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

// handleSubscriberMessage handles a message from a subscriber. Kinds of messages that the subscriber may not send are ignored.
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
		sub.wakeSender()
	case msg.Ack != 0:
		sub.acked = max(sub.acked, msg.Ack)
		if sub.awaitsAck {
			sub.awaitsAck = false
			sub.wakeSender()
		}
		if isControl {
			s.departures.notifyWaiters()
		}
	case msg.Consensus != nil && isControl:
		s.handleConsensusMessage(sub.identity.IP, msg.Consensus)
	}
}

// wakeSender wakes the goroutine of sendUpdates after an acknowledgement that it waits for.
func (sub *subscriber) wakeSender() {
	select {
	case sub.ackReceived <- struct{}{}:
	default:
	}
}

// handleSubscriberHello records the identity of a subscriber. The caller holds mu.
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
	// A peer that resumes may have marked this process's proxies as gone. Any other peer receives a snapshot, which restores them.
	if hello.Incarnation != "" && sameIncarnation(hello.Incarnation, s.incarnation) {
		s.state.ReannounceProxies()
		s.subscriptions.notify()
	}
}

// handleProxy handles a proxy's announcement of its state. The caller holds mu.
func (s *Server) handleProxy(sub *subscriber, proxy update.Proxy) {
	proxy.Name = sub.identity.Name
	proxy.Owner = s.Settings.Name
	proxy.Gone = false
	proxy.RegisteredAt = sub.proxy.RegisteredAt
	sub.proxy = s.state.ClaimProxy(s.clock(), proxy)
	sub.provisional = false
	s.subscriptions.notify()
}

// handleVotes handles a proxy's votes on rollouts. The caller holds mu.
func (s *Server) handleVotes(proxy string, votes []update.Vote) {
	for _, vote := range votes {
		vote.Proxy = proxy
		vote.ReceivedAt = s.clock()
		s.state.PublishVote(vote, true)
	}
	s.subscriptions.notify()
}
