// Hosts: which of them a router uses, what each can take, and the better of two by chance.

package decision

import (
	"math"
	"portflow/internal/pacing"
)

// updateHosts marks the hosts that this router must count as on trial: those of a build that its news does not
// name yet, and of one that is not released. The cap is the lowest that any of them has.
func (d *decider) updateHosts() {
	d.exposureCap = [...]float64{OnTrial: d.rollout.ExposureCap, RollingBack: d.rollout.ExposureCap, Released: 1, RolledBack: 0}[d.rollout.State]
	d.totalCapacity, d.lastTrialStart, d.warmTrialHosts = 0, d.stageSince, 0.1
	d.sideCapacity, d.healthyHosts = [2]float64{}, 0
	var ready [2][]*host
	d.hasDistantHosts = false
	for _, h := range d.hosts {
		d.hasDistantHosts = d.hasDistantHosts || h.distance > 0
		warm := d.warmth(h)
		if h.build == d.rollout.Build {
			if d.lastTrialStart = max(d.lastTrialStart, h.startedAt); warm == 1 && h.health == Ready {
				d.warmTrialHosts++
			}
		}
		h.stage, h.onTrial = d.rollout.Stage, h.build == d.rollout.Build && d.rollout.State != Released
		if h.build > d.rollout.Build || !d.hasRollout {
			h.stage, h.onTrial = 0, true
			d.exposureCap = min(d.exposureCap, d.settings.FirstStageCap)
		}
		h.budget.add(0.2 / float64(d.settings.Routers)) // of all, two a second and more with news: a cold fleet starts
		if side := h.side(); h.health == Ready {
			ready[side] = append(ready[side], h)
			d.totalCapacity += h.capacity * warm
			if h.ejectedUntil <= d.now {
				if d.healthyHosts++; d.hasBudget(h) { // else the warm ones would get a cold one's part too
					d.sideCapacity[side] += h.capacity * warm
				}
			}
		}
	}
	// a router that needs few hosts uses a part of them
	need := max(pacing.MinHosts, d.ownLoad[answerCount]*float64(second/tickInterval))
	for side, hosts := range ready {
		d.subset[side] = d.subset[side][:0]
		n := min(pacing.SubsetStride(len(d.hosts), need), pacing.SubsetStride(len(hosts), 0))
		for i := pacing.SubsetOffset(n, d.settings.Rank); i < len(hosts); i += n {
			d.subset[side] = append(d.subset[side], hosts[i])
		}
	}
	pending := d.pending
	d.pending = nil
	for _, req := range pending {
		if !req.done && req.wantedAnswer == noAnswer && req.inFlight == 0 {
			d.placeRequest(req)
		}
	}
}

// warmth is the part of its capacity that a host can surely use.
func (d *decider) warmth(h *host) float64 {
	if h.startedAt == 0 || d.now-h.startedAt >= d.settings.WarmUpTime {
		return 1
	}
	return d.settings.ColdCapacity + (1-d.settings.ColdCapacity)*max(0, float64(d.now-h.startedAt)/float64(d.settings.WarmUpTime))
}

// hasBudget tells whether a host is warm, or its budget has something left.
func (d *decider) hasBudget(h *host) bool {
	w := d.warmth(h)
	h.budget.add((d.coldCredit - h.creditTaken) * h.capacity * w)
	h.creditTaken = d.coldCredit
	return w == 1 || h.budget.tokens >= 1
}

// mayUse tells whether the rules allow a hand-off of c to h.
func (d *decider) mayUse(req *request, h *host, minBuild int) bool {
	if h.health != Ready || h.build < minBuild || !d.hasBudget(h) || req.filter != nil && !req.filter.Allowed(h.id) {
		return false
	}
	if h.onTrial && (req.class.exposure.tokens < 1 || d.exposureCap <= 0 ||
		h.stage < d.settings.GuardedStages && req.class.Idempotency != Idempotent) {
		return false
	}
	if first := req.firstPossibleRun(); first != nil && req.class.Idempotency == IdempotentByKey {
		return req.class.DedupScope == AllHosts || h.zone == first.host.zone && (req.class.DedupScope == SameZone ||
			h.cell == first.host.cell)
	}
	return true
}

// isHealthyFor tells whether h shows no sign of being down and has not had c yet, as far as there are others.
func (d *decider) isHealthyFor(req *request, h *host) bool {
	return (h.ejectedUntil <= d.now || d.healthyHosts == 0) && (!req.triedOn(h) || len(req.attempts) >= len(d.hosts))
}

// nearest are the hosts of a build that c may go to now, of the nearest ring that has any.
func (d *decider) nearest(req *request, side, minBuild int) (all []*host) {
	distance := math.MaxInt
	for _, h := range d.hosts {
		if h.side() == side && h.distance <= distance && d.isHealthyFor(req, h) && d.mayUse(req, h, minBuild) {
			if h.distance < distance {
				distance, all = h.distance, all[:0]
			}
			all = append(all, h)
		}
	}
	return all
}

