package retryguard

import "math"

// The limits of a retry storm follow what calm traffic has shown. They grow while it is they that reject requests and admitted ones are
// answered as fast as usual, and shrink as soon as answers are slower or hosts reject requests.

// forgettingFactor is what the averages of the last half second keep each tick.
const decayFactor = 0.85

// How the factors of the limits change each tick, and their bounds.
const (
	rateIncrease        = 1.07
	concurrencyIncrease = 1.03
	warmIncrease        = 1.2 // of both at warm hosts, to find out soon that nothing is short
	concurrencyDecrease = 0.97
	overloadDecrease    = 0.85 // of both
	minFactor           = 0.3
	maxFactor           = 3
)

// Answers' latency over the usual: up to fastRatio the limits grow, beyond the others they shrink.
const (
	fastRatio       = 1.25
	slowRatio       = 1.6
	overloadedRatio = 2.5
)

// probeShare is the share of the usual work that a router sends if no host seems to be up, to find out.
const probeShare = 0.02

// tick does what is done once every tickInterval.
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

// updateValues sets what requests of each class are worth for their work, over the best class.
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

// learnCalm learns from calm traffic what the fleet does for this router, and the customers' shares of it.
func (g *Guard) updateBaseline(totalCapacity float64) {
	g.baselineTicks++
	gain := max(0.01, 1/g.baselineTicks) // a memory of 10 s, shorter at the start
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

// adjustLimits changes the factors of the limits by how answers come.
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
	if collapsed && g.answers < 1 { // that hosts were fast before they went says nothing of those that return
		g.rateFactor = min(g.rateFactor, 1)
		g.concurrencyFactor = min(g.concurrencyFactor, 1)
		return
	}
	if g.answers < 0.5 {
		return
	}
	latencyRatio := g.latencyRatioSum / max(g.answers, 1e-3) * warmth // cold hosts are slower by as much as they can do less
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

// raiseLimits raises the factors of those limits that have rejected requests.
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

// workRate is the work a second that this router may admit at hosts of some capacity: what calm traffic has shown times the
// factor, and no less than its part of one request at a time at each host.
func (g *Guard) workRate(capacity float64) float64 {
	routers := float64(g.settings.Routers)
	own := max(g.baselineWorkRate*g.rateFactor*capacity, capacity/routers)
	return max(g.settings.Ceiling*own, probeShare*g.baselineWorkRate*g.baselineCapacity, probeShare/routers)
}

// refill adds a tick's work to the budgets, and in a retry storm sets what appointments may be made for the next seconds.
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

// updateMaxInFlight allows as many requests in flight as in calm traffic, by Little's law: slower hosts need no more for the
// same throughput, and what queues at them delays what comes next.
func (g *Guard) updateMaxInFlight() {
	warmCapacity := g.capacity.Warm()
	expected := max(g.baselineConcurrency*warmCapacity, warmCapacity/float64(g.settings.Routers))
	g.maxInFlight = max(g.settings.Ceiling*g.concurrencyFactor*expected, probeShare*g.baselineConcurrency*g.baselineCapacity)
	g.maxInFlight += math.Sqrt(g.maxInFlight) // requests come by chance, and the mean of a router with few is below one
}

// forecastPoints is at how many times the capacity is forecast; between them it is interpolated, as the sum over all hosts is too
// expensive for each slot.
const forecastPoints = 16

// forecastSchedule sets the work for which appointments may be made: what first tries leave of the work rate. More are made
// than that if few are kept.
func (g *Guard) forecastSchedule(now int64) {
	var forecast [forecastPoints + 1]float64
	for i := range forecast {
		forecast[i] = g.capacity.At(now + g.settings.Horizon*int64(i)/forecastPoints)
	}
	compliance := 0.0
	for i := range g.customers {
		compliance += g.customers[i].compliance * g.customers[i].share
	}
	retryWork := (1 - g.settings.FirstShare) * float64(slot) / float64(second) / max(0.3, compliance)
	g.schedule.Forecast(now, func(t int64) float64 {
		position := min(forecastPoints, max(0, float64(t-now)/float64(g.settings.Horizon)*forecastPoints))
		i := min(forecastPoints-1, int(position))
		return retryWork * g.workRate(forecast[i]+(forecast[i+1]-forecast[i])*(position-float64(i)))
	})
}
