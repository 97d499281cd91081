package proxy

import (
	"net/http"
	"slices"
	"sync"

	"portflow/internal/decision"
	"portflow/internal/proxy/attempt"
)

// clientRequest is a client's request as it goes on, and what is known of its attempts at hosts.
type clientRequest struct {
	host           string
	header         http.Header
	id             string              // of this try
	attemptCount   int                 // hand-offs so far
	hasHomeRegions bool                // it may not go everywhere
	streams        chan *streamedReply // gets an answer that is too long to be read whole, while none is given

	mu            sync.Mutex // over what follows: the reducer, the hand-off and the client's goroutine have it
	attempts      attempt.Request
	conns         []any // that it was written on; as many as hand-offs at most
	firstConn     [1]any
	invalidAnswer attempt.Event   // what came in place of an answer to the present attempt, 0 for none
	bodyMemory    bodyReservation // its body
}

// release tells that its handler is done with it.
func (r *clientRequest) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
}

// beginAttempt begins an attempt where that may be.
func (r *clientRequest) beginAttempt() (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts, ok = r.attempts.Begin(); ok {
		r.invalidAnswer = 0
		r.bodyMemory.retain()
	}
	return ok
}

// record tells the attempts an event.
func (r *clientRequest) record(e attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts, _ = r.attempts.Apply(e)
}

// rejectAnswer tells that what came is no answer to the present attempt.
func (r *clientRequest) rejectAnswer(e attempt.Event) {
	r.record(e)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalidAnswer = e
}

// WrittenOn tells whether it was written on this connection before.
func (r *clientRequest) WrittenOn(conn any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.conns, conn)
}

// BeginWrite is asked for leave before a first byte goes to a host. There is none once the final answer is given.
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

// Wrote tells that so many bytes went. Which are the last is not told: some may have been all. Where some went before, a write
// that fails ends nothing: the host's answer may be there already, and the connection is closed behind an early one.
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

// hasWritten tells whether bytes of the present attempt have gone: what comes before that answers another.
func (r *clientRequest) hasWritten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts.Current().Phase >= attempt.WriteBegun
}

// offerStream gives the client's goroutine an answer to pass on, unless the final one is given.
func (r *clientRequest) offerStream(t *streamedReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts.Settled {
		return false
	}
	r.streams <- t // one attempt at a time, and one answer to each
	return true
}

// settle tells what is known as the final answer is given: nothing is written, and no answer is taken up, after it.
func (r *clientRequest) settle() attempt.Request {
	r.mu.Lock()
	r.attempts = r.attempts.Settle()
	known := r.attempts
	r.mu.Unlock()
	for {
		select {
		case t := <-r.streams:
			t.done <- errSettled
		default:
			return known
		}
	}
}

// endingEvents are the events that endings of hand-offs tell.
var endingEvents = [...]attempt.Event{decision.Succeeded: attempt.Answered, decision.Failed: attempt.Answered, decision.Rejected: attempt.TurnedAway,
	decision.TimedOut: attempt.TimedOut, decision.ConnectFailed: attempt.ConnectFailed, decision.ConnectionReset: attempt.ConnectionReset, decision.Canceled: attempt.Canceled,
	decision.Unsent: attempt.ConnectFailed, decision.InvalidAnswer: attempt.UnexpectedBytes}

// endAttempt ends the present attempt, and tells the rules no more of it than is known: they send again, and refuse, what surely
// has not run.
func (r *clientRequest) endAttempt(e decision.Result) (told decision.Result, odd attempt.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyMemory.release()
	r.attempts, _ = r.attempts.Apply(endingEvents[e])
	switch known := r.attempts.Current().Execution; {
	case known == attempt.NotRun && (e == decision.ConnectionReset || e == decision.TimedOut || e == decision.InvalidAnswer):
		e = decision.ConnectFailed
	case known == attempt.NotRun && e == decision.Canceled:
		e = decision.Unsent
	case known != attempt.NotRun && (e == decision.ConnectFailed || e == decision.Unsent || e == decision.Rejected):
		e = decision.ConnectionReset
	}
	return e, r.invalidAnswer
}
