package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/control/operation"
	"portflow/internal/control/rpc"
	"portflow/internal/control/snapshot"
)

const (
	maxSmallBody = 4 << 10
	maxLargeBody = 8 << 20 // of a configuration: some ten thousand routes
	// callers go on to the next process after a second of silence
	callTimeout = 850 * time.Millisecond
)

// calls are those of hosts and operators, each beside its handler.
func (s *Server) calls() []rpc.Call {
	return []rpc.Call{
		{Name: "instances.heartbeat", MaxBody: maxSmallBody, Handle: s.handleHeartbeat},
		{Name: "instances.leave", MaxBody: maxSmallBody, Handle: s.handleLeave},
		{Name: "configuration.modify", MaxBody: maxLargeBody, Handle: s.handleModify},
		{Name: "configuration.read", MaxBody: maxSmallBody, Handle: s.handleRead},
		{Name: "evacuation.begin", MaxBody: maxSmallBody, Handle: func(ctx context.Context, zone string, _ []byte) (any, error) {
			return s.setEvacuation(ctx, zone, true)
		}},
		{Name: "evacuation.finish", MaxBody: maxSmallBody, Handle: func(ctx context.Context, zone string, _ []byte) (any, error) {
			return s.setEvacuation(ctx, zone, false)
		}},
		{Name: "rollouts.begin", MaxBody: maxSmallBody, Handle: s.handleRolloutBegin},
		{Name: "rollouts.read", MaxBody: maxSmallBody, Handle: s.handleRolloutRead},
		{Name: "harbour.read", MaxBody: maxSmallBody, Handle: s.handleClusterRead},
		{Name: snapshot.SnapshotCall, MaxBody: maxSmallBody, Handle: s.handleSnapshot},
		{Name: snapshot.RestoreCall, MaxBody: maxLargeBody, Handle: s.handleRestore},
	}
}

// listen opens the ports that this process serves; what it returns begins to serve them.
func (s *Server) listen() (func(), error) {
	s.rpc = rpc.New(append(s.calls(), s.membershipCalls()...)...)
	router := chi.NewRouter()
	s.rpc.Mount(router)
	router.Get("/-/resolution", s.handleResolve)
	s.httpServer = &http.Server{Handler: router, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 16 << 10}
	var listeners []net.Listener
	for _, name := range []string{"control", "directory"} {
		address := s.Settings.ListenAddresses[name]
		if !slices.Contains(s.Settings.Serves, name) {
			continue
		}
		listener, err := s.Network.Listen(address)
		if err != nil {
			return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
		}
		listeners = append(listeners, listener)
	}
	return func() {
		for _, listener := range listeners {
			go s.httpServer.Serve(listener)
		}
	}, nil
}

// handleResolve answers clients that ask where to go.
func (s *Server) handleResolve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var addresses []string
	if s.checkReady() == nil { // else what it knows of routers is old
		addresses = s.state.Addresses(query.Get("zone-name"), query.Get("region-name"), s.Settings.ZoneRegions)
	}
	s.mu.Unlock()
	if len(addresses) == 0 {
		resp := apierror.Unavailable.Response()
		w.Header().Set("Retry-After", apierror.RetryAfter(resp.RetryAfter))
		rpc.WriteJSON(w, resp.Status, map[string]string{"error": resp.Name, "reason": "no router is ready"})
		return
	}
	rpc.WriteJSON(w, http.StatusOK, map[string]any{"addresses": addresses, "lifetime-s": min(2, float64(s.Settings.Terms.Lifetime)/1e9)})
}

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

// handleModify takes a configuration, as a whole or not at all.
func (s *Server) handleModify(ctx context.Context, _ string, body []byte) (any, error) {
	items, err := config.ParseChange(body)
	if err != nil {
		return nil, err
	}
	if err := s.submit(ctx, operation.Operation{Kind: operation.ModifyConfig, Items: items}); err != nil {
		return nil, err
	}
	return map[string]any{}, nil
}

// handleRead tells all items that stand, as they did when the call came or later.
func (s *Server) handleRead(ctx context.Context, _ string, _ []byte) (any, error) {
	if err := s.confirmLatest(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := s.state.Set.EncodeChange()
	return json.RawMessage(raw), err
}

// setEvacuation begins or withdraws the evacuation of a zone.
func (s *Server) setEvacuation(ctx context.Context, zone string, begun bool) (any, error) {
	if _, ok := s.Settings.ZoneRegions[zone]; !ok {
		return nil, apierror.New(apierror.NotFound, "of: no zone %q", zone)
	}
	return nil, s.submit(ctx, operation.Operation{Kind: operation.Evacuate, Name: zone, Active: begun})
}
