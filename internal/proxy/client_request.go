package proxy

import (
	"net/http"
	"slices"
	"sync"

	"portflow/internal/decision"
	"portflow/internal/proxy/attempt"
	"portflow/internal/upstream"
)

// clientRequest is a client's request and the state of the attempts to forward it to hosts.
type clientRequest struct {
	host           string // Host header
	header         http.Header
	id             string              // the client's Attempt-Id, empty if it sent none
	attemptCount   int                 // only the decision engine's goroutine uses it
	hasHomeRegions bool                // only hosts in certain regions may be used
	streams        chan *streamedReply // receives a response that is too long to buffer; buffer of 1

	mu            sync.Mutex // guards the fields below, which the decision engine, the attempt and the client's goroutine share
	attempts      attempt.Request
	conns         []any         // connections that the request was written on, at most one per attempt
	firstConn     [1]any        // backing array of conns for the usual single attempt
	invalidAnswer attempt.Event // what the current attempt received instead of a valid response, 0 for none
	bodyMemory    bodyReservation
}

var _ upstream.WriteTracker = (*clientRequest)(nil)

// release releases the handler's reference to the body memory.
func (r *clientRequest) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
}

// beginAttempt begins an attempt and reports whether one is allowed.
func (r *clientRequest) beginAttempt() (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts, ok = r.attempts.Begin(); ok {
		r.invalidAnswer = 0
		r.bodyMemory.retain()
	}
	return ok
}

// record applies an event to the current attempt.
func (r *clientRequest) record(e attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts, _ = r.attempts.Apply(e) // ok is false only for WriteStarted
}

// recordInvalidAnswer records that the current attempt received something other than a valid response to it.
func (r *clientRequest) recordInvalidAnswer(e attempt.Event) {
	r.record(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalidAnswer = e
}

// WrittenOn implements upstream.WriteTracker.
func (r *clientRequest) WrittenOn(conn any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.conns, conn)
}

// BeginWrite implements upstream.WriteTracker. It returns false if the request is settled or the current attempt has already
// begun writing.
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

// Wrote implements upstream.WriteTracker. It never records WroteAll, as it doesn't know which bytes are the last. A write that fails after
// some bytes were written doesn't end the attempt: a host that responds early closes its connection, and the response may have arrived.
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

// hasWritten reports whether writing the current attempt has begun. A response that arrives earlier belongs to another request.
func (r *clientRequest) hasWritten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts.Current().Phase >= attempt.WriteBegun
}

// offerStream passes a streamed response to the client's goroutine. It returns false if the request is settled.
func (r *clientRequest) offerStream(stream *streamedReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts.Settled {
		return false
	}
	r.streams <- stream // never blocks: attempts don't overlap, and each has at most one response
	return true
}

// settle marks the final response as decided and returns the state of the attempts at that time. Afterwards nothing is written to hosts and
// no stream is accepted; a stream that is waiting already is ended with errSettled.
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

// resultEvents maps the result of an attempt to the event that ends it.
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

// endAttempt ends the current attempt and returns the result to report to the decision engine. The engine retries and rejects requests that
// did not run, so the result must not claim that unless it is certain. invalid is 0 unless something other than a valid response arrived.
func (r *clientRequest) endAttempt(result decision.Result) (known decision.Result, invalid attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
	r.attempts, _ = r.attempts.Apply(resultEvents[result]) // ok is false only for WriteStarted
	return reconcileResult(result, r.attempts.Current().Execution), r.invalidAnswer
}

// reconcileResult changes a result that contradicts what is known about whether a host ran the request.
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
