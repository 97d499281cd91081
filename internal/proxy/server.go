package proxy

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
)

const (
	readinessHeaderTimeout = 2 * time.Second
	readinessIdleTimeout   = 30 * time.Second
)

var discardLog = stdlog.New(io.Discard, "", 0) // invalid input from clients is counted, not logged

// startServers starts to serve clients and the platform's readiness checks. Its goroutines end at the latest when the proxy's context is done.
func (p *Proxy) startServers(front, readiness net.Listener) {
	readinessServer := p.newReadinessServer()
	server := p.newClientServer()
	p.server.Store(server) // before any goroutine, and Drain, needs them
	p.front.Store(&front)
	go func() { logServeError("readiness", readinessServer.Serve(readiness)) }()
	go p.serveClients(server, front)
	go func() {
		<-p.ctx.Done()
		readinessServer.Close()
		front.Close()
		server.Close()
	}()
}

// logServeError logs why a server ended. The error is http.ErrServerClosed or net.ErrClosed if it was closed.
func logServeError(name string, err error) {
	klog.V(1).InfoS("server ended", "server", name, "why", err)
}

// newReadinessServer returns the server that answers the platform's readiness checks.
func (p *Proxy) newReadinessServer() *http.Server {
	router := chi.NewRouter()
	router.Get("/-/readiness", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		if !p.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: readinessHeaderTimeout,
		IdleTimeout:       readinessIdleTimeout,
		ErrorLog:          discardLog,
	}
}

// newClientServer returns the server for clients. It is created before the configured limits are received; clientConn replaces its timeouts
// with the current limits.
func (p *Proxy) newClientServer() *http.Server {
	limits := p.snapshot.Load().routing.Limits
	return &http.Server{
		Handler:                      p,
		ReadHeaderTimeout:            time.Duration(limits.HeaderTimeout),
		IdleTimeout:                  time.Duration(limits.IdleTimeout),
		MaxHeaderBytes:               config.MaxHeaderBytesLimit,
		ErrorLog:                     discardLog,
		ConnState:                    p.connStateChanged,
		ConnContext:                  withClientConn,
		DisableGeneralOptionsHandler: true, // net/http would answer OPTIONS * without ServeHTTP, which must consume the framing of each request
	}
}

// serveClients serves clients until the listener is closed.
func (p *Proxy) serveClients(server *http.Server, l net.Listener) {
	defer close(p.acceptDone)
	logServeError("front", server.Serve(&limitedListener{
		Listener: l,
		limiter:  p.connections,
		cuts:     &p.counters.cuts,
		limits:   func() config.Limits { return p.snapshot.Load().routing.Limits },
	}))
}

// connStateChanged is the http.Server.ConnState hook. It updates the count of unfinished connections and the slot of the connection.
func (p *Proxy) connStateChanged(c net.Conn, state http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	p.unfinished.Add(conn.unfinished(state))
	switch state {
	case http.StateActive:
		conn.slot.SetState(connlimit.StateActive)
	case http.StateIdle:
		conn.markIdle()
		conn.slot.SetState(connlimit.StateIdle)
	}
}
