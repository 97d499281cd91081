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
	// leaveAckTimeout limits the wait of a leaving host, which moves on to the next control process after one second.
	leaveAckTimeout = 700 * time.Millisecond

	maxHostIDBytes = 256
)

func checkHostID(id string) error {
	if id == "" || len(id) > maxHostIDBytes {
		return apierror.New(apierror.Malformed, "of: the host ID must have 1 to 256 bytes")
	}
	return nil
}

// handleHeartbeat handles a host's heartbeat. The answer may redirect the host to another control process.
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
		return nil, apierror.Wrap(apierror.Malformed, err, "heartbeat of host %s", id)
	}
	redirect, leaving, err := s.acceptHeartbeat(now, host)
	if err != nil {
		return nil, err
	}
	if leaving { // rare; other heartbeats need no timer
		if err := s.awaitMajorityAck(ctx, id); err != nil {
			return nil, err
		}
	}
	if redirect != "" {
		return map[string]string{"heartbeat-address": redirect}, nil
	}
	return map[string]string{}, nil
}

// acceptHeartbeat updates a host and publishes it if it has changed. It returns the address for the next heartbeat, empty for this
// process, and whether the host's departure is pending. Without a quorum it returns an error, since nobody would receive the updates of
// this process; the host then moves on to another one.
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

// acceptsHeartbeats reports whether another control process accepts heartbeats according to its last status. A process that is catching
// up, has no quorum or is shutting down rejects them. A host redirected there would return through another process, and each move is
// published to all subscribers. The caller holds mu.
func (s *Server) acceptsHeartbeats(ip string) bool {
	peer, conn := s.state.Peers[ip], s.peers[ip]
	if peer == nil || conn == nil || conn.stream == nil {
		return false
	}
	return peer.Status.Complete && peer.Status.HasQuorum && !peer.Status.Leaving
}

// controlForZone returns the address of the control process to which the hosts of a zone should send heartbeats: the available member
// in that zone with the lowest IP address. It returns "" for this process. The caller holds mu.
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
	_, port, _ := net.SplitHostPort(s.Settings.ListenAddresses["control"]) // validated with the settings
	return net.JoinHostPort(lowest, port)
}

// proposeInitialVersion submits the version of a service's first host as the stable version of the service. The caller holds mu.
func (s *Server) proposeInitialVersion(host instance.Instance) {
	_, known := s.state.Set.Lookup(config.Key{Kind: config.KindStableVersions, Name: host.Service})
	if known || s.pendingVersions[host.Service] {
		return
	}
	s.pendingVersions[host.Service] = true
	go s.setInitialVersion(host.Service, host.Version)
}

// setInitialVersion submits a service's initial version. It runs in its own goroutine, which ends with the operation.
func (s *Server) setInitialVersion(service, version string) {
	op := operation.Operation{Kind: operation.SetInitialVersion, Name: service, Version: version}
	_ = s.submit(s.ctx, op) // after a failure, the next heartbeat submits it again
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingVersions, service)
}

// handleLeave deregisters a host. It answers once a majority of the members has acknowledged that.
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

// announceInstance publishes a host that sends heartbeats here if it has changed. A leaving host is published again if this process
// learned of its departure only from another control process, which may have been partitioned before it notified anyone else. The
// caller holds mu.
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

// awaitMajorityAck waits until a majority of the members, including this process, has acknowledged the departure of a host. The host
// terminates after the answer, so proxies subscribed to any of these members must learn of the departure first, and a process that does
// not know yet that it is partitioned must not answer. Other updates about hosts don't wait for acknowledgements.
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
			return apierror.Wrap(apierror.Unavailable, ctx.Err(), "of: the departure of %s has not been acknowledged by a majority of the voting members yet", id)
		}
	}
}

// resolveDeparture reports whether a host's departure is complete. If not, changed is closed when it should be called again.
func (s *Server) resolveDeparture(id string) (complete bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departures.resolve(id, s.majorityAcked), s.departures.changed
}

// majorityAcked reports whether a majority of the members, including this process, has acknowledged all updates up to number. The caller
// holds mu.
func (s *Server) majorityAcked(number uint64) bool {
	acks := map[string]string{s.Settings.IP: s.state.Self.ID}
	for sub := range s.subscriptions.subscribers {
		if sub.identity.Control && sub.acked >= number {
			acks[sub.identity.IP] = sub.identity.ID
		}
	}
	return s.state.Node.Membership().HasQuorum(acks)
}
