package proxy

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
)

// startServers begins to serve clients and the platform's checks.
func (p *Proxy) startServers(front, readiness net.Listener) {
	r := chi.NewRouter()
	r.Get("/-/readiness", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		if !p.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	checks := &http.Server{Handler: r, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: discardLog}
	go checks.Serve(readiness)
	go p.serveClients(front)
	go func() {
		<-p.ctx.Done()
		checks.Close()
		front.Close()
		p.server.Load().Close()
	}()
}

var discardLog = stdlog.New(io.Discard, "", 0) // what clients send wrong is counted, not logged

// serveClients serves clients. The server is made before any limits have come; caller replaces its bounds by those in force.
func (p *Proxy) serveClients(l net.Listener) {
	limits := p.snapshot.Load().routing.Limits
	s := &http.Server{Handler: p, ReadHeaderTimeout: time.Duration(limits.HeaderTimeout), IdleTimeout: time.Duration(limits.IdleTimeout),
		MaxHeaderBytes: config.HeaderMost, ErrorLog: discardLog, ConnState: p.connStateChanged, ConnContext: withClientConn,
		DisableGeneralOptionsHandler: true} // which would answer beside ServeHTTP, so that nobody takes the request's framing
	p.server.Store(s)
	p.front.Store(&l)
	defer close(p.accepted)
	s.Serve(&limitedListener{l, p.connections, &p.counters.cuts, func() config.Limits { return p.snapshot.Load().routing.Limits }})
}

// connStateChanged follows a client's connection, as the library tells of it.
func (p *Proxy) connStateChanged(c net.Conn, s http.ConnState) {
	v, ok := c.(*clientConn)
	if !ok {
		return
	}
	p.unfinished.Add(v.unfinished(s))
	switch s {
	case http.StateActive:
		v.slot.SetState(connlimit.StateActive)
	case http.StateIdle:
		v.markIdle()
		v.slot.SetState(connlimit.StateIdle)
	}
}