// pickOfTwo is the better of two random hosts of a build, or the first to be found where few are fine.
func (d *decider) pickOfTwo(req *request, side, minBuild int) (best *host) {
	pool, found, from := d.subset[side], 0, int(d.random()*float64(len(d.hosts)))
	if d.hasDistantHosts {
		pool = d.nearest(req, side, minBuild)
	}
	for i := 0; found < 2 && (i < 8 || found == 0 && i < 8+len(d.hosts)); i++ {
		h := best
		if i >= 8 {
			h = d.hosts[(from+i)%len(d.hosts)]
		} else if len(pool) > 0 {
			h = pool[int(d.random()*float64(len(pool)))]
		}
		if h != best && h.side() == side && d.isHealthyFor(req, h) && d.mayUse(req, h, minBuild) {
			if found++; best == nil || d.estimatedLoad(h) < d.estimatedLoad(best) {
				best = h
			}
		}
	}
	return best
}

// pickHost chooses the build by its share, then the better of two random hosts inside it.
func (d *decider) pickHost(req *request) *host {
	minBuild := d.minBuildFor(req.key)
	best, trial := d.pickOfTwo(req, 0, minBuild), d.pickOfTwo(req, 1, minBuild)
	onlyTrial := best == nil
	if trial != nil {
		trialCapacity := d.sideCapacity[1] * d.trialSpeedUp()
		share := trialCapacity / max(d.sideCapacity[0]+trialCapacity, 1e-3)            // its hosts' part of the capacity
		sentShare := d.fleetLoad[trialAttempts] / max(d.fleetLoad[sentAttempts], 1e-3) // of all routers, as a quiet one sends too little
		if d.settings.KeyAffinity {                                                    // commands of kept keys can go nowhere else
			share = (share - sentShare) / max(1-sentShare, 0.01)
		} else { // made up for commands that may not go there
			share += 4 * (share - sentShare)
		}
		if d.pausedAt > 0 && d.now < d.pausedAt+pauseDuration {
			share = 0
		} else if d.buildRejected {
			share /= 10 // a build that looks bad gets just enough to go on being judged
		} else if req.key != 0 && d.settings.KeyAffinity && minBuild < d.rollout.Build && d.now-d.keySeenAt[req.key] < 3*second {
			share = 0 // a key that comes often would tie more commands to the trial than the cap lets through
		}
		if onlyTrial || d.random() < share {
			best = trial
		}
	}
	if best == nil {
		return nil // rather wait for a host than try one that is down
	} else if d.warmth(best) < 1 {
		best.budget.take()
	}
	d.tickLoad[sentAttempts]++
	if best.onTrial {
		if req.class.exposure.take(); onlyTrial || !d.settings.KeyAffinity {
			d.tickLoad[trialAttempts]++
		}
	}
	return best
}

// estimatedLoad is how long a command would take at h: what is there, over what it can do, times how slow it has been.
func (d *decider) estimatedLoad(h *host) float64 {
	// a report says less the older it is
	queued := 1 + float64(h.inFlight) + h.queueLength*math.Exp(-float64(d.now-h.reportedAt)/float64(second))
	silentFor := float64(min(h.inFlight, 1)) * float64(d.now-h.silentSince) // a sign of life: paused, stalled or silent
	return queued / (h.capacity * d.warmth(h)) * d.slowness(h) * (1 + silentFor/d.meanLatency)
}

// slowness is a host's mean time over the typical one; it is forgotten over some seconds.
func (d *decider) slowness(h *host) float64 {
	return 1 + (h.relativeLatency-1)*math.Exp(-float64(d.now-h.latencyAt)/float64(5*second))
}

// expectedLatency is the time that the earlier build takes for such a command, by its band and its hint.
func (d *decider) expectedLatency(req *request) float64 {
	if req.cost <= 0 || req.class.cost <= 0 {
		return req.class.latency
	}
	return req.class.latency * min(4, max(0.25, float64(req.cost)/req.class.cost))
}

// updateHealth sets a host aside after signs that it is down, longer each time, and takes it back after an answer.
func (d *decider) updateHealth(h *host, result Result) {
	switch result {
	case Succeeded, Failed, InvalidAnswer:
		h.failures, h.ejectedUntil = 0, 0
	case Rejected:
		h.ejectedUntil = max(h.ejectedUntil, d.now+second/5) // a full queue needs a moment
	case ConnectFailed, ConnectionReset, TimedOut:
		if h.failures++; result != TimedOut || h.failures > 2 { // one slow answer is no sign of a dead host
			h.ejectedUntil = d.now + second/2<<min(h.failures, 4)
		}
	}
}

func (d *decider) applyLoadReport(h *host, values []float64) {
	for i, v := range values[:min(len(values), len(d.settings.LoadFields))] {
		if field := d.settings.LoadFields[i]; (field == QueueLength || field == InFlight) && v >= 0 && v < 1e6 {
			h.queueLength, h.reportedAt = v, d.now
		}
	}
}

func (d *decider) resetIfRestarted(h *host, entry Host) {
	if entry.StartedAt != h.startedAt || entry.Build != h.build || h.listedAt == 0 {
		if h.listedAt = d.now; entry.StartedAt == 0 { // it has run for long
			h.listedAt = 1
		}
		h.budget, h.creditTaken = bucket{d.random(), 1}, d.coldCredit // however many routers, each starts at its own time
		h.relativeLatency, h.failures, h.ejectedUntil = 1, 0, 0
	}
}
