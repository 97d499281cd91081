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
