package attempt

// Request is what is known of all attempts of one request. The zero value is one that has had none, and is not idempotent.
type Request struct {
	Idempotent     bool      // it may run more than once
	Settled        bool      // its final answer is given: nothing of it is written any more
	inFlight       bool      // current is in flight
	endedExecution Execution // the greatest of the attempts that have ended
	current        Attempt
}

// MayAttempt reports whether another attempt may begin: one at a time, and where the request may run at most once only if none may have.
func (r Request) MayAttempt() bool {
	return !r.Settled && !r.inFlight && (r.Idempotent || r.endedExecution == NotRun)
}

// Begin begins an attempt, and reports whether that is allowed.
func (r Request) Begin() (Request, bool) {
	if !r.MayAttempt() {
		return r, false
	}
	r.inFlight = true
	r.current = Attempt{}
	return r, true
}

// Apply is the request after an event of its present attempt. ok is false where bytes were to be written that must not be.
func (r Request) Apply(e Event) (after Request, ok bool) {
	if e == WriteStarted && (!r.inFlight || r.Settled || r.current.Phase >= WriteBegun) {
		return r, false
	}
	if !r.inFlight {
		return r, true
	}
	r.current = r.current.Next(e)
	if r.current.Phase == Ended {
		r.endedExecution = max(r.endedExecution, r.current.Execution)
		r.inFlight = false
	}
	return r, true
}

// Current is the present attempt, or the one that ended last.
func (r Request) Current() Attempt { return r.current }

// Execution is what is known now.
func (r Request) Execution() Execution {
	if r.inFlight {
		return max(r.endedExecution, r.current.Execution)
	}
	return r.endedExecution
}

// Settle closes the request, as its final answer is given: what is known then is right for ever, as nothing of it is written
// later.
func (r Request) Settle() Request {
	r.Settled = true
	return r
}

// MayRefuse reports whether a final answer may promise that the request has not run and never will.
func (r Request) MayRefuse() bool {
	return r.Settled && (r.Idempotent || r.Execution() == NotRun)
}

// PromisesNotRun reports whether a status promises that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case statusTooManyRequests, statusServiceUnavailable, statusRequestTimeout, statusMisdirectedRequest:
		return true
	}
	return false
}
