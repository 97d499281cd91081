package retryguard

import (
	"math"

	"portflow/internal/random"
)

// Request is one command as a guard sees it. Its maker keeps it until the final answer.
type Request struct {
	Class, Customer int
	Fingerprint     uint64 // by Print
	Retry           bool   // its client says that it is a further one
	Remaining       int64  // until its client gives it up, nanoseconds

	appointment int64 // the appointment that it brought, 0 for none
	admitted    bool  // it was let in and has no final answer yet
	admittedAt  int64 // then
}

// Guard is one router's part. It is not safe for use by two goroutines.
type Guard struct {
	settings     Settings
	source       random.Source
	capacity     *Capacity
	fingerprints *Fingerprints
	schedule     *Schedule

	lastTime, nextTick              int64 // the latest time, and when the next tick is due
	detector                        Detector
	customers                       []customer
	latency                         []float64 // by band: seconds that its answers take
	value                           []float64 // by band: worth for its work, beside the best
	calmWorkRate                    float64   // work that was fulfilled, per capacity, in calm: seconds a second
	tickWork                        float64   // this tick's
	calmTicks                       float64
	rateFactor, concurrencyFactor   float64    // over what was shown: of the room, and of how many may be out
	recentWorkRate                  float64    // work that was fulfilled, a second
	budget                          workBudget // of all carriers
	unusedBudget                    float64    // what of it carriers left over
	calmCapacity                    float64    // what the fleet can do in calm
	inFlight                        float64    // tries that were let in and have no answer
	calmConcurrency                 float64    // in calm, for each size of the fleet
	maxInFlight                     float64    // how many may be out
	unservedRequests                float64    // tries, of the last second or so
	currentCapacity                 float64    // capacity
	answers                         float64    // of the last half second or so, and how much longer than usual they took
	relativeLatency                 float64
	overloadedAnswers               float64
	rateLimited, concurrencyLimited float64 // tries of late that were sent away for want of room, and with as many out as may be
	Stats                           Stats
}

type customer struct {
	Detector
	workBudget
	work, recentWork float64 // of its tries: this tick's, and that of the last 10 s of calm
	share            float64 // its part of all carriers'
	compliance       float64 // part of its appointments that are kept, not come to early
}

// Stats counts what a guard did.
type Stats struct {
	Storms, CustomerStorms                        int // begun: by all, by one carrier
	Rejected, AppointmentsKept, AppointmentsEarly int
	Appointments, NoAppointment                   int
	Hopeless                                      int   // too little time left for an answer
	FirstStormAt                                  int64 // when the first storm began
	ClockJumps                                    int   // of the clock
	FirstTries, Retries, KnownRetries             int   // tries: first ones, further ones, those of them that were known by their print
}

// New makes a guard, or tells which setting can't be.
func New(s Settings, seed uint64, now int64) (*Guard, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	lifetime := s.Horizon + 2*second
	for _, b := range s.Classes {
		lifetime = max(lifetime, s.Horizon+b.Timeout)
	}
	g := &Guard{settings: s, source: random.Source{Seed: seed}, capacity: NewCapacity(s.ColdCapacity, s.WarmUpTime),
		fingerprints: NewFingerprints(s.MemoryBytes, lifetime), schedule: NewSchedule(s.Horizon), lastTime: now, nextTick: now + tickInterval,
		detector: NewDetector(s.Threshold), customers: make([]customer, max(1, s.Customers)),
		latency: make([]float64, len(s.Classes)), value: make([]float64, len(s.Classes)), rateFactor: 1, concurrencyFactor: 1}
	for i := range g.customers {
		g.customers[i] = customer{Detector: NewDetector(s.Threshold), compliance: 1, recentWork: 1e-3,
			share: 1 / float64(len(g.customers))}
	}
	for i, b := range s.Classes {
		g.latency[i] = float64(b.LatencyTarget) / 5 / float64(second) // as the rules begin
	}
	return g, nil
}

// Bytes is what the tables of commands and appointments take; nothing else grows with traffic.
func (g *Guard) Bytes() int { return g.fingerprints.Bytes() + 20*len(g.schedule.capacity) }

// StormActive tells whether there is one: of all, or of a carrier.
func (g *Guard) StormActive(carrier int) bool { return g.detector.Storm || g.customer(carrier).Storm }

func (g *Guard) customer(n int) *customer { return &g.customers[min(max(0, n), len(g.customers)-1)] }

