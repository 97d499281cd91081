package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"runtime/debug"
	"sync/atomic"
	"time"

	"portflow/internal/connlimit"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// The states of an attempt. It leaves stateWaiting at most once: for stateWriting when its first byte is about to be
// written, or for stateCanceled if it is canceled or times out before that.
const (
	stateWaiting int32 = iota
	stateWriting
	stateCanceled
)

// Cancellation causes of an attempt's context.
var (
	errCanceled       = errors.New("attempt canceled")
	errTimeout        = errors.New("attempt timed out")
	errConnectTimeout = errors.New("timed out waiting for a connection")
	errReadTimeout    = errors.New("timed out reading the rest of the response")
)

type attempt struct {
	cancel          context.CancelCauseFunc
	tracker         WriteTracker // nil if the request's Payload is not one
	startedAt       time.Time
	readTimer       *time.Timer // runs from the first byte of the response; nil without a read timeout
	state           atomic.Int32
	responseStarted atomic.Bool
	dialed          atomic.Bool          // a dial was started for this attempt
	conn            atomic.Pointer[conn] // current or last connection; nil before the first
	reused          atomic.Bool          // conn was used by another attempt before
	writtenOn       atomic.Pointer[conn] // connection that the request was written on; nil before the first byte

	// The transport may keep the trace, and with it the attempt, after the attempt has ended. These two are set only
	// while the attempt runs, so that a large body does not stay reachable.
	request   *http.Request
	forwarded *dispatch.Request
}

var _ dispatch.Attempt = (*attempt)(nil)

// beginWrite reports whether the attempt may be written on this connection, and commits it to the connection before its
// first byte. It returns false if the attempt was canceled, is committed to another connection, or was denied by its tracker.
func (a *attempt) beginWrite(c *conn) bool {
	if a.state.CompareAndSwap(stateWaiting, stateWriting) {
		if a.tracker != nil && !a.tracker.BeginWrite(c) {
			return false // for good: the state has changed, so no other connection can be used either
		}
		a.writtenOn.Store(c)
	}
	return a.writtenOn.Load() == c
}

// alreadyWrittenOn reports whether an earlier attempt of the same request was written on this connection.
func (a *attempt) alreadyWrittenOn(c *conn) bool {
	return a.tracker != nil && a.writtenOn.Load() != c && a.tracker.WrittenOn(c)
}

// CancelUnsent implements dispatch.Attempt.
func (a *attempt) CancelUnsent() { a.cancelUnsent(errCanceled) }

func (a *attempt) cancelUnsent(cause error) {
	if a.state.CompareAndSwap(stateWaiting, stateCanceled) {
		a.cancel(cause)
	}
}

// Cancel implements dispatch.Attempt.
func (a *attempt) Cancel() {
	a.cancelUnsent(errCanceled)
	a.cancel(errCanceled)
}

// connectTimedOut cancels an attempt that has no connection within the connect timeout. An attempt that has been written keeps
// running until its own timeout. As the timer may have expired long before this function runs, it must not depend on
// whether the response has started.
func (a *attempt) connectTimedOut() { a.cancelUnsent(errConnectTimeout) }

// newReadTimer returns a stopped timer that cancels the attempt when it expires; startResponse starts it. It returns nil
// without a read timeout.
func (a *attempt) newReadTimer(timeout time.Duration) *time.Timer {
	if timeout <= 0 {
		return nil
	}
	timer := time.AfterFunc(timeout, func() {
		if a.responseStarted.Load() {
			a.cancel(errReadTimeout)
		}
	})
	timer.Stop()
	return timer
}

// startResponse records that the first byte of the response has arrived, and starts the read timer.
func (a *attempt) startResponse(readTimeout time.Duration) {
	a.responseStarted.Store(true)
	if a.readTimer != nil {
		a.readTimer.Reset(readTimeout)
	}
}

// Forward implements dispatch.Upstream. It starts an attempt on a worker goroutine, which calls done with the outcome
// once the attempt's connection is idle again or closed.
func (p *Pool) Forward(to dispatch.Host, r *dispatch.Request, timeout time.Duration, done func(dispatch.Outcome)) dispatch.Attempt {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &attempt{cancel: cancel, startedAt: time.Now()}
	a.tracker, _ = r.Payload.(WriteTracker)
	p.runWorker(func() {
		defer cancel(nil)
		done(p.runAttempt(ctx, a, to, r, timeout))
	})
	return a
}

