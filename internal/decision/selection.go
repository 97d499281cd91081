package decision

import (
	"math"
)

// Host selection: power of two choices on each side (earlier build and trial), then a random choice between the two sides by
// the trial's share.

// randomPicks is the maximum number of random hosts examined to find two that a request may use.
const randomPicks = 8

// pickHost chooses the host of a request's next attempt, and charges the attempt to the budgets. It returns nil if no host may
// be used, as waiting for a host is better than trying one that is down.
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

// recordChoice charges an attempt to the warm-up budget of its host and to the exposure of its class, and counts it.
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

// trialShare returns the fraction of the attempts to send to the trial now: its hosts' share of the capacity, corrected by the
// share that the trial has recently received. The correction uses the load of all routers, as a router with little traffic
// sends the trial too little.
func (d *decider) trialShare(req *request, minBuild int) float64 {
	trialCapacity := d.sideCapacity[trialSide] * d.trialSpeedUp()
	share := trialCapacity / max(d.sideCapacity[baselineSide]+trialCapacity, 1e-3)
	sentShare := d.fleetLoad[trialAttempts] / max(d.fleetLoad[sentAttempts], 1e-3)
	if d.settings.KeyAffinity { // requests with bound keys can only go to the trial
		share = (share - sentShare) / max(1-sentShare, 0.01)
	} else { // compensates for requests that must not go to the trial
		share += 4 * (share - sentShare)
	}
	switch {
	case d.isPaused():
		return 0
	case d.buildRejected: // just enough to keep judging it
		return share / 10
	case d.isFrequentKey(req, minBuild): // binding it would send more requests to the trial than the cap allows
		return 0
	}
	return share
}

// isFrequentKey reports whether a request's key is not bound to the trial and was seen within keyMemory.
func (d *decider) isFrequentKey(req *request, minBuild int) bool {
	return req.key != 0 && d.settings.KeyAffinity && minBuild < d.rollout.Build && d.now-d.keySeenAt[req.key] < keyMemory
}

// pickOfTwo returns the less loaded of two random candidates of a side, or nil if there is no candidate. If random picks find
// none, it scans all hosts from a random position.
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

// nearest returns the candidates of a side at the smallest distance that has any.
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

// isCandidate reports whether a host belongs to a side and a request may be sent to it.
func (d *decider) isCandidate(req *request, h *host, side, minBuild int) bool {
	return h.side() == side && d.isHealthyFor(req, h) && d.mayUse(req, h, minBuild)
}

// isHealthyFor reports whether a host is not ejected and has had no attempt of the request. Ejections are ignored if no host is
// healthy, and earlier attempts once the request has had as many attempts as there are hosts.
func (d *decider) isHealthyFor(req *request, h *host) bool {
	isHealthy := h.ejectedUntil <= d.now || d.healthyHosts == 0
	return isHealthy && (!req.triedOn(h) || len(req.attempts) >= len(d.hosts))
}

// mayUse reports whether a request may be sent to a host, regardless of what isHealthyFor checks. The host must be ready and have
// budget, and the request's key, filter, class and earlier attempts must allow it.
func (d *decider) mayUse(req *request, h *host, minBuild int) bool {
	return h.health == Ready && h.build >= minBuild && d.hasBudget(h) && req.allows(h) &&
		(!h.onTrial || d.mayUseTrial(req, h)) && isInDedupScope(req, h)
}

// mayUseTrial reports whether the exposure cap and the guarded stages allow an attempt at a host on trial.
func (d *decider) mayUseTrial(req *request, h *host) bool {
	if req.class.exposure.tokens < 1 || d.exposureCap <= 0 {
		return false
	}
	return h.stage >= d.settings.GuardedStages || req.class.Idempotency == Idempotent
}

// isInDedupScope reports whether a host would recognize a repeat of the request. It returns true if the request cannot have run
// yet, or does not depend on deduplication.
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

// estimatedLoad estimates the time that a request would take at a host, in an arbitrary unit: its open requests over its current
// capacity, times its slowness.
func (d *decider) estimatedLoad(h *host) float64 {
	reportWeight := math.Exp(-float64(d.now-h.reportedAt) / float64(second)) // the weight of a report decays with its age
	queued := 1 + float64(h.inFlight) + h.queueLength*reportWeight
	silentFor := float64(min(h.inFlight, 1)) * float64(d.now-h.silentSince) // a silent host may be paused, stalled or down
	return queued / (h.capacity * d.warmUpFactor(h)) * d.slowness(h) * (1 + silentFor/d.meanLatency)
}

// expectedLatency returns the expected latency of a request at the earlier build, by its class and cost, in nanoseconds.
func (d *decider) expectedLatency(req *request) float64 {
	if req.cost <= 0 || req.class.cost <= 0 {
		return req.class.latency
	}
	return req.class.latency * min(4, max(0.25, float64(req.cost)/req.class.cost))
}
