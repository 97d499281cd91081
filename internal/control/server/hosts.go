package server

import (
	"context"
	"net"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/control/operation"
	"portflow/internal/control/rpc"
)

const maxHostIDBytes = 256

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
	if leaving { // rare; other heartbeats need neither a timer nor an operation
		if err := s.confirmDeparture(ctx, id); err != nil {
			return nil, err
		}
	}
	if redirect != "" {
		return map[string]string{"heartbeat-address": redirect}, nil
	}
	return map[string]string{}, nil
}

// acceptHeartbeat updates a host and publishes it if it has changed. It returns the address for the next heartbeat, empty for this
// process, and whether the host is leaving and its departure is not confirmed yet. Without a quorum it returns an error, since nobody would
// receive the updates of this process; the host then moves on to another one.
func (s *Server) acceptHeartbeat(now int64, heartbeat instance.Instance) (redirect string, leaving bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkReady(); err != nil {
		return "", false, err
	}
	host, changed := s.state.Heartbeat(now, heartbeat)
	s.announceInstance(host, changed)
	s.proposeInitialVersion(host)
	if heartbeat.State == instance.Ready && host.State != instance.Ready {
		klog.InfoS("late heartbeat", "host", host.ID, "state", host.State, "sequence", heartbeat.Sequence)
	}
	leaving = s.departures.isPending(host.ID) || host.State != instance.Ready && !s.state.HasDeparted(host.ID)
	return s.controlForZone(host.Zone), leaving, nil
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

// handleLeave deregisters a host. It answers once its departure is confirmed.
func (s *Server) handleLeave(ctx context.Context, id string, _ []byte) (any, error) {
	if err := checkHostID(id); err != nil {
		return nil, err
	}
	if err := s.deregister(id); err != nil {
		return nil, err
	}
	return nil, s.confirmDeparture(ctx, id)
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
