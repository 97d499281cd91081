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

// An attempt leaves stateWaiting once: to whichever comes first, its first byte or its end.
const (
	stateWaiting int32 = iota
	stateWriting
	stateCanceled
)

// Causes with which an attempt's context is canceled.
var (
	errCanceled       = errors.New("attempt canceled")
	errTimeout        = errors.New("attempt timed out")
	errConnectTimeout = errors.New("no connection in time")
	errReadTimeout    = errors.New("the rest of the answer did not come in time")
)

type attempt struct {
	cancel     context.CancelCauseFunc
	tracker    WriteTracker // nil for none
	startedAt  time.Time
	phaseTimer *time.Timer // until it must have a connection, and then until the end of its answer
	state      atomic.Int32
	answering  atomic.Bool          // its answer has begun
	dialed     atomic.Bool          // a connection was asked for
	conn       atomic.Pointer[conn] // that it has, or had
	reused     atomic.Bool          // another attempt had that connection before
	writtenOn  atomic.Pointer[conn] // that its bytes were written on

	// The transport keeps traces, and so the attempt, for as long as it likes; a long body must not be reachable from
	// there. These two are set only while the attempt is made.
	request   *http.Request
	forwarded *dispatch.Request
}

var _ dispatch.Attempt = (*attempt)(nil)

// beginWrite settles that the attempt is written on this connection, unless it was canceled or written on another before.
func (a *attempt) beginWrite(c *conn) bool {
	if a.state.CompareAndSwap(stateWaiting, stateWriting) {
		if a.tracker != nil && !a.tracker.BeginWrite(c) {
			return false // nor on any other connection, as the state has changed
		}
		a.writtenOn.Store(c)
	}
	return a.writtenOn.Load() == c
}

// alreadyWrittenOn says whether an earlier attempt of the same request was written on this connection.
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

// phaseTimedOut ends an attempt that has no connection in time, or whose answer does not end in time.
func (a *attempt) phaseTimedOut() {
	if a.answering.Load() {
		a.cancel(errReadTimeout)
	}
	a.cancelUnsent(errConnectTimeout)
}

// Forward implements dispatch.Upstream: it starts an attempt, and calls done with its outcome once its connection is
// free again or closed.
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

// runAttempt makes an attempt under its time-outs. A panic is reported and ends it as a broken connection would.
func (p *Pool) runAttempt(ctx context.Context, a *attempt, to dispatch.Host, r *dispatch.Request, timeout time.Duration) (outcome dispatch.Outcome) {
	defer func() {
		if v := recover(); v != nil {
			p.OnPanic(v, debug.Stack())
			outcome = dispatch.Outcome{Result: decision.ConnectionReset}
		}
	}()
	a.phaseTimer = time.AfterFunc(p.ConnectTimeout, a.phaseTimedOut)
	defer a.phaseTimer.Stop()
	timer := time.AfterFunc(timeout, func() { a.cancel(errTimeout) })
	defer timer.Stop()
	return p.sendAttempt(ctx, a, to, r, timeout)
}

// sendAttempt sends on a connection that turns out to be usable. A connection that is older than the attempt, or that
// another attempt has had, may turn out to be unusable before anything is written: then the next one is tried.
func (p *Pool) sendAttempt(ctx context.Context, a *attempt, to dispatch.Host, r *dispatch.Request, timeout time.Duration) dispatch.Outcome {
	for {
		a.conn.Store(nil)
		outcome := p.sendOnce(ctx, a, to, r, timeout)
		c := a.conn.Load()
		if c == nil || a.state.Load() == stateWriting {
			return outcome
		}
		c.discard() // an answer that came before its request was written is that of another request
		if ctx.Err() != nil || c.openedAt.After(a.startedAt) && !a.reused.Load() {
			return dispatch.Outcome{Result: a.failureResult(ctx, errConnUnusable)}
		}
	}
}

func (p *Pool) sendOnce(ctx context.Context, a *attempt, to dispatch.Host, r *dispatch.Request, timeout time.Duration) dispatch.Outcome {
	a.request = p.Protocol.NewRequest(to, r, timeout)
	a.forwarded = r
	defer func() { a.request, a.forwarded = nil, nil }()
	connCtx, connected := context.WithCancel(context.WithValue(ctx, attemptKey{}, a)) // until it has a connection
	defer connected()
	trace := p.trace(a, to, timeout, connected)
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
			c.discard() // what else comes on it belongs to no request
		}
		return dispatch.Outcome{Result: a.failureResult(ctx, err)}
	}
	return outcome
}

// trace follows an attempt through the transport.
func (p *Pool) trace(a *attempt, to dispatch.Host, timeout time.Duration, connected func()) *httptrace.ClientTrace {
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
			connected()
		},
		GotFirstResponseByte: func() {
			if p.ReadTimeout > 0 {
				a.phaseTimer.Reset(p.ReadTimeout)
			} else {
				a.phaseTimer.Stop()
			}
			a.answering.Store(true)
		},
	}
}

// progress is how far an attempt has got.
func (a *attempt) progress() Progress {
	switch {
	case a.answering.Load():
		return Answering
	case a.state.Load() == stateWriting: // the last byte may just have been written, whatever the transport has reported
		return Written
	case a.conn.Load() != nil:
		return PartlyWritten
	}
	return NotConnected
}

// failureResult is the result of an attempt that got no complete answer.
func (a *attempt) failureResult(ctx context.Context, err error) decision.Result {
	failure := Error{Progress: a.progress(), Err: err}
	cause := context.Cause(ctx)
	noConnection := errors.Is(cause, errConnectTimeout)
	timedOut := errors.Is(cause, errTimeout)
	switch {
	case noConnection && !a.dialed.Load():
		return decision.Unsent // that this router has no room for a connection is no sign of the host's health
	case cause == nil || noConnection || errors.Is(cause, errReadTimeout):
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
