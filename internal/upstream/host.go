package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/connlimit"
)

// maxDials bounds the concurrent dials to one host. Without a bound, a burst would dial a connection for each attempt,
// although connections that become idle can serve most of them, and each dial costs work on both sides; with a very low one,
// the attempts of a burst would wait for a slow host to accept connections one after another.
const maxDials = 8

// maxPreconnected bounds the connections per host that Preconnect opens: about as many as a router has in use at once if there
// are few routers, so that the first concurrent requests need not wait for dials.
const maxPreconnected = 3

// attemptKey is a context key. The transport passes the values of a request's context to dial. There the key's value is
// another context, which is canceled once the attempt needs no connection; in that context, the value is the *attempt.
type attemptKey struct{}

// host is the state of one address in the pool.
type host struct {
	pool         *Pool
	address      string
	transport    *http.Transport
	dials        chan struct{} // semaphore: one token for each dial in progress
	preconnected chan *conn    // opened by Preconnect and not used yet
	forgotten    atomic.Bool   // connections are closed when they become idle
}

// forget closes the host's idle connections, and each other one when it becomes idle. It does not block.
func (h *host) forget() {
	h.forgotten.Store(true)
	go h.closeIdle() // ends once the idle connections are closed
}

func (h *host) closeIdle() {
	for c := h.takePreconnected(); c != nil; c = h.takePreconnected() {
		c.discard()
	}
	h.transport.CloseIdleConnections()
}

// release makes the connection of an attempt that has ended evictable, and closes it if the host was forgotten.
func (h *host) release(a *attempt) {
	if c := a.conn.Load(); c != nil {
		c.markIdle(a)
	}
	if h.forgotten.Load() {
		h.closeIdle()
	}
}

// dial is the transport's DialContext. The transport starts a dial for each attempt that finds no idle connection, and
// gives the attempt whichever connection is available first. A dial that has to wait for maxDials or for a slot is
// dropped once its attempt no longer needs it.
func (h *host) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := h.takePreconnected(); c != nil {
		return c, nil
	}
	connCtx := ctx.Value(attemptKey{}).(context.Context)
	a := connCtx.Value(attemptKey{}).(*attempt)
	select {
	case h.dials <- struct{}{}:
	case <-connCtx.Done():
		return nil, errCanceledUnsent
	}
	defer func() { <-h.dials }()
	slot := h.pool.limiter.Acquire(connCtx.Done())
	if slot == nil {
		return nil, errConnLimit
	}
	a.dialed.Store(true)
	c, err := h.connect(ctx, slot)
	if err != nil {
		return nil, err // not c: a nil *conn would become a non-nil net.Conn
	}
	return c, nil
}

// connect opens a connection and attaches it to the slot. It releases the slot on an error.
func (h *host) connect(ctx context.Context, slot *connlimit.Slot) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.pool.ConnectTimeout)
	defer cancel()
	raw, err := h.pool.Dial(ctx, "tcp", h.address)
	if err != nil {
		slot.Release()
		return nil, err
	}
	c, err := newConn(raw, slot, h.pool.Observe, h.address)
	if err != nil {
		raw.Close()
		slot.Release()
		return nil, err
	}
	slot.Attach(connlimit.StateIdle, c.discard)
	return c, nil
}

// takePreconnected returns a preconnected connection that the host is unlikely to have closed for idleness, or nil if
// there is none. It closes the older ones.
func (h *host) takePreconnected() *conn {
	for {
		select {
		case c := <-h.preconnected:
			if time.Since(c.openedAt) < h.pool.IdleTimeout/2 {
				return c
			}
			c.discard()
		default:
			return nil
		}
	}
}

// Preconnect opens up to maxConns connections to hosts before there are requests for them: one to each host before a
// second one to any. Only the first one per host may be opened while more than half of MaxConns are in use. Preconnect
// returns once all dials have succeeded or failed.
func (p *Pool) Preconnect(addresses []string, maxConns int) {
	var dials sync.WaitGroup
	for round := range maxPreconnected {
		for _, address := range addresses {
			if maxConns <= 0 || round > 0 && p.limiter.Len() > p.MaxConns/2 {
				break
			}
			maxConns--
			h := p.host(address)
			slot := p.limiter.TryAcquire()
			if slot == nil {
				break
			}
			dials.Go(func() { h.preconnect(slot) })
		}
	}
	dials.Wait()
}

// preconnect opens one connection. Errors are ignored, as the first attempt would report them.
func (h *host) preconnect(slot *connlimit.Slot) {
	if c, err := h.connect(context.Background(), slot); err == nil {
		h.preconnected <- c
	}
}
