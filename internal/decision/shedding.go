package decision

import "math"

// Load shedding: which requests a router rejects on arrival. As requests queue at the hosts, the load is measured by the mean
// latency, derived from the number of open requests by Little's law. As the mean latency approaches the latency target, the
// requests with the lowest value per unit of work are shed.

// Indices of class.arrivals.
const (
	withinQuota = iota
	overQuota
)

// arrivalsDecay is the factor by which arrivals decay with each request: an average over about a thousand requests.
const arrivalsDecay = 0.999

// maxShedFraction is the upper bound of shedFraction.
const maxShedFraction = 0.9

// arrivalMix summarizes the decayed arrivals, compared with one request.
type arrivalMix struct {
	total           float64 // number of arrivals
	lessValuable    float64 // arrivals with a lower value per unit of work than the request
	shortestTarget  float64 // shortest latency target of any class, in nanoseconds
	weightedTargets float64 // sum of the latency targets of the arrivals, in nanoseconds
}

// shouldShed records the arrival of a request and reports whether to reject it.
func (d *decider) shouldShed(req *request) bool {
	quota := withinQuota
	if d.exceedsQuota(req) || req.deadline < req.target { // work for a client that gives up early is wasted
		quota = overQuota
	}
	req.class.arrivals[quota]++
	mix := d.summarizeArrivals(req.class, quota)
	d.updateShedFraction(mix.target(d.settings.MixedTargets))
	return d.shedFraction > 0 && d.random() < (d.shedFraction*mix.total-mix.lessValuable)/req.class.arrivals[quota]
}

// exceedsQuota counts a request of its customer, and reports whether it is beyond the customer's quota. If the rate over all
// routers exceeds the quota, requests are chosen at random so that the quota remains.
func (d *decider) exceedsQuota(req *request) bool {
	if req.customer >= len(d.settings.Customers) {
		return false
	}
	d.tickLoad[customerLoad+req.customer]++
	quota := d.settings.Customers[req.customer].PerSecond * float64(tickInterval) / float64(second)
	return d.random()*d.fleetLoad[customerLoad+req.customer]*d.reachableRouters > quota
}

// valueForWork returns the value of a request of a class per nanosecond of its mean latency.
func (d *decider) valueForWork(class *class, quota int) float64 {
	return class.Value / class.latency * [...]float64{withinQuota: 1, overQuota: d.settings.OverQuotaValue}[quota]
}

// summarizeArrivals decays the arrivals of all classes and compares them with a request of class current.
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

// target returns the latency target to compare the mean latency with: the mean over the arrivals if mixed is set, the shortest
// otherwise.
func (m arrivalMix) target(mixed bool) float64 {
	if mixed && m.total > 0 {
		return m.weightedTargets / m.total
	}
	return m.shortestTarget
}

// updateShedFraction sets the fraction of the requests to shed. By latency, it is 0 up to a mean latency of 0.7 of the target
// and reaches maxShedFraction at 1.15 of it. By open requests, it is 0 up to half of MaxOpen and reaches maxShedFraction at
// 95% of it. The larger one applies.
func (d *decider) updateShedFraction(target float64) {
	perTick, routers, waiting := d.fleetLoad, d.reachableRouters, d.fleetLoad[openRequests]
	if d.tickLoad[openRequests] >= 5 { // enough to use this router's own load, which is more recent
		perTick, routers, waiting = d.ownLoad, 1, d.tickLoad[openRequests]
	}
	// Requests at hosts that hang stay open without adding load, so the open time is capped by the latency of the answers.
	openTime := min(waiting*float64(tickInterval), 2.5*perTick[answerSeconds]*float64(second))
	latency := openTime / max(perTick[answerCount], 0.1/routers)
	d.shedFraction = 2*latency/target - 1.4
	if waiting*routers < 5 || d.now-d.startedAt < 2*second { // too few requests to judge, or the averages are not filled yet
		d.shedFraction = 0
	}
	openFraction := d.tickLoad[openRequests] / float64(d.settings.MaxOpen)
	d.shedFraction = min(maxShedFraction, max(d.shedFraction, 2*openFraction-1))
}
