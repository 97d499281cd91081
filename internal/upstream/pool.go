// Package upstream forwards requests to hosts over HTTP/1.1. One call of Forward is one attempt: nothing is sent again, and
// the package decides nothing about retries. It owns the connections to hosts: their number is bounded, a connection is
// used again only if nothing has come on it since the last answer, and a canceled attempt of which nothing has been
// written never is.
//
// Begin reading at Pool.Forward in attempt.go; conn.go has what a connection checks before it writes.
package upstream

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"portflow/internal/connlimit"
)

// maxHeaderBytes bounds the header of an answer; usual ones have some hundred bytes.
const maxHeaderBytes = 16 << 10

// Pool holds the connections to all hosts. It is safe for concurrent use.
type Pool struct {
	Options
	limiter     *connlimit.Limiter
	jobs        chan func() // for idle workers
	stopped     chan struct{}
	idleWorkers atomic.Int32

	mu    sync.Mutex       // guards hosts
	hosts map[string]*host // by address
}

// New makes an empty pool.
func New(options Options) *Pool {
	p := &Pool{
		Options: options,
		limiter: connlimit.New(options.MaxConns, options.MaxConns),
		jobs:    make(chan func()),
		stopped: make(chan struct{}),
		hosts:   map[string]*host{},
	}
	if p.Dial == nil {
		dialer := net.Dialer{KeepAlive: -1} // attempts' time-outs find hosts that have become silent
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

// host returns the entry of an address, which is made if there is none.
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
		IdleConnTimeout:        p.IdleTimeout * 3 / 4, // closed here before the host closes it
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return h
}

// CloseIdle closes the idle connections to an address. It does not block.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	h := p.hosts[address]
	p.mu.Unlock()
	if h != nil {
		go h.closeIdle() // ends once they are closed
	}
}

// Forget drops an address: attempts in flight end by themselves, and a later attempt at the same address is at another
// host. It does not block.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	h := p.hosts[address]
	delete(p.hosts, address)
	p.mu.Unlock()
	if h != nil {
		h.forget()
	}
}

// Shutdown closes all idle connections and ends the idle workers; attempts in flight end by themselves. The pool must not
// be used after it.
func (p *Pool) Shutdown() {
	close(p.stopped)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		delete(p.hosts, address)
		h.forget()
	}
}
