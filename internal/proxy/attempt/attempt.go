// Package attempt is what is known of a request's attempts at hosts: each attempt as a state machine over what its connection tells,
// and the request, which may be retried or refused only while no attempt of it may have run. It does no I/O and reads no clock, and
// it doesn't choose hosts or decide whether to retry: it says what is allowed.
//
// Attempt.Next is the state machine (execution.go, event.go and phase.go have its enums), Request (request.go) what all attempts of one
// request amount to, and Classify (classify.go) which event an answer is.
package attempt

// Attempt is one sending of a request to one host. The zero value is one that begins.
type Attempt struct {
	Phase     Phase
	Execution Execution
}

// Next is the attempt after an event: the one place where either field changes. What can't follow changes nothing.
func (a Attempt) Next(e Event) Attempt {
	sent := a.Phase >= WriteBegun // from here on a host may have all of it, as far as the host can tell
	switch {
	case a.Phase == Ended:
		return a
	case e == Connected, e == WriteStarted, e == WrotePart, e == WroteAll:
		return a.advance(e, sent)
	case e == WroteNone:
		return endedAttempt(a.Phase > WriteBegun)
	case !sent && e.isResponse(): // what comes before its first byte answers another request: it gets another connection
		return Attempt{}
	case e == RejectedByHost, e == Misdirected:
		return Attempt{Ended, NotRun}
	case e == Answered:
		return Attempt{Ended, Ran}
	}
	return endedAttempt(sent) // no connection, no answer, or none to this request
}

// advance is the attempt after it has a connection or some of it is written.
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

// endedAttempt is an attempt that has ended without a valid answer; it may have run where something of it was sent.
func endedAttempt(sent bool) Attempt {
	if sent {
		return Attempt{Ended, MayHaveRun}
	}
	return Attempt{Ended, NotRun}
}
