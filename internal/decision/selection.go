package decision

import (
	"math"
)

// Host selection: the side (earlier build or trial) by its share, then the less loaded of two random hosts of the side.

// randomPicks is how many random hosts of a side are looked at for two that a request may use.
const randomPicks = 8

// pickHost chooses the host of a request's next attempt, nil if none may be used: it is better to wait for a host than to
// try one that is down.
func (d *decider) pickHost(req *request) *host {
	minBuild := d.minBuildFor(req.key)
	best := d.pickOfTwo(req, baselineSide, minBuild)
	trial := d.pickOfTwo(req, trialSide, minBuild)
	onlyTrial := best == nil
	if trial != nil && (onlyTrial || d.random() < d.trialShare(req, minBuild)) {
		best = trial
	}
	if best != nil {
		d.recordChoice(req, best, onlyTrial)
	}
	return best
}

// recordChoice takes what the attempt uses of budgets.
func (d *decider) recordChoice(req *request, h *host, onlyTrial bool) {
	if d.warmUpFactor(h) < 1 {
		h.budget.take()
	}
	d.tickLoad[sentAttempts]++
	if !h.onTrial {
		return
	}
	req.class.exposure.take()
	if onlyTrial || !d.settings.KeyAffinity {
		d.tickLoad[trialAttempts]++
	}
}

// trialShare is the share of the attempts that the trial is to be given now: that of its hosts' capacity, corrected by
// what it was given. The correction goes by all routers, as one with little traffic sends the trial too little.
func (d *decider) trialShare(req *request, minBuild int) float64 {
	trialCapacity := d.sideCapacity[trialSide] * d.trialSpeedUp()
	share := trialCapacity / max(d.sideCapacity[baselineSide]+trialCapacity, 1e-3)
	sentShare := d.fleetLoad[trialAttempts] / max(d.fleetLoad[sentAttempts], 1e-3)
	if d.settings.KeyAffinity { // requests of bound keys can go nowhere else
		share = (share - sentShare) / max(1-sentShare, 0.01)
	} else { // makes up for requests that must not go there
		share += 4 * (share - sentShare)
	}
	switch {
	case d.isPaused():
		return 0
	case d.buildRejected: // just enough to go on judging it
		return share / 10
	case d.isFrequentKey(req, minBuild): // it would bind more requests to the trial than the cap allows
		return 0
	}
	return share
}

// isFrequentKey says whether a key that is not bound to the trial comes often.
func (d *decider) isFrequentKey(req *request, minBuild int) bool {
	return req.key != 0 && d.settings.KeyAffinity && minBuild < d.rollout.Build && d.now-d.keySeenAt[req.key] < keyMemory
}

// pickOfTwo is the less loaded of two random hosts of a side, or the first to be found if few may be used.
func (d *decider) pickOfTwo(req *request, side, minBuild int) (best *host) {
	from := int(d.random() * float64(len(d.hosts)))
	pool := d.subset[side]
	if d.hasDistantHosts {
		pool = d.nearest(req, side, minBuild)
	}
	found := 0
	for i := 0; i < randomPicks && found < 2 && len(pool) > 0; i++ {
		h := pool[int(d.random()*float64(len(pool)))]
		if h == best || !d.isCandidate(req, h, side, minBuild) {
			continue
		}
		found++
		if best == nil || d.estimatedLoad(h) < d.estimatedLoad(best) {
			best = h
		}
	}
	if best != nil {
		return best
	}
	for i := range d.hosts {
		h := d.hosts[(from+randomPicks+i)%len(d.hosts)]
		if d.isCandidate(req, h, side, minBuild) {
			return h
		}
	}
	return nil
}

// nearest is the hosts of a side that the request may go to, of the least distance that has any.
func (d *decider) nearest(req *request, side, minBuild int) (all []*host) {
	distance := math.MaxInt
	for _, h := range d.hosts {
		if h.distance > distance || !d.isCandidate(req, h, side, minBuild) {
			continue
		}
		if h.distance < distance {
			distance = h.distance
			all = all[:0]
		}
		all = append(all, h)
	}
	return all
}

// isCandidate says whether a request may go to a host of this side.
func (d *decider) isCandidate(req *request, h *host, side, minBuild int) bool {
	return h.side() == side && d.isHealthyFor(req, h) && d.mayUse(req, h, minBuild)
}

// isHealthyFor says whether a host shows no sign of being down and has not had the request yet, as far as there are others.
func (d *decider) isHealthyFor(req *request, h *host) bool {
	isHealthy := h.ejectedUntil <= d.now || d.healthyHosts == 0
	return isHealthy && (!req.triedOn(h) || len(req.attempts) >= len(d.hosts))
}

// mayUse says whether the rules allow an attempt of the request at a host.
func (d *decider) mayUse(req *request, h *host, minBuild int) bool {
	return h.health == Ready && h.build >= minBuild && d.hasBudget(h) && req.allows(h) &&
		(!h.onTrial || d.mayUseTrial(req, h)) && isInDedupScope(req, h)
}

// mayUseTrial says whether the exposure cap and the guarded stages allow an attempt at the trial.
func (d *decider) mayUseTrial(req *request, h *host) bool {
	if req.class.exposure.tokens < 1 || d.exposureCap <= 0 {
		return false
	}
	return h.stage >= d.settings.GuardedStages || req.class.Idempotency == Idempotent
}

// isInDedupScope says whether a host recognizes a repeat of the request, if it may have run already.
func isInDedupScope(req *request, h *host) bool {
	first := req.firstPossibleRun()
	if first == nil || req.class.Idempotency != IdempotentByKey {
		return true
	}
	switch req.class.DedupScope {
	case AllHosts:
		return true
	case SameZone:
		return h.zone == first.host.zone
	default:
		return h.zone == first.host.zone && h.cell == first.host.cell
	}
}

// estimatedLoad is how long a request would take at a host, in any unit: what it has, over what it can do, times how slow
// it has been.
func (d *decider) estimatedLoad(h *host) float64 {
	reportWeight := math.Exp(-float64(d.now-h.reportedAt) / float64(second)) // an older report says less
	queued := 1 + float64(h.inFlight) + h.queueLength*reportWeight
	silentFor := float64(min(h.inFlight, 1)) * float64(d.now-h.silentSince) // it may be paused, stalled or down
	return queued / (h.capacity * d.warmUpFactor(h)) * d.slowness(h) * (1 + silentFor/d.meanLatency)
}

// expectedLatency is the latency that the earlier build has for such a request, by its class and cost, in nanoseconds.
func (d *decider) expectedLatency(req *request) float64 {
	if req.cost <= 0 || req.class.cost <= 0 {
		return req.class.latency
	}
	return req.class.latency * min(4, max(0.25, float64(req.cost)/req.class.cost))
}