// Admit is told a try that has come; in tells whether it may go to the rules. Else it is to be dismissed at once, and
// its client told to wait, where that is above 0.
func (g *Guard) Admit(now int64, req *Request) (admitted bool, wait int64) {
	g.advance(now)
	if req.Class < 0 || req.Class >= len(g.latency) {
		return true, 0
	}
	c, cost := g.customer(req.Customer), g.latency[req.Class]
	rejectedAt, due, known := g.fingerprints.Take(req.Fingerprint, now)
	retry := known || req.Retry
	if g.detector.Count(retry); retry {
		g.Stats.Retries++
	} else {
		g.Stats.FirstTries++
	}
	if known {
		g.Stats.KnownRetries++
	}
	c.Count(retry)
	c.work += cost
	admission := firstTry
	if retry {
		admission = unscheduledRetry
	}
	if due > 0 {
		admission = g.classify(c, now, rejectedAt, due)
		req.appointment = due
	}
	if !g.StormActive(req.Customer) {
		g.admit(req, cost)
		return true, 0
	}
	hopeless := float64(req.Remaining) < 0.8*cost*float64(second)
	if hopeless {
		g.Stats.Hopeless++
	} else if !g.hasFreeSlot() {
		g.concurrencyLimited++
	} else if !c.admit(&g.budget, &g.unusedBudget, admission, cost, g.settings.FirstShare, g.value[req.Class]) {
		g.rateLimited++
	} else {
		g.admit(req, cost)
		return true, 0
	}
	g.Stats.Rejected++
	return false, g.appoint(now, req, 0)
}

// hasFreeSlot tells whether one more may be out. The bound of a quiet router is a part of one: it lets one in by that chance.
func (g *Guard) hasFreeSlot() bool {
	left := g.maxInFlight - g.inFlight
	return left >= 1 || left > 0 && g.source.Float64() < left
}

// classify tells how a try counts that was given an appointment: as expected at its time or after it; else as one of
// those that come by themselves. One that came before it was told to is a mark against its carrier's heed; one that
// came when it was told, which may be no later than the greatest advice, is none.
func (g *Guard) classify(c *customer, now, rejectedAt, due int64) admissionClass {
	advised := due
	if g.settings.MaxRetryAfter > 0 {
		advised = min(due, rejectedAt+g.settings.MaxRetryAfter)
	}
	const tolerance = 2 * timeUnit // what the prints' units and an advice's milliseconds lose
	if now < advised-max(tolerance, (advised-rejectedAt)/10) {
		g.Stats.AppointmentsEarly++
		c.compliance += 0.02 * (0 - c.compliance) // about the last fifty
		return unscheduledRetry
	}
	g.Stats.AppointmentsKept++
	c.compliance += 0.02 * (1 - c.compliance)
	if now < due-slot {
		return unscheduledRetry
	}
	return appointmentKept
}

// AttemptStarted is told of each hand-off; number counts a command's from 0. What the rules send beyond the first was not
// asked for, and takes its room all the same.
func (g *Guard) AttemptStarted(now int64, req *Request, number int) {
	g.advance(now)
	if number > 0 && req.Class >= 0 && req.Class < len(g.latency) && g.StormActive(req.Customer) {
		g.budget.available -= g.latency[req.Class]
	}
}

// admit lets a try in, and ends its appointment.
func (g *Guard) admit(req *Request, cost float64) {
	req.admitted, req.admittedAt = true, g.lastTime
	g.inFlight++
	g.releaseAppointment(req, cost)
}

// finish is told that a try has its answer.
func (g *Guard) finish(req *Request) {
	if req.admitted {
		req.admitted = false
		g.inFlight--
	}
}

// releaseAppointment takes back what was promised to a try.
func (g *Guard) releaseAppointment(req *Request, cost float64) {
	if req.appointment > 0 {
		g.schedule.Release(req.appointment, cost)
		req.appointment = 0
	}
}

// minCompliance is the part of kept appointments under which a carrier gets none: its clients come when they like.
const minCompliance = 0.2

