package retryguard

// A collapse of the hosts is the cause of a retry storm by itself: retries are sure to come.
const (
	collapseThreshold = 0.5 // hosts can do less than this share of the usual
	minUnserved       = 3   // requests that went unserved for it
)

// detectStorms ends the detectors' tick, and starts a retry storm if there is none yet.
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

// tickCustomers ends the tick of the customers' detectors, and returns the customer with most retries.
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

// tickAll ends the tick of the detector of all traffic. Its retry storm counts only if it shows without the worst customer too,
// whose own detector limits it, or if the hosts collapsed.
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

// sumOthers is the retries of all customers but one; of the only one, if there is one.
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

// startStorm sets the limits by what the hosts do as a retry storm begins.
func (g *Guard) startStorm() {
	g.rateFactor = 1
	g.concurrencyFactor = 1
	if g.currentCapacity >= collapseThreshold*g.baselineCapacity && g.baselineWorkRate > 0 {
		g.rateFactor = min(maxFactor, max(1, g.recentWorkRate/(g.baselineWorkRate*g.currentCapacity)))
		g.concurrencyFactor = g.rateFactor
	}
	g.budget.available *= g.source.Float64() // however many routers there are, each begins at its own time
	g.rateLimited = 0
	g.concurrencyLimited = 0
}
