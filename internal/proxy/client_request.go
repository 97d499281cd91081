package proxy

import (
	"net/http"
	"slices"
	"sync"

	"portflow/internal/decision"
	"portflow/internal/proxy/attempt"
	"portflow/internal/upstream"
)

// clientRequest is a client's request as it is forwarded, and what is known of its attempts at hosts.
type clientRequest struct {
	host           string
	header         http.Header
	id             string              // Attempt-Id: of this attempt of the client's
	attemptCount   int                 // so far; only the decision engine's goroutine uses it
	hasHomeRegions bool                // it may not go everywhere
	streams        chan *streamedReply // gets an answer that is too long to be read completely, while no answer is given

	mu            sync.Mutex // guards what follows: the decision engine, the attempt and the client's goroutine use it
	attempts      attempt.Request
	conns         []any // that it was written on; as many as attempts at most
	firstConn     [1]any
	invalidAnswer attempt.Event   // what came in place of an answer to the present attempt, 0 for none
	bodyMemory    bodyReservation // of its body
}

var _ upstream.WriteTracker = (*clientRequest)(nil)

// release notes that the request's handler is done with it.
func (r *clientRequest) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
}

// beginAttempt begins an attempt, and reports whether that is allowed.
func (r *clientRequest) beginAttempt() (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts, ok = r.attempts.Begin(); ok {
		r.invalidAnswer = 0
		r.bodyMemory.retain()
	}
	return ok
}

// record applies an event to the present attempt.
func (r *clientRequest) record(e attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts, _ = r.attempts.Apply(e) // only the start of a write can be refused
}

// recordInvalidAnswer notes that what came is no answer to the present attempt.
func (r *clientRequest) recordInvalidAnswer(e attempt.Event) {
	r.record(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalidAnswer = e
}

// WrittenOn reports whether the request was written on this connection before.
func (r *clientRequest) WrittenOn(conn any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.conns, conn)
}

// BeginWrite is asked for permission before a first byte goes to a host. There is none once the final answer is given.
func (r *clientRequest) BeginWrite(conn any) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts, ok = r.attempts.Apply(attempt.WriteStarted); ok {
		if r.conns == nil {
			r.conns = r.firstConn[:0]
		}
		r.conns = append(r.conns, conn)
	}
	return ok
}

// Wrote notes that so many bytes were written. Which are the last is not known: some may have been all. A write that fails after some
// were written ends nothing: the host's answer may be there already, and a host closes its connection behind an early one.
func (r *clientRequest) Wrote(n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case n > 0:
		r.attempts, _ = r.attempts.Apply(attempt.WrotePart)
	case err != nil && r.attempts.Current().Phase == attempt.WriteBegun:
		r.attempts, _ = r.attempts.Apply(attempt.WroteNone)
	}
}

// hasWritten reports whether bytes of the present attempt have been written: what comes before that answers another request.
func (r *clientRequest) hasWritten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts.Current().Phase >= attempt.WriteBegun
}

// offerStream gives the client's goroutine an answer to pass on, unless the final one is given.
func (r *clientRequest) offerStream(stream *streamedReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts.Settled {
		return false
	}
	r.streams <- stream // never blocks: one attempt at a time, and one answer to each
	return true
}

// settle returns what is known as the final answer is given: nothing is written, and no answer is passed on, after it.
func (r *clientRequest) settle() attempt.Request {
	r.mu.Lock()
	r.attempts = r.attempts.Settle()
	state := r.attempts
	r.mu.Unlock()
	for {
		select {
		case stream := <-r.streams:
			stream.done <- errSettled
		default:
			return state
		}
	}
}

// resultEvents are the events that the results of attempts mean.
var resultEvents = [...]attempt.Event{
	decision.Succeeded:       attempt.Answered,
	decision.Failed:          attempt.Answered,
	decision.Rejected:        attempt.RejectedByHost,
	decision.TimedOut:        attempt.TimedOut,
	decision.ConnectFailed:   attempt.ConnectFailed,
	decision.ConnectionReset: attempt.ConnectionReset,
	decision.Canceled:        attempt.Canceled,
	decision.Unsent:          attempt.ConnectFailed,
	decision.InvalidAnswer:   attempt.UnexpectedBytes,
}

// endAttempt ends the present attempt, and returns its result as the decision engine is to have it, which says no more than is known:
// the engine retries, and refuses, what surely has not run.
func (r *clientRequest) endAttempt(result decision.Result) (known decision.Result, invalid attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
	r.attempts, _ = r.attempts.Apply(resultEvents[result]) // no write begins by it
	return reconcileResult(result, r.attempts.Current().Execution), r.invalidAnswer
}

// reconcileResult is the result that fits what is known of whether a host has run the request.
func reconcileResult(result decision.Result, execution attempt.Execution) decision.Result {
	notRun := execution == attempt.NotRun
	switch result {
	case decision.ConnectionReset, decision.TimedOut, decision.InvalidAnswer:
		if notRun {
			return decision.ConnectFailed
		}
	case decision.Canceled:
		if notRun {
			return decision.Unsent
		}
	case decision.ConnectFailed, decision.Unsent, decision.Rejected:
		if !notRun {
			return decision.ConnectionReset
		}
	}
	return result
}
