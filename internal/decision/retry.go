package decision

// Retries and hedged requests: whether a request may have another attempt, and when.

// finalCheckAt is when a request must be answered whatever happens.
func (d *decider) finalCheckAt(req *request) int64 {
	return req.deadline - 2*d.settings.TimerResolution
}

// nextCheckAt is when a request must be checked: for a hedged attempt, later than most answers come, or for its answer.
func (d *decider) nextCheckAt(req *request) int64 {
	final := d.finalCheckAt(req)
	if !d.settings.Hedging || req.class.Idempotency == NonIdempotent || len(req.attempts) != 1 {
		return final
	}
	hedgeAfter := max(int64(2.5*d.expectedLatency(req)), req.class.LatencyTarget/8)
	return min(final, d.now+hedgeAfter)
}

// check gives a request its hedged attempt, or its last answer.
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

// mayHedge says whether a second attempt beside the first may run and is of use.
func (d *decider) mayHedge(req *request) bool {
	return req.inFlight == 1 && d.settings.Hedging && d.shedFraction < 0.5 && d.mayRetry(req, false) && d.now < req.target
}

// hedge wants a second attempt at another host.
func (d *decider) hedge(req *request) {
	h := d.pickHost(req)
	if h == nil || req.triedOn(h) {
		return
	}
	req.next = h
	req.attemptDeadline = req.deadline
	d.changed = append(d.changed, req)
}

// mayRetry says whether the class allows another attempt; mayHaveRun counts the present one as one that may have run.
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

// retryOrGiveUp is for a request of which no attempt is in flight any more. A refused connection costs no budget, as the
// host has had no work by it.
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

// giveUp ends a request at once. It is rejected if the client may send it again, and fails otherwise.
func (d *decider) giveUp(req *request) {
	req.decidedAnswer = fail
	if d.maySendAgain(req) {
		req.decidedAnswer = reject
	}
	d.changed = append(d.changed, req)
}

// maySendAgain says whether the client may send a request again, at any router, without its running twice.
func (d *decider) maySendAgain(req *request) bool {
	if req.firstPossibleRun() == nil || req.class.Idempotency == Idempotent {
		return true
	}
	return req.class.Idempotency == IdempotentByKey && req.class.DedupScope == AllHosts && d.mayRetry(req, true)
}

// retryAfter is after how long a rejected request may come again: about as long as a queue takes to drain.
func (d *decider) retryAfter() int64 { return min(d.settings.MaxRetryAfter, second/4) }