// appoint makes an appointment, or goes on with the one that the try brought, and tells how long to wait.
func (g *Guard) appoint(now int64, req *Request, wait int64) int64 {
	maxWait := g.settings.MaxRetryAfter
	if maxWait <= 0 {
		g.releaseAppointment(req, g.latency[req.Class])
		g.fingerprints.Put(req.Fingerprint, now, 0)
		return 0
	}
	due, cost := req.appointment, g.latency[req.Class]
	if due <= now {
		g.releaseAppointment(req, cost)
		due = 0
	}
	if due == 0 && req.Fingerprint != 0 && g.customer(req.Customer).compliance > minCompliance {
		if at, ok := g.schedule.Reserve(now+max(wait, maxWait/20), cost); ok {
			due = at + int64(g.source.Float64()*float64(slot))
			g.Stats.Appointments++
		} else {
			g.Stats.NoAppointment++
		}
	}
	g.fingerprints.Put(req.Fingerprint, now, due)
	if req.appointment = 0; due == 0 { // none to be had: spread over the later half of what may be told
		return maxWait/2 + int64(g.source.Float64()*float64(maxWait/2))
	}
	if due-now > maxWait { // it will be sent away once more; not all in the same moment
		return maxWait - int64(g.source.Float64()*float64(maxWait/10))
	}
	return due - now
}

// Rejected is told that the rules turned a try away, and when they would have it back. It tells when that is to be:
// about then in calm, spread so that those who go together don't come together; by appointment in a storm.
func (g *Guard) Rejected(now int64, req *Request, wait int64) int64 {
	g.advance(now)
	g.finish(req)
	if req.Class < 0 || req.Class >= len(g.latency) {
		return wait
	}
	g.unservedRequests++
	if g.StormActive(req.Customer) {
		return g.appoint(now, req, wait)
	}
	g.fingerprints.Put(req.Fingerprint, now, 0)
	if wait > 0 {
		wait = min(g.settings.MaxRetryAfter, wait/2+int64(g.source.Float64()*float64(wait)))
	}
	return wait
}

// Abandoned is told that a try was scrapped, or that its client gave it up.
func (g *Guard) Abandoned(now int64, req *Request) {
	g.advance(now)
	g.finish(req)
	g.unservedRequests++
	g.fingerprints.Put(req.Fingerprint, now, 0)
}

// AttemptEnded is told the end of a hand-off of a band's command: its host, what it says of it, and how long it took.
func (g *Guard) AttemptEnded(now int64, req *Request, host uint32, signal Signal, fulfilled bool, latency int64) {
	g.advance(now)
	g.capacity.AttemptEnded(now, host, signal)
	if fulfilled {
		g.finish(req)
	}
	if req.Class < 0 || req.Class >= len(g.latency) {
		return
	}
	if signal == Overloaded {
		g.overloadedAnswers++
	}
	if fulfilled && latency > 0 {
		seconds := float64(latency) / float64(second)
		g.answers++
		g.relativeLatency += float64(now-req.admittedAt) / float64(second) / g.latency[req.Class] // with what it waited for a host
		g.tickWork += g.latency[req.Class]
		c := g.customer(req.Customer)
		c.retryBudget = min(10+c.rate/g.latency[req.Class], c.retryBudget+g.settings.Budget) // a second's worth
		if !g.anyStorm() {
			g.latency[req.Class] += 0.01 * (seconds - g.latency[req.Class])
		}
	}
}

// HostsChanged is told the list of hosts, or its changes.
func (g *Guard) HostsChanged(now int64, whole bool, hosts []Host) {
	g.advance(now)
	g.capacity.HostsChanged(whole, hosts)
	g.currentCapacity = g.capacity.At(now)
}

func (g *Guard) anyStorm() bool {
	if g.detector.Storm {
		return true
	}
	for i := range g.customers {
		if g.customers[i].Storm {
			return true
		}
	}
	return false
}

// advance plays the ticks that are due. After a clock that jumped, ticks begin anew.
func (g *Guard) advance(now int64) {
	if now < g.lastTime || now-g.lastTime > 10*second {
		if now < g.lastTime {
			g.Stats.ClockJumps++
		}
		g.nextTick = now
	}
	for g.lastTime = now; now >= g.nextTick; g.nextTick += tickInterval {
		g.tick(g.nextTick)
	}
}

