package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
	"portflow/internal/control/rpc"
	"portflow/internal/control/snapshot"
)

const (
	maxSmallBody = 4 << 10 // bytes
	maxLargeBody = 8 << 20 // bytes; a configuration with about ten thousand routes

	// callTimeout is short because callers move on to the next control process after one second without an answer.
	callTimeout = 850 * time.Millisecond

	headerTimeout  = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10

	maxDirectoryLifetime = 2.0 // seconds for which clients may use the addresses in an answer
)

// clientCalls returns the calls of hosts and operators, except those in membershipCalls.
func (s *Server) clientCalls() []rpc.Call {
	return []rpc.Call{
		{Name: "instances.heartbeat", MaxBody: maxSmallBody, Handle: s.handleHeartbeat},
		{Name: "instances.leave", MaxBody: maxSmallBody, Handle: s.handleLeave},
		{Name: "configuration.modify", MaxBody: maxLargeBody, Handle: s.handleModify},
		{Name: "configuration.read", MaxBody: maxSmallBody, Handle: s.handleRead},
		{Name: "evacuation.begin", MaxBody: maxSmallBody, Handle: s.handleEvacuationBegin},
		{Name: "evacuation.finish", MaxBody: maxSmallBody, Handle: s.handleEvacuationFinish},
		{Name: "rollouts.begin", MaxBody: maxSmallBody, Handle: s.handleRolloutBegin},
		{Name: "rollouts.read", MaxBody: maxSmallBody, Handle: s.handleRolloutRead},
		{Name: "harbour.read", MaxBody: maxSmallBody, Handle: s.handleClusterRead},
		{Name: snapshot.SnapshotCall, MaxBody: maxSmallBody, Handle: s.handleSnapshot},
		{Name: snapshot.RestoreCall, MaxBody: maxLargeBody, Handle: s.handleRestore},
	}
}

// listen opens the HTTP ports of this process. The returned function starts to serve them; closeOnDone stops that.
func (s *Server) listen() (serve func(), err error) {
	s.rpc = rpc.New(append(s.clientCalls(), s.membershipCalls()...)...)
	router := chi.NewRouter()
	s.rpc.Mount(router)
	router.Get("/-/resolution", s.handleResolve)
	s.httpServer = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	var listeners []net.Listener
	for _, name := range []string{"control", "directory"} {
		if !slices.Contains(s.Settings.Serves, name) {
			continue
		}
		listener, err := s.Network.Listen(s.Settings.ListenAddresses[name])
		if err != nil {
			return nil, fmt.Errorf("network.listen-addresses.%s: %w", name, err)
		}
		listeners = append(listeners, listener)
	}
	return func() {
		for _, listener := range listeners {
			go s.serveHTTP(listener)
		}
	}, nil
}

// serveHTTP serves one port until closeOnDone closes the HTTP server.
func (s *Server) serveHTTP(listener net.Listener) {
	if err := s.httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) && s.ctx.Err() == nil {
		klog.ErrorS(err, "http server", "address", listener.Addr())
	}
}

// handleResolve answers clients that resolve the addresses of proxies.
func (s *Server) handleResolve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	addresses := s.proxyAddresses(query.Get("zone-name"), query.Get("region-name"))
	if len(addresses) == 0 {
		resp := apierror.Unavailable.Response()
		w.Header().Set("Retry-After", apierror.RetryAfter(resp.RetryAfter))
		rpc.WriteJSON(w, resp.Status, map[string]string{"error": resp.Name, "reason": "no proxy is ready"})
		return
	}
	lifetime := min(maxDirectoryLifetime, float64(s.Settings.Terms.Lifetime)/1e9)
	rpc.WriteJSON(w, http.StatusOK, map[string]any{"addresses": addresses, "lifetime-s": lifetime})
}

// proxyAddresses returns the addresses of the nearest ready proxies, or none while this process isn't ready, because its state may be
// outdated.
func (s *Server) proxyAddresses(zone, region string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkReady() != nil {
		return nil
	}
	return s.state.Addresses(zone, region, s.Settings.ZoneRegions)
}

// handleModify applies a configuration change atomically.
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

// handleRead returns all items of the configuration. A quorum read ensures that they are no older than the call.
func (s *Server) handleRead(ctx context.Context, _ string, _ []byte) (any, error) {
	if err := s.confirmLatest(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := s.state.Set.EncodeChange()
	return json.RawMessage(raw), err
}

func (s *Server) handleEvacuationBegin(ctx context.Context, zone string, _ []byte) (any, error) {
	return nil, s.setEvacuation(ctx, zone, true)
}

func (s *Server) handleEvacuationFinish(ctx context.Context, zone string, _ []byte) (any, error) {
	return nil, s.setEvacuation(ctx, zone, false)
}

// setEvacuation starts or ends the evacuation of a zone.
func (s *Server) setEvacuation(ctx context.Context, zone string, active bool) error {
	if _, ok := s.Settings.ZoneRegions[zone]; !ok {
		return apierror.New(apierror.NotFound, "of: unknown zone %q", zone)
	}
	return s.submit(ctx, operation.Operation{Kind: operation.Evacuate, Name: zone, Active: active})
}
