package attempt

// Request is the combined state of all attempts of one request. The zero value is a request that is not idempotent and has had no attempt.
type Request struct {
	Idempotent     bool      // may run more than once
	Settled        bool      // the final response is decided; nothing more is written to hosts
	inFlight       bool      // current is in flight
	endedExecution Execution // maximum over the attempts that have ended
	current        Attempt
}

// MayAttempt reports whether another attempt may begin. Attempts never overlap, and a request that is not idempotent gets another
// one only if no earlier attempt may have run.
func (r Request) MayAttempt() bool {
	return !r.Settled && !r.inFlight && (r.Idempotent || r.endedExecution == NotRun)
}

// Begin returns the request with a new attempt in flight, or the request unchanged and false if MayAttempt forbids another one.
func (r Request) Begin() (Request, bool) {
	if !r.MayAttempt() {
		return r, false
	}
	r.inFlight = true
	r.current = Attempt{}
	return r, true
}

// Apply returns the request after an event of its current attempt. ok is false if the event is a WriteStarted that is not allowed; the
// caller must then not write.
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

// Current returns the attempt in flight or, if there is none, the last one that ended.
func (r Request) Current() Attempt { return r.current }

// Execution returns the maximum over all attempts, including the one in flight.
func (r Request) Execution() Execution {
	if r.inFlight {
		return max(r.endedExecution, r.current.Execution)
	}
	return r.endedExecution
}

// Settle returns the request with its final response decided. If Execution is NotRun at that time it stays so, because nothing is
// written to a host after Settle.
func (r Request) Settle() Request {
	r.Settled = true
	return r
}

// MayRefuse reports whether the final response may be one that promises that the request did not run and never will: the request is
// settled and either surely did not run or is idempotent, so that running it again is safe.
func (r Request) MayRefuse() bool {
	return r.Settled && (r.Idempotent || r.Execution() == NotRun)
}

// PromisesNotRun reports whether an HTTP status promises that the request did not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case statusTooManyRequests, statusServiceUnavailable, statusRequestTimeout, statusMisdirectedRequest:
		return true
	}
	return false
}
