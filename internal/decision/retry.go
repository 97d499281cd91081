// Repeats and shedding: whether a command may be handed off again, and whom a router turns away.

package decision

import (
	"math"
)

func (d *decider) finalCheckAt(req *request) int64 {
	return req.deadline - 2*d.settings.TimerResolution
}

// nextCheckAt is when a command wants another look: for a second copy, later than most answers, or its last.
func (d *decider) nextCheckAt(req *request) int64 {
	last := d.finalCheckAt(req)
	if !d.settings.Hedging || req.class.Idempotency == NonIdempotent || len(req.attempts) != 1 {
		return last
	}
	return min(last, d.now+max(int64(2.5*d.expectedLatency(req)), req.class.LatencyTarget/8)) // nothing is late before
}

// mayRetry tells whether the band allows another hand-off; ran counts the present one as having run.
func (d *decider) mayRetry(req *request, mayHaveRun bool) bool {
	first := req.firstPossibleRun()
	switch {
	case len(req.attempts) >= req.maxAttempts:
		return false
	case req.class.Idempotency == NonIdempotent:
		return first == nil && !mayHaveRun
	case req.class.Idempotency == IdempotentByKey && first != nil:
		return d.now+2*d.settings.TimerResolution < first.startedAt+req.class.DedupWindow
	}
	return true
}

// giveUp ends a command at once: dismissed where that promises nothing untrue, else scrapped.
func (d *decider) giveUp(req *request) {
	req.wantedAnswer = fail
	if first := req.firstPossibleRun(); first == nil || req.class.Idempotency == Idempotent ||
		req.class.Idempotency == IdempotentByKey && req.class.DedupScope == AllHosts && d.mayRetry(req, true) {
		req.wantedAnswer = reject
	}
	d.changed = append(d.changed, req)
}

// check gives a command its second copy, or its last answer.
func (d *decider) check(req *request) {
	if req.done {
		return
	}
	if d.now >= d.finalCheckAt(req) {
		req.wantedAnswer, d.changed = fail, append(d.changed, req)
		return
	}
	req.check = d.queue.Add(d.finalCheckAt(req), req)
	if req.inFlight == 1 && d.settings.Hedging && d.pressure < 0.5 && d.mayRetry(req, false) && d.now < req.target &&
		d.retryBudget.take() {
		if h := d.pickHost(req); h != nil && !req.triedOn(h) {
			req.next, req.attemptDeadline, d.changed = h, req.deadline, append(d.changed, req)
		}
	}
}

// exceedsQuota tells whether a command is beyond its carrier's share, by what all routers take of that carrier.
func (d *decider) exceedsQuota(req *request) bool {
	if req.customer >= len(d.settings.Customers) {
		return false
	}
	d.tickLoad[loadFields+req.customer]++
	quota := d.settings.Customers[req.customer].PerSecond * float64(tickInterval) / float64(second)
	return d.random()*d.fleetLoad[loadFields+req.customer]*d.reachableRouters > quota
}

// shouldShed turns away the commands worth least for their work while answers come too late, by Little's law (some
// past 0.7 of the shortest contract, most past 1.15), or half of the room is taken. Own figures are newer.
func (d *decider) shouldShed(req *request) bool {
	overQuota, target, lessValuable, total, weightedTargets := 0, math.Inf(1), 0.0, 0.0, 0.0
	if d.exceedsQuota(req) || req.deadline < req.target { // clients that give up early have their work done for nothing
		overQuota = 1
	}
	req.class.arrivals[overQuota]++
	value := func(class *class, i int) float64 {
		return class.Value / class.latency * [2]float64{1, d.settings.OverQuotaValue}[i]
	}
	for _, class := range d.classes {
		target = min(target, float64(class.LatencyTarget))
		for i := range class.arrivals {
			class.arrivals[i] *= 0.999 // a memory of a thousand commands
			if total += class.arrivals[i]; value(class, i) < value(req.class, overQuota) {
				lessValuable += class.arrivals[i]
			}
			weightedTargets += class.arrivals[i] * float64(class.LatencyTarget)
		}
	}
	if d.settings.MixedTargets && total > 0 {
		target = weightedTargets / total
	}
	load, routers, waiting := d.fleetLoad, d.reachableRouters, d.fleetLoad[openRequests]
	if d.tickLoad[openRequests] >= 5 {
		load, routers, waiting = d.ownLoad, 1, d.tickLoad[openRequests]
	}
	// hosts that hang keep commands open, so no more than what the answers took asks for
	latency := min(waiting*float64(tickInterval), 2.5*load[answerSeconds]*float64(second)) / max(load[answerCount], 0.1/routers)
	if d.pressure = 2*latency/target - 1.4; waiting*routers < 5 || d.now-d.startedAt < 2*second {
		d.pressure = 0 // the pace is not known at once
	}
	d.pressure = min(0.9, max(d.pressure, 2*d.tickLoad[openRequests]/float64(d.settings.MaxOpen)-1))
	return d.pressure > 0 && d.random() < (d.pressure*total-lessValuable)/req.class.arrivals[overQuota]
}
