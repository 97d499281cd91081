// Package upstream hands commands off to hosts over HTTP. One call is one hand-off: nothing is sent again.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/connlimit"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

const largest = 16 << 10 // a head's bytes; good ones have some hundred

// Options say what a Pool may do.
type Options struct {
	Protocol  Protocol      // what is said on a connection
	ConnectIn time.Duration // a hand-off that has no connection by then never gets one
	RestIn    time.Duration // and no more than this between its answer's first byte and the end, 0 for any
	IdleIn    time.Duration // hosts close connections that stand idle for so long
	Most      int           // connections at once
	Dial      Dial          // opens a connection, nil for the machine's own TCP
	Watch     Watch         // counts what passes on a connection, nil for nothing
	Panicked  func(v any, stack []byte)
}

// Protocol is what hosts are sent and what they answer; the pool knows only connections, and how far a hand-off came.
type Protocol interface {
	// Request is the request to a host that has so long. A body that http.Transport could have anew would be sent again
	// by it without anybody's asking.
	Request(to dispatch.Host, r *dispatch.Request, left time.Duration) *http.Request
	// Answer reads the answer whole; an error says that what came is none.
	Answer(r *dispatch.Request, resp *http.Response) (dispatch.Outcome, error)
}

// Renewer is a Protocol whose requests state how long the host has: one that waited for its connection has less by then.
type Renewer interface {
	Renew(r *http.Request, left time.Duration)
}

// Track follows what is written of a request. Where a request's Cargo is one, no byte of it goes without its leave.
type Track interface {
	// Spent tells whether the request was written on this connection before: a second answer to that may still come on it.
	Spent(conn any) bool
	// Write is asked before the first byte goes on a connection, at most once a hand-off.
	Write(conn any) bool
	// Wrote tells that a write took so many bytes.
	Wrote(n int, err error)
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Watch is told of a new connection to a host; what it returns is told what passes on it.
type Watch func(to string, local, remote net.Addr) Counter

// Counter counts what passes on one connection.
type Counter interface {
	In(n int)
	Out(n int)
	Sent(to dispatch.Host, r *dispatch.Request) // a hand-off has the connection from now on
	Closed()
}

type uncounted struct{}

func (uncounted) In(int)                                {}
func (uncounted) Out(int)                               {}
func (uncounted) Sent(dispatch.Host, *dispatch.Request) {}
func (uncounted) Closed()                               {}

// Pool holds the connections to all hosts.
type Pool struct {
	Options
	room  *connlimit.Room
	work  chan func() // for goroutines that are idle
	over  chan struct{}
	idle  atomic.Int32
	mu    sync.Mutex
	hosts map[string]*host // by address, so that one host's connections can be closed
}

// New makes an empty pool.
func New(o Options) *Pool {
	p := &Pool{Options: o, room: connlimit.New(o.Most, o.Most), work: make(chan func()), over: make(chan struct{}), hosts: map[string]*host{}}
	if p.Dial == nil {
		dialer := net.Dialer{KeepAlive: -1} // silent hosts are found by hand-offs' time-outs
		dialer.SetMultipathTCP(false)
		p.Dial = dialer.DialContext
	}
	if p.Watch == nil {
		p.Watch = func(string, net.Addr, net.Addr) Counter { return uncounted{} }
	}
	if p.Panicked == nil {
		p.Panicked = func(any, []byte) {}
	}
	return p
}

func (p *Pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{pool: p, address: address, coming: make(chan struct{}, dialling), ahead: make(chan *conn, ahead)}
		h.transport = &http.Transport{DialContext: h.dial, DisableCompression: true, MaxIdleConnsPerHost: p.Most,
			IdleConnTimeout: p.IdleIn * 3 / 4, MaxResponseHeaderBytes: largest}
		p.hosts[address] = h
	}
	return h
}

// Close closes the idle connections to an address.
func (p *Pool) Close(address string) {
	p.mu.Lock()
	h := p.hosts[address]
	p.mu.Unlock()
	if h != nil {
		go h.closeIdle()
	}
}

