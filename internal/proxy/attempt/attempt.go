// Package attempt tracks the attempts to forward a request to hosts: how far each one got, and whether a host may have run the request.
// A request that is not idempotent may be retried or rejected only while no attempt may have run. The package does no I/O and reads no
// clock. It neither chooses hosts nor decides whether to retry; it only reports what is allowed.
//
// Attempt.Next is the state machine of one attempt (its enums are in execution.go, event.go and phase.go). Request (request.go) combines
// the attempts of one request. Classify (classify.go) maps a response to an event.
package attempt

// Attempt is the state of one attempt to forward a request to a host. The zero value is an attempt that has no connection yet.
type Attempt struct {
	Phase     Phase
	Execution Execution
}

// Next returns the attempt after an event. No event changes an attempt that has ended, and Connected, WriteStarted, WrotePart and WroteAll
// change nothing when they are out of order. Next is the only place where either field changes.
func (a Attempt) Next(e Event) Attempt {
	sent := a.Phase >= WriteBegun // from here on the host may have received a complete request, as far as it can tell
	switch {
	case a.Phase == Ended:
		return a
	case e == Connected, e == WriteStarted, e == WrotePart, e == WroteAll:
		return a.advance(e, sent)
	case e == WroteNone:
		return endedAttempt(a.Phase > WriteBegun)
	case !sent && e.isResponse(): // belongs to an earlier request on this connection, so the attempt needs another connection
		return Attempt{}
	case e == RejectedByHost, e == Misdirected:
		return Attempt{Ended, NotRun}
	case e == Answered:
		return Attempt{Ended, Ran}
	}
	return endedAttempt(sent) // no connection, no response, or no valid response to this request
}

// advance returns the attempt after Connected or one of the write events other than WroteNone.
func (a Attempt) advance(e Event, sent bool) Attempt {
	switch {
	case e == Connected && !sent:
		a.Phase = Open
	case e == WriteStarted && !sent:
		return Attempt{WriteBegun, MayHaveRun}
	case e == WrotePart && sent:
		a.Phase = max(a.Phase, PartlyWritten)
	case e == WroteAll && sent:
		a.Phase = max(a.Phase, Written)
	}
	return a
}

// endedAttempt returns an attempt that ended without a valid response. It may have run if any of it may have been sent.
func endedAttempt(sent bool) Attempt {
	if sent {
		return Attempt{Ended, MayHaveRun}
	}
	return Attempt{Ended, NotRun}
}
