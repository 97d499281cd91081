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

const maxHeaderBytes = 16 << 10 // a head's bytes; good ones have some hundred

// Options say what a Pool may do.
type Options struct {
	Protocol       Protocol      // what is said on a connection
	ConnectTimeout time.Duration // a hand-off that has no connection by then never gets one
	ReadTimeout    time.Duration // and no more than this between its answer's first byte and the end, 0 for any
	IdleTimeout    time.Duration // hosts close connections that stand idle for so long
	MaxConns       int           // connections at once
	Dial           Dial          // opens a connection, nil for the machine's own TCP
	Observe        Observer      // counts what passes on a connection, nil for nothing
	OnPanic        func(v any, stack []byte)
}

// Protocol is what hosts are sent and what they answer; the pool knows only connections, and how far a hand-off came.
type Protocol interface {
	// NewRequest is the request to a host that has so long. A body that http.Transport could have anew would be sent again
	// by it without anybody's asking.
	NewRequest(to dispatch.Host, r *dispatch.Request, left time.Duration) *http.Request
	// ReadAnswer reads the answer whole; an error says that what came is none.
	ReadAnswer(r *dispatch.Request, resp *http.Response) (dispatch.Outcome, error)
}

// DeadlineRenewer is a Protocol whose requests state how long the host has: one that waited for its connection has less by then.
type DeadlineRenewer interface {
	RenewDeadline(r *http.Request, left time.Duration)
}

// WriteTracker follows what is written of a request. Where a request's Cargo is one, no byte of it goes without its leave.
type WriteTracker interface {
	// WrittenOn tells whether the request was written on this connection before: a second answer to that may still come on it.
	WrittenOn(conn any) bool
	// BeginWrite is asked before the first byte goes on a connection, at most once a hand-off.
	BeginWrite(conn any) bool
	// Wrote tells that a write took so many bytes.
	Wrote(n int, err error)
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Observer is told of a new connection to a host; what it returns is told what passes on it.
type Observer func(to string, local, remote net.Addr) ConnCounter

// ConnCounter counts what passes on one connection.
type ConnCounter interface {
	BytesRead(n int)
	BytesWritten(n int)
	AttemptStarted(to dispatch.Host, r *dispatch.Request) // a hand-off has the connection from now on
	Closed()
}

type noCounter struct{}

func (noCounter) BytesRead(int)                                   {}
func (noCounter) BytesWritten(int)                                {}
func (noCounter) AttemptStarted(dispatch.Host, *dispatch.Request) {}
func (noCounter) Closed()                                         {}

// Pool holds the connections to all hosts.
type Pool struct {
	Options
	limiter     *connlimit.Limiter
	jobs        chan func() // for goroutines that are idle
	stopped     chan struct{}
	idleWorkers atomic.Int32
	mu          sync.Mutex
	hosts       map[string]*host // by address, so that one host's connections can be closed
}

// New makes an empty pool.
func New(options Options) *Pool {
	p := &Pool{Options: options, limiter: connlimit.New(options.MaxConns, options.MaxConns), jobs: make(chan func()), stopped: make(chan struct{}), hosts: map[string]*host{}}
	if p.Dial == nil {
		dialer := net.Dialer{KeepAlive: -1} // silent hosts are found by hand-offs' time-outs
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

func (p *Pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{pool: p, address: address, dials: make(chan struct{}, maxDials), preconnected: make(chan *conn, maxPreconnected)}
		h.transport = &http.Transport{DialContext: h.dial, DisableCompression: true, MaxIdleConnsPerHost: p.MaxConns,
			IdleConnTimeout: p.IdleTimeout * 3 / 4, MaxResponseHeaderBytes: maxHeaderBytes}
		p.hosts[address] = h
	}
	return h
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
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
		h.forgotten.Store(true)
		go h.closeIdle()
	}
}

// Shutdown closes all idle connections; what is out ends by itself. The pool is not used after it.
func (p *Pool) Shutdown() {
	close(p.stopped)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		delete(p.hosts, address)
		h.forgotten.Store(true)
		go h.closeIdle()
	}
}