// Forget lets an address go: what is out ends by itself, and what is handed off there later goes to another host.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	h := p.hosts[address]
	delete(p.hosts, address)
	p.mu.Unlock()
	if h != nil {
		h.gone.Store(true)
		go h.closeIdle()
	}
}

// End closes all idle connections; what is out ends by itself. The pool is not used after it.
func (p *Pool) End() {
	close(p.over)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		delete(p.hosts, address)
		h.gone.Store(true)
		go h.closeIdle()
	}
}

func (h *host) closeIdle() {
	for c := h.take(); c != nil; c = h.take() {
		c.Close()
	}
	h.transport.CloseIdleConnections()
}

// How a hand-off stands: it moves on from waiting once, by what comes first.
const (
	waiting int32 = iota
	writing
	revoked
)

var (
	errRecalled = errors.New("recalled")
	errTime     = errors.New("time is up")
	errConnect  = errors.New("no connection in time")
	errRest     = errors.New("the rest of the answer has not come in time")
)

type handOff struct {
	cancel  context.CancelCauseFunc
	track   Track // nil for none
	began   time.Time
	soon    *time.Timer // until it must have a connection, and then the rest of its answer
	stands  atomic.Int32
	begun   atomic.Bool          // its answer
	dialled atomic.Bool          // a connection was asked for
	conn    atomic.Pointer[conn] // that it has, or had
	reused  atomic.Bool          // another hand-off had that before
	written atomic.Pointer[conn] // that its bytes went to

	request *http.Request     // while it is tried: the transport keeps traces for as long as it likes, and a long body must not be in them
	asked   *dispatch.Request // the same
}

// mayWrite settles that the hand-off is sent on this connection, unless it was ended or sent on another before.
func (h *handOff) mayWrite(c *conn) bool {
	if h.stands.CompareAndSwap(waiting, writing) {
		if h.track != nil && !h.track.Write(c) {
			return false // nor on any other, as it stands so now
		}
		h.written.Store(c)
	}
	return h.written.Load() == c
}

// spentOn tells whether an earlier hand-off of the same request was written on this connection.
func (h *handOff) spentOn(c *conn) bool {
	return h.track != nil && h.written.Load() != c && h.track.Spent(c)
}

// Revoke ends the hand-off if nothing of it has been written.
func (h *handOff) Revoke() { h.end(errRecalled) }

func (h *handOff) end(why error) {
	if h.stands.CompareAndSwap(waiting, revoked) {
		h.cancel(why)
	}
}

// Recall ends the hand-off.
func (h *handOff) Recall() {
	h.end(errRecalled)
	h.cancel(errRecalled)
}

// HandOff starts one; done is called with its outcome, once its connection is free again or closed.
func (p *Pool) HandOff(to dispatch.Host, r *dispatch.Request, left time.Duration, done func(dispatch.Outcome)) dispatch.HandOff {
	ctx, cancel := context.WithCancelCause(context.Background())
	h := &handOff{cancel: cancel, began: time.Now()}
	h.track, _ = r.Cargo.(Track)
	p.do(func() {
		defer cancel(nil)
		var o dispatch.Outcome
		defer func() {
			if v := recover(); v != nil {
				p.Panicked(v, debug.Stack())
				o = dispatch.Outcome{Ending: decision.Reset}
			}
			done(o)
		}()
		h.soon = time.AfterFunc(p.ConnectIn, func() {
			if h.begun.Load() {
				cancel(errRest)
			}
			h.end(errConnect)
		})
		defer h.soon.Stop()
		over := time.AfterFunc(left, func() { cancel(errTime) })
		defer over.Stop()
		o = p.send(ctx, h, to, r, left)
	})
	return h
}

// kept is how many goroutines that are idle wait for further hand-offs: about as many as are out on a usual day.
const kept = 32

