package decision

// Retries and hedged requests: whether a request may have another attempt, and when.

// finalCheckAt returns when a request that is still open fails: early enough that the client is answered by its deadline.
func (d *decider) finalCheckAt(req *request) int64 {
	return req.deadline - 2*d.settings.TimerResolution
}

// nextCheckAt returns when to check a request next: for a hedged attempt, after the time that most answers take, or for the
// final check.
func (d *decider) nextCheckAt(req *request) int64 {
	final := d.finalCheckAt(req)
	if !d.settings.Hedging || req.class.Idempotency == NonIdempotent || len(req.attempts) != 1 {
		return final
	}
	hedgeAfter := max(int64(2.5*d.expectedLatency(req)), req.class.LatencyTarget/8)
	return min(final, d.now+hedgeAfter)
}

// check schedules a hedged attempt of a request, or fails the request at its final check.
func (d *decider) check(req *request) {
	if req.done {
		return
	}
	if d.now >= d.finalCheckAt(req) {
		req.decidedAnswer = fail
		d.changed = append(d.changed, req)
		return
	}
	req.check = d.queue.Add(d.finalCheckAt(req), req)
	if d.mayHedge(req) && d.retryBudget.take() {
		d.hedge(req)
	}
}

// mayHedge reports whether a second attempt may run beside the first and can still meet the latency target.
func (d *decider) mayHedge(req *request) bool {
	return req.inFlight == 1 && d.settings.Hedging && d.shedFraction < 0.5 && d.mayRetry(req, false) && d.now < req.target
}

// hedge schedules a second attempt at another host, if there is one.
func (d *decider) hedge(req *request) {
	h := d.pickHost(req)
	if h == nil || req.triedOn(h) {
		return
	}
	req.next = h
	req.attemptDeadline = req.deadline
	d.changed = append(d.changed, req)
}

// mayRetry reports whether the class and the attempts so far allow another attempt. mayHaveRun reports
// whether one more attempt, which is not in req.attempts yet, counts as one that may have run.
func (d *decider) mayRetry(req *request, mayHaveRun bool) bool {
	if len(req.attempts) >= req.maxAttempts {
		return false
	}
	first := req.firstPossibleRun()
	switch {
	case req.class.Idempotency == NonIdempotent:
		return first == nil && !mayHaveRun
	case req.class.Idempotency == IdempotentByKey && first != nil:
		return d.now+2*d.settings.TimerResolution < first.startedAt+req.class.DedupWindow
	}
	return true
}

// retryOrGiveUp retries or answers a request without an attempt in flight. A retry after a failed connection is not charged to
// the retry budget, as the host had no work from it.
func (d *decider) retryOrGiveUp(req *request, result Result) {
	usefulUntil := req.target
	if req.class.LateValue > 0 {
		usefulUntil = req.deadline
	}
	isUseful := float64(usefulUntil-d.now) > req.class.latency/2
	if d.mayRetry(req, false) && isUseful && (result == ConnectFailed || d.retryBudget.take()) {
		d.placeRequest(req)
	} else {
		d.giveUp(req)
	}
}

// giveUp ends a request: it is rejected if the client may safely retry it, and fails otherwise.
func (d *decider) giveUp(req *request) {
	req.decidedAnswer = fail
	if d.maySendAgain(req) {
		req.decidedAnswer = reject
	}
	d.changed = append(d.changed, req)
}

// maySendAgain reports whether the client may retry a request through any router without violating the idempotency of its
// class.
func (d *decider) maySendAgain(req *request) bool {
	if req.firstPossibleRun() == nil || req.class.Idempotency == Idempotent {
		return true
	}
	return req.class.Idempotency == IdempotentByKey && req.class.DedupScope == AllHosts && d.mayRetry(req, true)
}

// retryAfter returns the delay after which a client may retry a rejected request: about the time that a queue takes to drain.
func (d *decider) retryAfter() int64 { return min(d.settings.MaxRetryAfter, second/4) }
