package decision

import "cmp"

// The lifecycle of a request: it is received, waits for a host or is sent to one, its attempts end, and it is answered.

// retryBudgetRate is the number of retries that each request adds to the retry budget. It bounds the load that retries add
// during an overload.
const retryBudgetRate = 0.1

func (d *decider) requestReceived(req *request) {
	d.tickLoad[openRequests]++
	req.class.exposure.add(d.exposureCap)
	d.retryBudget.add(retryBudgetRate)
	req.check = d.queue.Add(d.nextCheckAt(req), req)
	if d.shouldShed(req) {
		d.giveUp(req)
	} else {
		d.placeRequest(req)
	}
	d.keySeenAt[req.key] = d.now
}

// placeRequest schedules an attempt at the host that pickHost returns. If there is none, the request waits for a short time.
func (d *decider) placeRequest(req *request) {
	h := d.pickHost(req)
	d.changed = append(d.changed, req)
	if h != nil {
		req.next = h
		req.attemptDeadline = d.nextAttemptDeadline(req)
		return
	}
	maxWait := req.class.LatencyTarget / 4 // a longer wait is unlikely to help, so the client is answered early
	if d.now-req.receivedAt > maxWait {
		d.giveUp(req)
	} else {
		d.pending = append(d.pending, req)
	}
}

// nextAttemptDeadline returns the deadline of the next attempt. Without hedging, it leaves time for a retry within the latency
// target, if a retry is allowed and likely to succeed in time.
func (d *decider) nextAttemptDeadline(req *request) int64 {
	if d.settings.Hedging || d.settings.NoEarlyRetry || !d.mayRetry(req, true) || d.retryBudget.tokens < 1 {
		return req.deadline
	}
	retryBy := req.target - int64(1.5*req.class.latency)
	if float64(retryBy-d.now) <= 4*d.expectedLatency(req) {
		return req.deadline
	}
	return min(req.deadline, retryBy)
}

func (d *decider) attemptEnded(req *request, attempt *attempt, result Result, done bool, took int64, report []float64) {
	h := attempt.host
	h.inFlight--
	h.silentSince = d.now
	attempt.notRun = result.neverRan()
	if attempt.notRun || result == Failed { // the host certainly gave no valid answer for the key
		d.bindings.unbind(req.key, attempt.binding)
	}
	d.applyLoadReport(h, report)
	d.updateHealth(h, result)
	d.updateConnectionShortage(h, result)
	slowness := d.attemptSlowness(req, result, took)
	d.updateSlowness(h, result, slowness)
	if result == Succeeded && !req.streaming {
		d.recordAnswer(req, attempt, slowness, took)
	}
	d.recordOutcome(req, attempt, result, took)
	switch {
	case done:
		d.finish(req)
	case !req.done && req.inFlight == 0:
		d.retryOrGiveUp(req, result)
	}
}

// maxSlowness is the upper bound of an attempt's slowness. Failed attempts count with it, so that a host that fails fast does
// not look lightly loaded.
const maxSlowness = 8

// attemptSlowness returns the ratio of an attempt's latency to the expected latency, at most maxSlowness.
func (d *decider) attemptSlowness(req *request, result Result, took int64) float64 {
	switch result {
	case Failed, ConnectionReset, TimedOut, ConnectFailed, InvalidAnswer:
		return maxSlowness
	}
	return min(maxSlowness, float64(took)/d.expectedLatency(req))
}

// updateSlowness averages a host's slowness over about the last five successes and failures.
func (d *decider) updateSlowness(h *host, result Result, slowness float64) {
	if result != Succeeded && slowness != maxSlowness {
		return
	}
	h.relativeLatency = d.slowness(h) + 0.2*(slowness-d.slowness(h))
	h.latencyAt = d.now
}

// learningGain is the gain of moving averages over about a hundred answers.
const learningGain = 0.01

// recordAnswer counts an answer in the load, binds its key, and updates the expected latency and cost of the request's class
// and the slowness of the host's kind of machine. The expectations only follow answers of the earlier build.
func (d *decider) recordAnswer(req *request, attempt *attempt, slowness float64, took int64) {
	d.recordAnswerLoad(took)
	d.bindKey(req, attempt.build) // again, as a rollback may have dropped the binding of the attempt
	if d.isOnTrial(attempt.build) {
		return
	}
	class := req.class
	kind := attempt.host.kind
	class.latency += learningGain * (float64(took) - class.latency)
	class.cost = cmp.Or(class.cost, float64(req.cost))
	class.cost += learningGain * (float64(req.cost) - class.cost)
	d.slownessByKind[kind] += learningGain * (slowness - 1 - d.slownessByKind[kind])
	d.meanLatency += learningGain * (float64(took) - d.meanLatency)
	d.recordBaselineSpeed(req, took)
}

// finish marks a request as done: it needs no further answer, check or attempt.
func (d *decider) finish(req *request) {
	if !req.done {
		d.tickLoad[openRequests]--
	}
	req.done = true
	req.next = nil
	d.queue.Remove(req.check)
	d.changed = append(d.changed, req) // so that its attempts in flight are canceled
}