// do runs f beside its caller, on a goroutine that is idle if there is one: a new one must first grow its stack.
func (p *Pool) do(f func()) {
	select {
	case p.work <- f:
	default:
		go func(f func()) {
			for {
				f()
				f = nil // what it has to do with, as a long body, isn't held while idle
				if p.idle.Add(1) > kept {
					p.idle.Add(-1)
					return
				}
				select {
				case f = <-p.work:
				case <-p.over:
					return
				}
				p.idle.Add(-1)
			}
		}(f)
	}
}

// send hands off on a connection that turns out to be fit for it. One that was open before, or that another hand-off had
// meanwhile, and of which nothing could be used leaves the hand-off as it was: it goes on to another.
func (p *Pool) send(ctx context.Context, h *handOff, to dispatch.Host, r *dispatch.Request, left time.Duration) dispatch.Outcome {
	for {
		h.conn.Store(nil)
		o := p.try(ctx, h, to, r, left)
		c := h.conn.Load()
		if c == nil || h.stands.Load() == writing {
			return o
		}
		c.Close() // an answer that came before its command was another's
		if ctx.Err() != nil || c.opened.After(h.began) && !h.reused.Load() {
			return dispatch.Outcome{Ending: h.broken(ctx, errSpent)}
		}
	}
}

func (p *Pool) try(ctx context.Context, h *handOff, host dispatch.Host, r *dispatch.Request, left time.Duration) dispatch.Outcome {
	h.request, h.asked = p.Protocol.Request(host, r, left), r
	defer func() { h.request, h.asked = nil, nil }()
	wants, has := context.WithCancel(context.WithValue(ctx, key{}, h)) // until it has a connection
	defer has()
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c := i.Conn.(*conn)
			c.place.Set(connlimit.Busy)
			c.flow.Sent(host, h.asked)
			h.reused.Store(c.handOff.Swap(h) != nil)
			h.conn.Store(c)
			if late, ok := p.Protocol.(Renewer); ok {
				late.Renew(h.request, left-time.Since(h.began))
			}
			has()
		},
		// hosts write an answer at once: one that takes longer than a connection to come up never ends
		GotFirstResponseByte: func() {
			if p.RestIn > 0 {
				h.soon.Reset(p.RestIn)
			} else {
				h.soon.Stop()
			}
			h.begun.Store(true)
		},
	}
	to := p.host(host.Address)
	defer func() {
		if c := h.conn.Load(); c != nil {
			c.rest(h)
		}
		if to.gone.Load() {
			to.closeIdle()
		}
	}()
	ctx = httptrace.WithClientTrace(context.WithValue(ctx, key{}, wants), trace)
	resp, err := to.transport.RoundTrip(h.request.WithContext(ctx))
	if err != nil {
		return dispatch.Outcome{Ending: h.broken(ctx, err)}
	}
	defer resp.Body.Close()
	o, err := p.Protocol.Answer(r, resp)
	if err != nil {
		if c := h.conn.Load(); c != nil { // what else comes on it belongs to no request
			c.Close()
		}
		return dispatch.Outcome{Ending: h.broken(ctx, err)}
	}
	return o
}

// broken is the outcome of a hand-off that got no whole answer.
func (h *handOff) broken(ctx context.Context, err error) decision.Ending {
	e := &Error{Reach: NotConnected, Why: err}
	switch {
	case h.begun.Load():
		e.Reach = Answering
	case h.stands.Load() == writing: // the last byte may just have gone out, whatever the transport has told yet
		e.Reach = Written
	case h.conn.Load() != nil:
		e.Reach = NotWritten
	}
	switch cause := context.Cause(ctx); {
	case cause == errConnect && !h.dialled.Load():
		return decision.Unsent // this router's own want of connections is no sign of the host's
	case cause == nil || cause == errConnect || cause == errRest:
		return e.ending()
	case e.Reach < Written && cause == errTime:
		return decision.NoConnect
	case e.Reach < Written:
		return decision.Unsent
	case cause == errTime:
		return decision.TimedOut
	}
	return decision.Recalled
}