// Figures of the pace, over what was shown in calm. Room, and what may be out, grow while it is they that hold tries
// back and what is let in is answered as quickly as before; they shrink as soon as it is not, or hosts turn commands
// away.
const (
	forgettingFactor                      = 0.85 // a tick, some six ticks
	rateIncrease, concurrencyIncrease     = 1.07, 1.03
	warmIncrease                          = 1.2 // at hosts that are warm: to find out at once that nothing is short
	concurrencyDecrease, overloadDecrease = 0.97, 0.85
	minFactor, maxFactor                  = 0.3, 3
	fastRatio, slowRatio, overloadedRatio = 1.25, 1.6, 2.5 // answers' time over the usual
)

func (g *Guard) tick(now int64) {
	g.recentWorkRate += (1 - forgettingFactor) * (g.tickWork*float64(second/tickInterval) - g.recentWorkRate)
	g.fingerprints.Sweep(now)
	g.currentCapacity = g.capacity.At(now)
	total := g.capacity.Total()
	g.detectStorms(now)
	best := 0.0
	for i, b := range g.settings.Classes {
		g.value[i] = b.Value / g.latency[i]
		best = max(best, g.value[i])
	}
	for i := range g.value {
		g.value[i] /= max(best, 1e-9)
	}
	if !g.anyStorm() {
		g.learnCalm(total)
	} else {
		g.adjustLimits()
	}
	g.refill(now)
	g.tickWork = 0
	for _, counter := range []*float64{&g.answers, &g.relativeLatency, &g.overloadedAnswers, &g.rateLimited, &g.concurrencyLimited} {
		*counter *= forgettingFactor
	}
}

// Figures of a collapse: hosts that could do so small a part of the usual, and commands that went unserved for it.
const collapsedShare, minUnserved = 0.5, 3

// detectStorms ends the detectors' tick. It is a storm of all where one shows without the carrier that has most of it, or
// where the hosts are gone: then the tries that went unserved are sure to come again.
func (g *Guard) detectStorms(now int64) {
	before := g.anyStorm()
	worst, others := 0, [2]excess{}
	hostsGone := g.currentCapacity < collapsedShare*g.calmCapacity && g.unservedRequests >= minUnserved
	g.unservedRequests *= forgettingFactors[0]
	for i := range g.customers {
		c := &g.customers[i]
		if c.Tick(false) {
			g.Stats.CustomerStorms++
		}
		if c.sums[0].retries > g.customers[worst].sums[0].retries {
			worst = i
		}
	}
	for i := range g.customers {
		if c := &g.customers[i]; i != worst || len(g.customers) == 1 {
			for k := range others {
				others[k].requests += c.sums[k].requests
				others[k].retries += c.sums[k].retries
			}
		}
	}
	wasStorm := g.detector.Storm
	g.detector.Tick(hostsGone)
	if g.detector.Storm && !wasStorm && !hostsGone && !others[0].exceeds(0, g.detector.calmShare) && !others[1].exceeds(0, g.detector.calmShare) {
		g.detector.Storm = false
	}
	if g.detector.Storm && !wasStorm {
		g.Stats.Storms++
	}
	if before != g.anyStorm() && !before {
		if g.Stats.FirstStormAt == 0 {
			g.Stats.FirstStormAt = now
		}
		g.startStorm()
	}
}

// learnCalm takes up what calm traffic shows: what the fleet carries for this router, and the carriers' parts of it.
func (g *Guard) learnCalm(totalCapacity float64) {
	g.calmTicks++
	gain := max(0.01, 1/g.calmTicks) // a memory of 10 s, sooner at the start
	if g.calmCapacity += gain * (totalCapacity - g.calmCapacity); g.currentCapacity > 0.5*totalCapacity && totalCapacity > 0 {
		g.calmConcurrency += gain * (g.inFlight/totalCapacity - g.calmConcurrency)
		g.calmWorkRate += gain * (g.tickWork*float64(second/tickInterval)/g.currentCapacity - g.calmWorkRate)
	}
	total := 0.0
	for i := range g.customers {
		c := &g.customers[i]
		c.recentWork, c.work = 0.99*c.recentWork+c.work, 0
		total += c.recentWork
	}
	for i := range g.customers {
		g.customers[i].share = g.customers[i].recentWork / total
	}
}

