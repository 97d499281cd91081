package server

import (
	"context"
	"net"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/control/operation"
	"portflow/internal/control/rpc"
)

const (
	// leaveAckTimeout is how long a host that leaves waits for its answer at most: it goes on to the next process after a second.
	leaveAckTimeout = 700 * time.Millisecond

	maxHostIDBytes = 256
)

func checkHostID(id string) error {
	if id == "" || len(id) > maxHostIDBytes {
		return apierror.New(apierror.Malformed, "of: no id")
	}
	return nil
}

// handleHeartbeat takes a host's heartbeat. The answer may name another control process to which the next one should go.
func (s *Server) handleHeartbeat(ctx context.Context, id string, body []byte) (any, error) {
	if err := checkHostID(id); err != nil {
		return nil, err
	}
	tree, err := rpc.ParseObject(body)
	if err != nil {
		return nil, err
	}
	now := s.clock()
	host, err := instance.ParseHeartbeat(id, tree, now)
	if err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the beat of %s", id)
	}
	redirect, leaving, err := s.acceptHeartbeat(now, host)
	if err != nil {
		return nil, err
	}
	if leaving { // few hosts are, and the others need no timer
		if err := s.awaitMajorityAck(ctx, id); err != nil {
			return nil, err
		}
	}
	if redirect != "" {
		return map[string]string{"heartbeat-address": redirect}, nil
	}
	return map[string]string{}, nil
}

// acceptHeartbeat updates and publishes a host. It returns the address that the next heartbeat should go to, empty for this process's,
// and whether the host's departure is pending. Where this process reaches no majority, nobody would receive what it publishes: it
// returns an error, and the host goes on to another process.
func (s *Server) acceptHeartbeat(now int64, heartbeat instance.Instance) (redirect string, leaving bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkReady(); err != nil {
		return "", false, err
	}
	host, changed := s.state.Instances.Heartbeat(now, heartbeat)
	s.announceInstance(host, changed)
	s.proposeInitialVersion(host)
	return s.controlForZone(host.Zone), s.departures.isPending(heartbeat.ID), nil
}

// acceptsHeartbeats reports whether another control process accepts heartbeats, by its last status. One that starts, has no quorum or
// leaves refuses them, and a host that is sent there comes back by way of any other process, each time with an update to all. The
// caller holds mu.
func (s *Server) acceptsHeartbeats(ip string) bool {
	peer, conn := s.state.Peers[ip], s.peers[ip]
	if peer == nil || conn == nil || conn.stream == nil {
		return false
	}
	return peer.Status.Complete && peer.Status.HasQuorum && !peer.Status.Leaving
}

// controlForZone is the address of the control process to which a zone's hosts should send heartbeats, empty for this one's. The caller
// holds mu.
func (s *Server) controlForZone(zone string) string {
	if zone == s.Settings.Zone {
		return ""
	}
	lowest := ""
	for ip, memberZone := range s.state.Set.Members() {
		if memberZone == zone && (lowest == "" || ip < lowest) && s.acceptsHeartbeats(ip) {
			lowest = ip
		}
	}
	if lowest == "" {
		return ""
	}
	_, port, _ := net.SplitHostPort(s.Settings.ListenAddresses["control"]) // checked with the settings
	return net.JoinHostPort(lowest, port)
}

// proposeInitialVersion makes the version of a service's first host its stable version. The caller holds mu.
func (s *Server) proposeInitialVersion(host instance.Instance) {
	_, known := s.state.Set.Lookup(config.Key{Kind: config.KindStableVersions, Name: host.Service})
	if known || s.pendingVersions[host.Service] {
		return
	}
	s.pendingVersions[host.Service] = true
	go s.setInitialVersion(host.Service, host.Version)
}

// setInitialVersion submits a service's first version; it ends with the operation.
func (s *Server) setInitialVersion(service, version string) {
	op := operation.Operation{Kind: operation.SetInitialVersion, Name: service, Version: version}
	_ = s.submit(s.ctx, op) // the next heartbeat submits it again where it is missing
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingVersions, service)
}

// handleLeave takes a host out of service.
func (s *Server) handleLeave(ctx context.Context, id string, _ []byte) (any, error) {
	if err := checkHostID(id); err != nil {
		return nil, err
	}
	if err := s.deregister(id); err != nil {
		return nil, err
	}
	return nil, s.awaitMajorityAck(ctx, id)
}

func (s *Server) deregister(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkReady(); err != nil {
		return err
	}
	host, changed := s.state.Instances.Deregister(s.clock(), id)
	s.announceInstance(host, changed)
	return nil
}

// announceInstance publishes a host that sends heartbeats here and has changed. One that leaves is published once more where this
// process knows only from another that it does: that one may be cut off, and have reached nobody else. The caller holds mu.
func (s *Server) announceInstance(host instance.Instance, changed bool) {
	leaving := host.State != instance.Ready
	if !changed && (!leaving || s.departures.isPublished(host.ID)) {
		return
	}
	s.state.PublishInstance(host, true)
	if leaving {
		s.departures.begin(host.ID, s.state.Updates.Last())
	}
	s.subscriptions.notify()
}

// awaitMajorityAck waits until a majority of the members, this process included, has acknowledged the departure of a host. The host
// ends on the answer, so proxies that subscribe to any of them must get to know it, and a process that was cut off a moment ago
// doesn't know that yet: it must not answer. Updates about other hosts wait for nobody.
func (s *Server) awaitMajorityAck(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, leaveAckTimeout)
	defer cancel()
	for {
		complete, changed := s.resolveDeparture(id)
		if complete {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return apierror.Wrap(apierror.Unavailable, ctx.Err(), "of: %s leaves, and more than half of the core haven't heard of it yet", id)
		}
	}
}

// resolveDeparture reports whether a host's departure is complete, and else when to look again.
func (s *Server) resolveDeparture(id string) (complete bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departures.resolve(id, s.majorityAcked), s.departures.changed
}

// majorityAcked reports whether a majority of the members has acknowledged all updates up to a number. The caller holds mu.
func (s *Server) majorityAcked(number uint64) bool {
	acks := map[string]string{s.Settings.IP: s.state.Self.ID}
	for sub := range s.subscriptions.subscribers {
		if sub.identity.Control && sub.acked >= number {
			acks[sub.identity.IP] = sub.identity.ID
		}
	}
	return s.state.Node.Membership().HasQuorum(acks)
}
