// Package upstream forwards requests to hosts over HTTP/1.1. One call of Forward is one attempt: the package never resends
// a request, and leaves retries to its caller. It manages the connections to hosts: it bounds their number, reuses a
// connection only if nothing has been received on it since the last response, and never writes an attempt that was
// canceled before its first byte.
//
// Start reading at Pool.Forward in attempt.go. The checks before a connection is written to are in conn.go.
package upstream

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"portflow/internal/connlimit"
)

// maxHeaderBytes bounds the header of a response; typical ones have a few hundred bytes.
const maxHeaderBytes = 16 << 10

// Pool manages the connections to all hosts. It is safe for concurrent use.
type Pool struct {
	Options
	limiter     *connlimit.Limiter
	jobs        chan func()   // unbuffered; received by idle workers
	stopped     chan struct{} // closed by Shutdown
	idleWorkers atomic.Int32

	mu    sync.Mutex       // guards hosts
	hosts map[string]*host // by address
}

// New returns a pool without connections. Shutdown ends its workers and closes its idle connections.
func New(options Options) *Pool {
	p := &Pool{
		Options: options,
		limiter: connlimit.New(options.MaxConns, options.MaxConns),
		jobs:    make(chan func()),
		stopped: make(chan struct{}),
		hosts:   map[string]*host{},
	}
	if p.Dial == nil {
		dialer := net.Dialer{KeepAlive: -1} // unresponsive hosts are detected by the timeouts of attempts
		dialer.SetMultipathTCP(false)
		p.Dial = dialer.DialContext
	}
	if p.Observe == nil {
		p.Observe = func(string, net.Addr, net.Addr) ConnCounter { return noCounter{} }
	}
	if p.OnPanic == nil {
		p.OnPanic = func(any, []byte) {}
	}
	return p
}

// host returns the state of an address, creating it if necessary.
func (p *Pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = newHost(p, address)
		p.hosts[address] = h
	}
	return h
}

func newHost(p *Pool, address string) *host {
	h := &host{
		pool:         p,
		address:      address,
		dials:        make(chan struct{}, maxDials),
		preconnected: make(chan *conn, maxPreconnected),
	}
	h.transport = &http.Transport{
		DialContext:            h.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    p.MaxConns,
		IdleConnTimeout:        p.IdleTimeout * 3 / 4, // close connections before the host does
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return h
}

// CloseIdle closes the idle connections to an address in the background. It does nothing for an unknown address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	h := p.hosts[address]
	p.mu.Unlock()
	if h != nil {
		go h.closeIdle() // ends once the idle connections are closed
	}
}

// Forget removes an address and closes its idle connections in the background. Attempts in flight continue. A later
// attempt at the same address starts with new connections.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	h := p.hosts[address]
	delete(p.hosts, address)
	p.mu.Unlock()
	if h != nil {
		h.forget()
	}
}

// Shutdown closes all idle connections in the background and ends the idle workers. Attempts in flight continue. It must
// be called at most once, and the pool must not be used afterwards.
func (p *Pool) Shutdown() {
	close(p.stopped)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		delete(p.hosts, address)
		h.forget()
	}
}
