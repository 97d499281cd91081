package retryguard

import "math"

// The limits during a retry storm are multiples of the baseline from normal traffic. A limit grows while it rejects requests and
// admitted requests are answered with normal latency. The limits shrink when answers become slow or hosts reject requests.

// decayFactor is the decay per tick of the short-term averages, a time constant of about 0.6 s.
const decayFactor = 0.85

// Multipliers of rateFactor and concurrencyFactor per tick, and the bounds of both factors.
const (
	rateIncrease        = 1.07
	concurrencyIncrease = 1.03
	warmIncrease        = 1.2 // of both factors while hosts are warm, to lift unneeded limits quickly
	concurrencyDecrease = 0.97
	overloadDecrease    = 0.85 // of both factors
	minFactor           = 0.3
	maxFactor           = 3
)

// Ratios of the mean latency to its baseline. Below fastRatio the limits may grow, above slowRatio the concurrency limit
// shrinks, and above overloadedRatio both limits do.
const (
	fastRatio       = 1.25
	slowRatio       = 1.6
	overloadedRatio = 2.5
)

// probeShare is the fraction of the baseline work that a router still sends while no host seems to be up, to detect recovery.
const probeShare = 0.02

// tick updates all averages, detectors, limits and budgets. It runs once per tickInterval.
func (g *Guard) tick(now int64) {
	workRate := g.tickWork * float64(second/tickInterval)
	g.recentWorkRate += (1 - decayFactor) * (workRate - g.recentWorkRate)
	g.fingerprints.Sweep(now)
	g.currentCapacity = g.capacity.At(now)
	totalCapacity := g.capacity.Total()
	g.detectStorms(now)
	g.updateValues()
	if !g.anyStorm() {
		g.updateBaseline(totalCapacity)
	} else {
		g.adjustLimits()
	}
	g.refill(now)
	g.tickWork = 0
	for _, average := range []*float64{&g.answers, &g.latencyRatioSum, &g.overloadedAnswers, &g.rateLimited, &g.concurrencyLimited} {
		*average *= decayFactor
	}
}

// updateValues computes the value per work of each class, relative to the best class.
func (g *Guard) updateValues() {
	best := 0.0
	for i, class := range g.settings.Classes {
		g.value[i] = class.Value / g.latency[i]
		best = max(best, g.value[i])
	}
	for i := range g.value {
		g.value[i] /= max(best, 1e-9)
	}
}

// updateBaseline updates the baseline of capacity, work rate and concurrency and the customers' shares of the work. It is called
// only in normal traffic.
func (g *Guard) updateBaseline(totalCapacity float64) {
	g.baselineTicks++
	gain := max(0.01, 1/g.baselineTicks) // a time constant of 10 s, shorter at the start
	g.baselineCapacity += gain * (totalCapacity - g.baselineCapacity)
	if g.currentCapacity > 0.5*totalCapacity && totalCapacity > 0 {
		g.baselineConcurrency += gain * (g.inFlight/totalCapacity - g.baselineConcurrency)
		g.baselineWorkRate += gain * (g.tickWork*float64(second/tickInterval)/g.currentCapacity - g.baselineWorkRate)
	}
	total := 0.0
	for i := range g.customers {
		c := &g.customers[i]
		c.recentWork = 0.99*c.recentWork + c.work
		c.work = 0
		total += c.recentWork
	}
	for i := range g.customers {
		g.customers[i].share = g.customers[i].recentWork / total
	}
}

// adjustLimits changes the factors of the limits according to the latency of answers and the rejections by hosts.
func (g *Guard) adjustLimits() {
	for i := range g.customers {
		g.customers[i].work = 0
	}
	warmCapacity := g.capacity.Warm()
	warmth := 1.0
	if warmCapacity > 0 {
		warmth = g.currentCapacity / warmCapacity
	}
	collapsed := warmCapacity < collapseThreshold*g.baselineCapacity
	if collapsed && g.answers < 1 { // the limits from before the collapse may be too high for the hosts that return
		g.rateFactor = min(g.rateFactor, 1)
		g.concurrencyFactor = min(g.concurrencyFactor, 1)
		return
	}
	if g.answers < 0.5 {
		return
	}
	latencyRatio := g.latencyRatioSum / max(g.answers, 1e-3) * warmth // assumes that latency is inversely proportional to warmth
	isOverloaded := g.overloadedAnswers > 0.1*g.answers && g.overloadedAnswers >= 2
	switch {
	case latencyRatio > overloadedRatio || isOverloaded:
		g.rateFactor = max(minFactor, g.rateFactor*overloadDecrease)
		g.concurrencyFactor = max(minFactor, g.concurrencyFactor*overloadDecrease)
	case latencyRatio > slowRatio:
		g.concurrencyFactor = max(minFactor, g.concurrencyFactor*concurrencyDecrease)
	case latencyRatio < fastRatio && g.overloadedAnswers < 1:
		g.raiseLimits(warmth)
	}
}

