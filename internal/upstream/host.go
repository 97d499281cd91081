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

// maxDials is how many connections to one host may be dialed at once. A burst that finds none idle would otherwise dial
// one for each attempt, though the connections that become free first serve the rest; each costs both sides work. With
// one or two, bursts waited for connections that came up one after another at a host that was slow already.
const maxDials = 8

// maxPreconnected is how many connections to a host a router opens at most before it takes requests: about as many as few
// routers have in use at once, as the first requests would otherwise wait together for as many to be dialed.
const maxPreconnected = 3

// attemptKey is the key of a context's values. In the context of a dial it is the context that ends when the attempt needs
// no connection any more; in that one it is the *attempt.
type attemptKey struct{}

// host is what the pool has for one address.
type host struct {
	pool         *Pool
	address      string
	transport    *http.Transport
	dials        chan struct{} // holds one token for each dial in progress
	preconnected chan *conn    // opened before there was an attempt for them
	forgotten    atomic.Bool   // no connection stays idle any more
}

// forget makes the host one whose connections are closed as they become idle. It does not block.
func (h *host) forget() {
	h.forgotten.Store(true)
	go h.closeIdle() // ends once they are closed
}

func (h *host) closeIdle() {
	for c := h.takePreconnected(); c != nil; c = h.takePreconnected() {
		c.discard()
	}
	h.transport.CloseIdleConnections()
}

// release gives back the connection of an attempt that is over.
func (h *host) release(a *attempt) {
	if c := a.conn.Load(); c != nil {
		c.markIdle(a)
	}
	if h.forgotten.Load() {
		h.closeIdle()
	}
}

// dial is the transport's DialContext. The transport dials as soon as no connection is idle, and gives the attempt the
// first connection that is; a dial that is not needed any more by the time that it may begin is not begun.
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
		return nil, err // and not a *conn that is nil as a net.Conn that is not
	}
	return c, nil
}

// connect opens a connection in a slot, which it releases on an error.
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

// takePreconnected returns a connection that was opened ahead and is not too old, nil if there is none.
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

// Preconnect opens up to maxConns connections to hosts ahead of requests: one to each before the second to any, and those
// after the first within half of the pool's bound. It returns once they are open or have failed.
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

// preconnect opens one connection ahead. A failure tells nothing that the first attempt doesn't find out.
func (h *host) preconnect(slot *connlimit.Slot) {
	if c, err := h.connect(context.Background(), slot); err == nil {
		h.preconnected <- c
	}
}
