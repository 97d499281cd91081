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

func (s *Server) handleHeartbeat(ctx context.Context, id string, body []byte) (any, error) {
	if id == "" || len(id) > 256 {
		return nil, apierror.New(apierror.Malformed, "of: no id")
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
	s.mu.Lock()
	if err := s.checkReady(); err != nil { // what is told here reaches nobody: the host goes on to another process
		s.mu.Unlock()
		return nil, err
	}
	host, changed := s.state.Instances.Heartbeat(now, host)
	s.announceInstance(host, changed)
	_, known := s.state.Set.Lookup(config.Key{Kind: config.KindStableVersions, Name: host.Service})
	redirect := s.controlForZone(host.Zone)
	if !known && !s.settingVersions[host.Service] { // the first hosts' version is the one that is not on trial
		s.settingVersions[host.Service] = true
		go s.setInitialVersion(host.Service, host.Version)
	}
	_, isLeaving := s.leavingHosts[id]
	s.mu.Unlock()
	if isLeaving { // few do: others need no timer
		if err := s.awaitMajorityAck(ctx, id); err != nil {
			return nil, err
		}
	}
	if redirect != "" {
		return map[string]string{"heartbeat-address": redirect}, nil
	}
	return map[string]string{}, nil
}

// acceptsHeartbeats tells whether another control process takes beats, as it last said: one that starts, is alone or ends refuses them, and a host
// that is sent there comes back by way of any other, which is news of it to all each time. The caller holds the lock.
func (s *Server) acceptsHeartbeats(ip string) bool {
	peer, conn := s.state.Peers[ip], s.peers[ip]
	return peer != nil && conn != nil && conn.stream != nil && peer.Status.Complete && peer.Status.HasQuorum && !peer.Status.Leaving
}

// controlForZone is the control process that a host of a zone should beat to, empty for this one; the caller holds the lock.
func (s *Server) controlForZone(zone string) string {
	if zone == s.Settings.Zone {
		return ""
	}
	best := ""
	for ip, memberZone := range s.state.Set.Members() {
		if memberZone == zone && (best == "" || ip < best) && s.acceptsHeartbeats(ip) {
			best = ip
		}
	}
	if best == "" {
		return ""
	}
	_, port, _ := net.SplitHostPort(s.Settings.ListenAddresses["control"])
	return net.JoinHostPort(best, port)
}

// setInitialVersion has the core note a service's first version.
func (s *Server) setInitialVersion(service, version string) {
	s.submit(s.ctx, operation.Operation{Kind: operation.SetInitialVersion, Name: service, Version: version})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.settingVersions, service)
}

func (s *Server) handleLeave(ctx context.Context, id string, _ []byte) (any, error) {
	if id == "" || len(id) > 256 {
		return nil, apierror.New(apierror.Malformed, "of: no id")
	}
	s.mu.Lock()
	if err := s.checkReady(); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	host, changed := s.state.Instances.Deregister(s.clock(), id)
	s.announceInstance(host, changed)
	s.mu.Unlock()
	return nil, s.awaitMajorityAck(ctx, id)
}

// announceInstance makes news of a host that beats here and has changed. One that leaves is told of once more where this process only knows
// by another's word that it does: that one may be cut off, and have told nobody else. The caller holds the lock.
func (s *Server) announceInstance(host instance.Instance, changed bool) {
	_, waiting := s.leavingHosts[host.ID]
	isLeaving := host.State != instance.Ready
	if !changed && (!isLeaving || waiting || s.leftHosts[host.ID]) {
		return
	}
	s.state.PublishInstance(host, true)
	if isLeaving {
		s.leavingHosts[host.ID] = s.state.Updates.Last()
		delete(s.leftHosts, host.ID)
	}
	s.notifySubscribers()
}

// leaveAckTimeout is for how long a host that leaves waits for its answer at the most: it goes on to the next process after a second.
const leaveAckTimeout = 700 * time.Millisecond

// awaitMajorityAck waits until more than half of the members, this process among them, have taken what was told here of a host that
// leaves: it ends on the answer, so routers that hang on any of them must hear of it. A process that was cut off a moment ago
// doesn't know that yet, and so answers nothing. What is told of other hosts waits for nobody.
func (s *Server) awaitMajorityAck(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, leaveAckTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		update, waiting := s.leavingHosts[id]
		if waiting && s.majorityAcked(update) {
			delete(s.leavingHosts, id)
			s.leftHosts[id], waiting = true, false
		}
		acks := s.acked
		s.mu.Unlock()
		if !waiting {
			return nil
		}
		select {
		case <-acks:
		case <-ctx.Done():
			return apierror.Wrap(apierror.Unavailable, ctx.Err(), "of: %s leaves, and more than half of the core haven't heard of it yet", id)
		}
	}
}

// majorityAcked tells whether more than half of the members have acknowledged the news up to a number; the caller holds the lock.
func (s *Server) majorityAcked(update uint64) bool {
	list, acks := s.state.Node.Membership(), map[string]string{s.Settings.IP: s.state.Self.ID}
	for sub := range s.subscribers {
		if sub.identity.Control && sub.acked >= update {
			acks[sub.identity.IP] = sub.identity.ID
		}
	}
	return list.HasQuorum(acks)
}