// raiseLimits raises the factors of those limits that have recently rejected requests.
func (g *Guard) raiseLimits(warmth float64) {
	rateGain, concurrencyGain := rateIncrease, concurrencyIncrease
	if warmth > 0.95 {
		rateGain, concurrencyGain = warmIncrease, warmIncrease
	}
	if g.rateLimited > 0.3 {
		g.rateFactor = min(maxFactor, g.rateFactor*rateGain)
	}
	if g.concurrencyLimited > 0.3 {
		g.concurrencyFactor = min(maxFactor, g.concurrencyFactor*concurrencyGain)
	}
}

// workRate returns the work per second that this router may admit for the given capacity of the hosts: the baseline times
// rateFactor, but at least this router's share of one request at a time per host. The result is scaled by Ceiling and never
// below the probe rate.
func (g *Guard) workRate(capacity float64) float64 {
	routers := float64(g.settings.Routers)
	own := max(g.baselineWorkRate*g.rateFactor*capacity, capacity/routers)
	return max(g.settings.Ceiling*own, probeShare*g.baselineWorkRate*g.baselineCapacity, probeShare/routers)
}

// refill adds the work of one tick to the budgets and updates maxInFlight. During a retry storm it also updates the schedule.
func (g *Guard) refill(now int64) {
	rate := g.workRate(g.currentCapacity)
	maxCost := 0.0
	for _, cost := range g.latency {
		maxCost = max(maxCost, cost)
	}
	g.budget.refill(rate, maxCost)
	g.updateMaxInFlight()
	unused := 0.0
	for i := range g.customers {
		c := &g.customers[i]
		unused += c.refill(rate*c.share, maxCost)
	}
	g.unusedBudget = min(g.unusedBudget+unused, g.budget.limit(maxCost))
	if g.anyStorm() {
		g.forecastSchedule(now)
	}
}

// updateMaxInFlight sets maxInFlight from the baseline concurrency. By Little's law, that is what the baseline throughput needs at
// normal latency; more requests in flight at slower hosts would only add queueing delay.
func (g *Guard) updateMaxInFlight() {
	warmCapacity := g.capacity.Warm()
	expected := max(g.baselineConcurrency*warmCapacity, warmCapacity/float64(g.settings.Routers))
	g.maxInFlight = max(g.settings.Ceiling*g.concurrencyFactor*expected, probeShare*g.baselineConcurrency*g.baselineCapacity)
	g.maxInFlight += math.Sqrt(g.maxInFlight) // margin of one standard deviation for random arrivals; with little traffic the mean is below 1
}

// forecastPoints is the number of intervals between the times for which the capacity is computed. It is interpolated in between,
// as a sum over all hosts would be too expensive for each slot.
const forecastPoints = 16

// forecastSchedule sets the capacity of the schedule's slots: the work rate less the fraction kept for first tries. The schedule
// is overbooked by up to a factor of 1/0.3 if customers with low compliance are unlikely to arrive at their appointments.
func (g *Guard) forecastSchedule(now int64) {
	var forecast [forecastPoints + 1]float64
	for i := range forecast {
		forecast[i] = g.capacity.At(now + g.settings.Horizon*int64(i)/forecastPoints)
	}
	compliance := 0.0
	for i := range g.customers {
		compliance += g.customers[i].compliance * g.customers[i].share
	}
	retrySeconds := (1 - g.settings.FirstShare) * float64(slot) / float64(second) / max(0.3, compliance)
	g.schedule.Forecast(now, func(t int64) float64 {
		position := min(forecastPoints, max(0, float64(t-now)/float64(g.settings.Horizon)*forecastPoints))
		i := min(forecastPoints-1, int(position))
		return retrySeconds * g.workRate(forecast[i]+(forecast[i+1]-forecast[i])*(position-float64(i)))
	})
}
