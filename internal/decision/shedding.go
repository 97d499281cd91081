package decision

import "math"

// Admission: which requests a router rejects at once. Requests wait at hosts, so the load is the mean latency by Little's law;
// while it comes close to the latency target, the requests of least value for their work are shed.

// withinQuota and overQuota are indices of class.arrivals.
const (
	withinQuota = iota
	overQuota
)

// arrivalsDecay keeps a memory of a thousand requests.
const arrivalsDecay = 0.999

// maxPressure bounds the share of the requests that is shed.
const maxShedFraction = 0.9

// arrivalMix is the requests of late, compared with one of them.
type arrivalMix struct {
	total           float64
	lessValuable    float64 // those of less value for their work
	shortestTarget  float64 // latency target, nanoseconds
	weightedTargets float64 // sum of all latency targets
}

// shouldShed says whether a request is to be rejected.
func (d *decider) shouldShed(req *request) bool {
	quota := withinQuota
	if d.exceedsQuota(req) || req.deadline < req.target { // a client that gives up early has its work done for nothing
		quota = overQuota
	}
	req.class.arrivals[quota]++
	mix := d.summarizeArrivals(req.class, quota)
	d.updateShedFraction(mix.target(d.settings.MixedTargets))
	return d.shedFraction > 0 && d.random() < (d.shedFraction*mix.total-mix.lessValuable)/req.class.arrivals[quota]
}

// exceedsQuota says whether a request is beyond its customer's quota, by what all routers receive of that customer.
func (d *decider) exceedsQuota(req *request) bool {
	if req.customer >= len(d.settings.Customers) {
		return false
	}
	d.tickLoad[customerLoad+req.customer]++
	quota := d.settings.Customers[req.customer].PerSecond * float64(tickInterval) / float64(second)
	return d.random()*d.fleetLoad[customerLoad+req.customer]*d.reachableRouters > quota
}

// valueForWork is what a request of a class is worth, over the time that it takes.
func (d *decider) valueForWork(class *class, quota int) float64 {
	return class.Value / class.latency * [...]float64{withinQuota: 1, overQuota: d.settings.OverQuotaValue}[quota]
}

// mixArrivals sums the decayed arrivals of all classes, and compares them with those of one.
func (d *decider) summarizeArrivals(current *class, quota int) arrivalMix {
	mix := arrivalMix{shortestTarget: math.Inf(1)}
	value := d.valueForWork(current, quota)
	for _, class := range d.classes {
		mix.shortestTarget = min(mix.shortestTarget, float64(class.LatencyTarget))
		for i := range class.arrivals {
			class.arrivals[i] *= arrivalsDecay
			mix.total += class.arrivals[i]
			if d.valueForWork(class, i) < value {
				mix.lessValuable += class.arrivals[i]
			}
			mix.weightedTargets += class.arrivals[i] * float64(class.LatencyTarget)
		}
	}
	return mix
}

// target is the latency target that the load is compared with: the shortest, or the mean where they differ widely.
func (m arrivalMix) target(mixed bool) float64 {
	if mixed && m.total > 0 {
		return m.weightedTargets / m.total
	}
	return m.shortestTarget
}

// updatePressure sets the share of the requests to shed: none up to a mean latency of 0.7 of the target, most from 1.15, and
// all but a few while more than half of the room for open requests is taken.
func (d *decider) updateShedFraction(target float64) {
	perTick, routers, waiting := d.fleetLoad, d.reachableRouters, d.fleetLoad[openRequests]
	if d.tickLoad[openRequests] >= 5 { // enough for its own figures, which are newer
		perTick, routers, waiting = d.ownLoad, 1, d.tickLoad[openRequests]
	}
	// Requests at hosts that hang stay open, so they count for no more than what the answers took explains.
	openTime := min(waiting*float64(tickInterval), 2.5*perTick[answerSeconds]*float64(second))
	latency := openTime / max(perTick[answerCount], 0.1/routers)
	d.shedFraction = 2*latency/target - 1.4
	if waiting*routers < 5 || d.now-d.startedAt < 2*second { // too few to say, or averages that are not filled yet
		d.shedFraction = 0
	}
	openFraction := d.tickLoad[openRequests] / float64(d.settings.MaxOpen)
	d.shedFraction = min(maxShedFraction, max(d.shedFraction, 2*openFraction-1))
}