func (h *host) closeIdle() {
	for c := h.takePreconnected(); c != nil; c = h.takePreconnected() {
		c.Close()
	}
	h.transport.CloseIdleConnections()
}

// How a hand-off stands: it moves on from waiting once, by what comes first.
const (
	stateWaiting int32 = iota
	stateWriting
	stateCanceled
)

var (
	errCanceled       = errors.New("recalled")
	errTimeout        = errors.New("time is up")
	errConnectTimeout = errors.New("no connection in time")
	errReadTimeout    = errors.New("the rest of the answer has not come in time")
)

type attempt struct {
	cancel     context.CancelCauseFunc
	tracker    WriteTracker // nil for none
	startedAt  time.Time
	phaseTimer *time.Timer // until it must have a connection, and then the rest of its answer
	state      atomic.Int32
	answering  atomic.Bool          // its answer
	dialed     atomic.Bool          // a connection was asked for
	conn       atomic.Pointer[conn] // that it has, or had
	reused     atomic.Bool          // another hand-off had that before
	writtenOn  atomic.Pointer[conn] // that its bytes went to

	request   *http.Request     // while it is tried: the transport keeps traces for as long as it likes, and a long body must not be in them
	forwarded *dispatch.Request // the same
}

// beginWrite settles that the hand-off is sent on this connection, unless it was ended or sent on another before.
func (a *attempt) beginWrite(c *conn) bool {
	if a.state.CompareAndSwap(stateWaiting, stateWriting) {
		if a.tracker != nil && !a.tracker.BeginWrite(c) {
			return false // nor on any other, as it stands so now
		}
		a.writtenOn.Store(c)
	}
	return a.writtenOn.Load() == c
}

// alreadyWrittenOn tells whether an earlier hand-off of the same request was written on this connection.
func (a *attempt) alreadyWrittenOn(c *conn) bool {
	return a.tracker != nil && a.writtenOn.Load() != c && a.tracker.WrittenOn(c)
}

// CancelUnsent ends the hand-off if nothing of it has been written.
func (a *attempt) CancelUnsent() { a.cancelUnsent(errCanceled) }

func (a *attempt) cancelUnsent(why error) {
	if a.state.CompareAndSwap(stateWaiting, stateCanceled) {
		a.cancel(why)
	}
}

// Cancel ends the hand-off.
func (a *attempt) Cancel() {
	a.cancelUnsent(errCanceled)
	a.cancel(errCanceled)
}

// Forward starts one; done is called with its outcome, once its connection is free again or closed.
func (p *Pool) Forward(to dispatch.Host, r *dispatch.Request, timeout time.Duration, done func(dispatch.Outcome)) dispatch.Attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &attempt{cancel: cancel, startedAt: time.Now()}
	a.tracker, _ = r.Payload.(WriteTracker)
	p.runWorker(func() {
		defer cancel(nil)
		var outcome dispatch.Outcome
		defer func() {
			if v := recover(); v != nil {
				p.OnPanic(v, debug.Stack())
				outcome = dispatch.Outcome{Result: decision.ConnectionReset}
			}
			done(outcome)
		}()
		a.phaseTimer = time.AfterFunc(p.ConnectTimeout, func() {
			if a.answering.Load() {
				cancel(errReadTimeout)
			}
			a.cancelUnsent(errConnectTimeout)
		})
		defer a.phaseTimer.Stop()
		timer := time.AfterFunc(timeout, func() { cancel(errTimeout) })
		defer timer.Stop()
		outcome = p.sendAttempt(ctx, a, to, r, timeout)
	})
	return a
}

// maxIdleWorkers is how many goroutines that are idle wait for further hand-offs: about as many as are out on a usual day.
const maxIdleWorkers = 32

// runWorker runs f beside its caller, on a goroutine that is idle if there is one: a new one must first grow its stack.
func (p *Pool) runWorker(f func()) {
	select {
	case p.jobs <- f:
	default:
		go func(f func()) {
			for {
				f()
				f = nil // what it has to do with, as a long body, isn't held while idle
				if p.idleWorkers.Add(1) > maxIdleWorkers {
					p.idleWorkers.Add(-1)
					return
				}
				select {
				case f = <-p.jobs:
				case <-p.stopped:
					return
				}
				p.idleWorkers.Add(-1)
			}
		}(f)
	}
}