// adjustLimits moves the pace by how answers come.
func (g *Guard) adjustLimits() {
	for i := range g.customers {
		g.customers[i].work = 0
	}
	up, warm := g.capacity.Warm(), 1.0
	if up > 0 {
		warm = g.currentCapacity / up
	}
	latencyRatio := g.relativeLatency / max(g.answers, 1e-3) * warm // cold hosts take as much longer as they can do less
	if up < collapsedShare*g.calmCapacity && g.answers < 1 {        // what was quick before they went says nothing of those that return
		g.rateFactor, g.concurrencyFactor = min(g.rateFactor, 1), min(g.concurrencyFactor, 1)
		return
	}
	if g.answers < 0.5 {
		return
	}
	switch {
	case latencyRatio > overloadedRatio || g.overloadedAnswers > 0.1*g.answers && g.overloadedAnswers >= 2:
		g.rateFactor, g.concurrencyFactor = max(minFactor, g.rateFactor*overloadDecrease), max(minFactor, g.concurrencyFactor*overloadDecrease)
	case latencyRatio > slowRatio:
		g.concurrencyFactor = max(minFactor, g.concurrencyFactor*concurrencyDecrease)
	case latencyRatio < fastRatio && g.overloadedAnswers < 1:
		rateGain, concurrencyGain := rateIncrease, concurrencyIncrease
		if warm > 0.95 {
			rateGain, concurrencyGain = warmIncrease, warmIncrease
		}
		if g.rateLimited > 0.3 {
			g.rateFactor = min(maxFactor, g.rateFactor*rateGain)
		}
		if g.concurrencyLimited > 0.3 {
			g.concurrencyFactor = min(maxFactor, g.concurrencyFactor*concurrencyGain)
		}
	}
}

// startStorm sets the pace by what the hosts do as a storm begins.
func (g *Guard) startStorm() {
	g.rateFactor, g.concurrencyFactor = 1, 1
	if g.currentCapacity >= collapsedShare*g.calmCapacity && g.calmWorkRate > 0 {
		g.rateFactor = min(maxFactor, max(1, g.recentWorkRate/(g.calmWorkRate*g.currentCapacity)))
		g.concurrencyFactor = g.rateFactor
	}
	g.budget.available *= g.source.Float64() // however many routers, each begins at its own time
	g.rateLimited, g.concurrencyLimited = 0, 0
}

// workRate is the work that this router may let in at hosts of some capacity: what it showed them to carry, as far as the
// pace goes, and never less than its part of one command at a time at each host. Where none seems up, a fiftieth goes
// on finding out.
func (g *Guard) workRate(capacity float64) float64 {
	own := max(g.calmWorkRate*g.rateFactor*capacity, capacity/float64(g.settings.Routers))
	return max(g.settings.Ceiling*own, 0.02*g.calmWorkRate*g.calmCapacity, 0.02/float64(g.settings.Routers))
}

// refill lets a tick's room into the pools, and books by the room of the next seconds.
func (g *Guard) refill(now int64) {
	rate, cost := g.workRate(g.currentCapacity), 0.0
	for _, t := range g.latency {
		cost = max(cost, t)
	}
	g.budget.refill(rate, cost)
	// as many may be out as in calm, by Little's law: hosts that are slower need no more for the same use, and what
	// queues at them holds back what comes next
	warmCapacity := g.capacity.Warm()
	g.maxInFlight = max(g.settings.Ceiling*g.concurrencyFactor*max(g.calmConcurrency*warmCapacity, warmCapacity/float64(g.settings.Routers)), 0.02*g.calmConcurrency*g.calmCapacity)
	g.maxInFlight += math.Sqrt(g.maxInFlight) // as they come by chance, and a quiet router's mean is less than one
	unused := 0.0
	for i := range g.customers {
		c := &g.customers[i]
		unused += c.refill(rate*c.share, cost)
	}
	g.unusedBudget = min(g.unusedBudget+unused, g.budget.limit(cost))
	if !g.anyStorm() {
		return
	}
	// the forecast at some points, as the sum over all hosts is too dear for each slot
	const points = 16
	var forecast [points + 1]float64
	for i := range forecast {
		forecast[i] = g.capacity.At(now + g.settings.Horizon*int64(i)/points)
	}
	compliance := 0.0
	for i := range g.customers {
		compliance += g.customers[i].compliance * g.customers[i].share
	}
	part := (1 - g.settings.FirstShare) * float64(slot) / float64(second) / max(0.3, compliance)
	g.schedule.Forecast(now, func(t int64) float64 {
		position := min(points, max(0, float64(t-now)/float64(g.settings.Horizon)*points))
		i := min(points-1, int(position))
		return part * g.workRate(forecast[i]+(forecast[i+1]-forecast[i])*(position-float64(i)))
	})
}
