package retryguard

// A collapse of the hosts' capacity starts a retry storm at once, as retries are certain to follow.
const (
	collapseThreshold = 0.5 // of the baseline capacity; less counts as a collapse
	minUnserved       = 3   // unserved requests that are required as well
)

// detectStorms ends the tick of all detectors. It initializes the limits if a retry storm began and there was none before.
func (g *Guard) detectStorms(now int64) {
	before := g.anyStorm()
	collapsed := g.currentCapacity < collapseThreshold*g.baselineCapacity && g.unservedRequests >= minUnserved
	g.unservedRequests *= decayFactors[0]
	worst := g.tickCustomers()
	g.tickAllTraffic(collapsed, worst)
	if before || !g.anyStorm() {
		return
	}
	if g.Stats.FirstStormAt == 0 {
		g.Stats.FirstStormAt = now
	}
	g.startStorm()
}

// tickCustomers ends the tick of the customers' detectors and returns the customer with the most excess retries.
func (g *Guard) tickCustomers() (worst int) {
	for i := range g.customers {
		c := &g.customers[i]
		if c.Tick(false) {
			g.Stats.CustomerStorms++
		}
		if c.sums[0].retries > g.customers[worst].sums[0].retries {
			worst = i
		}
	}
	return worst
}

// tickAllTraffic ends the tick of the detector of all traffic. Unless the hosts' capacity collapsed, it ignores a retry storm that
// is due to the worst customer alone, as that customer's own detector covers it.
func (g *Guard) tickAllTraffic(collapsed bool, worst int) {
	others := g.sumOtherCustomers(worst)
	began := g.detector.Tick(collapsed)
	if !began {
		return
	}
	isWidespread := others[0].exceeds(0, g.detector.baselineRatio) || others[1].exceeds(0, g.detector.baselineRatio)
	if !collapsed && !isWidespread {
		g.detector.Storm = false
		return
	}
	g.Stats.Storms++
}

// sumOtherCustomers returns the sums of the detectors of all customers but one. If there is only one customer, it is included.
func (g *Guard) sumOtherCustomers(excluded int) (others [2]excess) {
	for i := range g.customers {
		if i == excluded && len(g.customers) > 1 {
			continue
		}
		for k, sum := range g.customers[i].sums {
			others[k].requests += sum.requests
			others[k].retries += sum.retries
		}
	}
	return others
}

// startStorm sets the initial limits of a retry storm to the baseline or, unless the hosts' capacity collapsed, to the recent work
// rate if that is higher.
func (g *Guard) startStorm() {
	g.rateFactor = 1
	g.concurrencyFactor = 1
	if g.currentCapacity >= collapseThreshold*g.baselineCapacity && g.baselineWorkRate > 0 {
		g.rateFactor = min(maxFactor, max(1, g.recentWorkRate/(g.baselineWorkRate*g.currentCapacity)))
		g.concurrencyFactor = g.rateFactor
	}
	g.budget.available *= g.source.Float64() // random, so that many routers do not admit their first requests in step
	g.rateLimited = 0
	g.concurrencyLimited = 0
}