// sendAttempt hands off on a connection that turns out to be fit for it. One that was open before, or that another hand-off had
// meanwhile, and of which nothing could be used leaves the hand-off as it was: it goes on to another.
func (p *Pool) sendAttempt(ctx context.Context, a *attempt, to dispatch.Host, r *dispatch.Request, timeout time.Duration) dispatch.Outcome {
	for {
		a.conn.Store(nil)
		outcome := p.sendOnce(ctx, a, to, r, timeout)
		c := a.conn.Load()
		if c == nil || a.state.Load() == stateWriting {
			return outcome
		}
		c.Close() // an answer that came before its command was another's
		if ctx.Err() != nil || c.openedAt.After(a.startedAt) && !a.reused.Load() {
			return dispatch.Outcome{Result: a.failureResult(ctx, errConnUnusable)}
		}
	}
}

func (p *Pool) sendOnce(ctx context.Context, a *attempt, host dispatch.Host, r *dispatch.Request, timeout time.Duration) dispatch.Outcome {
	a.request, a.forwarded = p.Protocol.NewRequest(host, r, timeout), r
	defer func() { a.request, a.forwarded = nil, nil }()
	connCtx, connected := context.WithCancel(context.WithValue(ctx, attemptKey{}, a)) // until it has a connection
	defer connected()
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c := i.Conn.(*conn)
			c.slot.SetState(connlimit.StateActive)
			c.counter.AttemptStarted(host, a.forwarded)
			a.reused.Store(c.attempt.Swap(a) != nil)
			a.conn.Store(c)
			if renewer, ok := p.Protocol.(DeadlineRenewer); ok {
				renewer.RenewDeadline(a.request, timeout-time.Since(a.startedAt))
			}
			connected()
		},
		// hosts write an answer at once: one that takes longer than a connection to come up never ends
		GotFirstResponseByte: func() {
			if p.ReadTimeout > 0 {
				a.phaseTimer.Reset(p.ReadTimeout)
			} else {
				a.phaseTimer.Stop()
			}
			a.answering.Store(true)
		},
	}
	up := p.host(host.Address)
	defer func() {
		if c := a.conn.Load(); c != nil {
			c.markIdle(a)
		}
		if up.forgotten.Load() {
			up.closeIdle()
		}
	}()
	ctx = httptrace.WithClientTrace(context.WithValue(ctx, attemptKey{}, connCtx), trace)
	resp, err := up.transport.RoundTrip(a.request.WithContext(ctx))
	if err != nil {
		return dispatch.Outcome{Result: a.failureResult(ctx, err)}
	}
	defer resp.Body.Close()
	outcome, err := p.Protocol.ReadAnswer(r, resp)
	if err != nil {
		if c := a.conn.Load(); c != nil { // what else comes on it belongs to no request
			c.Close()
		}
		return dispatch.Outcome{Result: a.failureResult(ctx, err)}
	}
	return outcome
}

// failureResult is the outcome of a hand-off that got no whole answer.
func (a *attempt) failureResult(ctx context.Context, err error) decision.Result {
	failure := &Error{Progress: NotConnected, Err: err}
	switch {
	case a.answering.Load():
		failure.Progress = Answering
	case a.state.Load() == stateWriting: // the last byte may just have gone out, whatever the transport has told yet
		failure.Progress = Written
	case a.conn.Load() != nil:
		failure.Progress = PartlyWritten
	}
	switch cause := context.Cause(ctx); {
	case cause == errConnectTimeout && !a.dialed.Load():
		return decision.Unsent // this router's own want of connections is no sign of the host's
	case cause == nil || cause == errConnectTimeout || cause == errReadTimeout:
		return failure.result()
	case failure.Progress < Written && cause == errTimeout:
		return decision.ConnectFailed
	case failure.Progress < Written:
		return decision.Unsent
	case cause == errTimeout:
		return decision.TimedOut
	}
	return decision.Canceled
}