// runAttempt runs an attempt under its timeouts. A panic is passed to OnPanic, and the attempt fails with ConnectionReset.
func (p *Pool) runAttempt(ctx context.Context, a *attempt, to dispatch.Host, r *dispatch.Request, timeout time.Duration) (outcome dispatch.Outcome) {
	defer func() {
		if v := recover(); v != nil {
			p.OnPanic(v, debug.Stack())
			outcome = dispatch.Outcome{Result: decision.ConnectionReset}
		}
	}()
	connectTimer := time.AfterFunc(p.ConnectTimeout, a.connectTimedOut)
	defer connectTimer.Stop()
	if a.readTimer = a.newReadTimer(p.ReadTimeout); a.readTimer != nil {
		defer a.readTimer.Stop()
	}
	timer := time.AfterFunc(timeout, func() { a.cancel(errTimeout) })
	defer timer.Stop()
	return p.sendAttempt(ctx, a, to, r, timeout)
}

// sendAttempt goes through connections until writing has begun on one or the attempt fails to get one. A connection that is
// older than the attempt, or was used by another attempt, may prove unusable before anything is written; the next one
// is tried then. If a new connection proves unusable, the attempt fails.
func (p *Pool) sendAttempt(ctx context.Context, a *attempt, to dispatch.Host, r *dispatch.Request, timeout time.Duration) dispatch.Outcome {
	for {
		a.conn.Store(nil)
		outcome := p.sendOnce(ctx, a, to, r, timeout)
		c := a.conn.Load()
		if c == nil || a.state.Load() == stateWriting {
			return outcome
		}
		c.discard() // a response received before the request was written belongs to another request
		if ctx.Err() != nil || c.openedAt.After(a.startedAt) && !a.reused.Load() {
			return dispatch.Outcome{Result: a.failureResult(ctx, errConnUnusable)}
		}
	}
}

func (p *Pool) sendOnce(ctx context.Context, a *attempt, to dispatch.Host, r *dispatch.Request, timeout time.Duration) dispatch.Outcome {
	a.request = p.Protocol.NewRequest(to, r, timeout)
	a.forwarded = r
	defer func() { a.request, a.forwarded = nil, nil }()
	// connCtx is canceled once the attempt has a connection or has ended.
	connCtx, stopDial := context.WithCancel(context.WithValue(ctx, attemptKey{}, a))
	defer stopDial()
	trace := p.trace(a, to, timeout, stopDial)
	h := p.host(to.Address)
	defer h.release(a)
	ctx = httptrace.WithClientTrace(context.WithValue(ctx, attemptKey{}, connCtx), trace)
	resp, err := h.transport.RoundTrip(a.request.WithContext(ctx))
	if err != nil {
		return dispatch.Outcome{Result: a.failureResult(ctx, err)}
	}
	defer resp.Body.Close()
	outcome, err := p.Protocol.ReadAnswer(r, resp)
	if err != nil {
		if c := a.conn.Load(); c != nil {
			c.discard() // unread data of this response would be taken for the next one
		}
		return dispatch.Outcome{Result: a.failureResult(ctx, err)}
	}
	return outcome
}

// trace returns the hooks that record an attempt's connection and the start of its response. stopDial is called when
// the attempt has a connection, and ends its wait for a dial.
func (p *Pool) trace(a *attempt, to dispatch.Host, timeout time.Duration, stopDial func()) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn)
			c.slot.SetState(connlimit.StateActive)
			c.counter.AttemptStarted(to, a.forwarded)
			a.reused.Store(c.attempt.Swap(a) != nil)
			a.conn.Store(c)
			if renewer, ok := p.Protocol.(DeadlineRenewer); ok {
				renewer.RenewDeadline(a.request, timeout-time.Since(a.startedAt))
			}
			stopDial()
		},
		GotFirstResponseByte: func() { a.startResponse(p.ReadTimeout) },
	}
}

func (a *attempt) progress() Progress {
	switch {
	case a.responseStarted.Load():
		return Answering
	case a.state.Load() == stateWriting: // the last byte may have been written, whatever the transport has reported so far
		return Written
	case a.conn.Load() != nil:
		return Connected
	}
	return NotConnected
}

// failureResult returns the result of an attempt that received no complete response. The cause of ctx takes precedence
// over err where the attempt was canceled or timed out.
func (a *attempt) failureResult(ctx context.Context, err error) decision.Result {
	failure := Error{Progress: a.progress(), Err: err}
	cause := context.Cause(ctx)
	connectTimedOut := errors.Is(cause, errConnectTimeout)
	timedOut := errors.Is(cause, errTimeout)
	switch {
	case connectTimedOut && !a.dialed.Load():
		return decision.Unsent // the pool's connection limit was reached, which says nothing about the host's health
	case cause == nil || connectTimedOut || errors.Is(cause, errReadTimeout):
		return failure.result()
	case failure.Progress < Written && timedOut:
		return decision.ConnectFailed
	case failure.Progress < Written:
		return decision.Unsent
	case timedOut:
		return decision.TimedOut
	}
	return decision.Canceled
}
