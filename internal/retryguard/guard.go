package retryguard

import "portflow/internal/random"

// Request is one request as a guard sees it. Its maker keeps it until the final answer.
type Request struct {
	Class, Customer int
	Fingerprint     uint64 // by FingerprintOf
	Retry           bool   // the client says that it has sent the request before
	Remaining       int64  // nanoseconds until the client gives up

	appointment int64 // that it came with, 0 for none
	admitted    bool  // it was admitted and has no final answer yet
	admittedAt  int64
}

// Guard guards one router. It is not safe for concurrent use.
type Guard struct {
	settings     Settings
	source       random.Source
	capacity     *Capacity
	fingerprints *Fingerprints
	schedule     *Schedule
	Stats        Stats

	lastTime int64 // of the latest call
	nextTick int64
	detector Detector // of all traffic

	customers       []customer
	latency         []float64 // mean by class, in seconds: the work of a request
	value           []float64 // by class: value for its work, over that of the best class
	currentCapacity float64   // of all hosts

	// What calm traffic has shown.
	baselineTicks       float64
	baselineCapacity    float64
	baselineWorkRate    float64 // work done a second, for each unit of capacity
	baselineConcurrency float64 // requests in flight, for each unit of capacity

	// The limits of a retry storm.
	rateFactor        float64    // of the work rate, over that of calm traffic
	concurrencyFactor float64    // of the concurrency, over that of calm traffic
	budget            workBudget // of all customers
	unusedBudget      float64    // work that customers had budget for and did not need
	inFlight          float64    // admitted requests without an answer
	maxInFlight       float64

	// Of the last half second or so.
	tickWork           float64 // work done in this tick
	recentWorkRate     float64 // work done, a second
	answers            float64
	latencyRatioSum    float64 // sum of the answers' latencies over the usual
	overloadedAnswers  float64
	rateLimited        float64 // requests rejected for want of budget
	concurrencyLimited float64 // requests rejected as maxInFlight were in flight
	unservedRequests   float64 // requests that ended without an answer, of the last second or so
}

// customer is what is known of one customer.
type customer struct {
	Detector
	workBudget
	work       float64 // of its requests in this tick
	recentWork float64 // the same of the last 10 s of calm
	share      float64 // its part of the recent work of all customers
	compliance float64 // share of its appointments that are not come to early
}

// initialRecentWork makes the customers' shares equal until there is traffic.
const initialRecentWork = 1e-3

// New makes a guard. An error says which setting is out of its bounds.
func New(s Settings, seed uint64, now int64) (*Guard, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	g := &Guard{
		settings:          s,
		source:            random.Source{Seed: seed},
		capacity:          NewCapacity(s.ColdCapacity, s.WarmUpTime),
		fingerprints:      NewFingerprints(s.MemoryBytes, s.fingerprintLifetime()),
		schedule:          NewSchedule(s.Horizon),
		lastTime:          now,
		nextTick:          now + tickInterval,
		detector:          NewDetector(s.Threshold),
		customers:         make([]customer, max(1, s.Customers)),
		latency:           make([]float64, len(s.Classes)),
		value:             make([]float64, len(s.Classes)),
		rateFactor:        1,
		concurrencyFactor: 1,
	}
	for i := range g.customers {
		g.customers[i] = customer{
			Detector:   NewDetector(s.Threshold),
			compliance: 1,
			recentWork: initialRecentWork,
			share:      1 / float64(len(g.customers)),
		}
	}
	for i, class := range s.Classes {
		g.latency[i] = float64(class.LatencyTarget) / 5 / float64(second) // as decision.RequestClass.InitialLatency
	}
	return g, nil
}

// Bytes is the memory of the tables of fingerprints and of the schedule; nothing else grows with traffic.
func (g *Guard) Bytes() int { return g.fingerprints.Bytes() + g.schedule.Bytes() }

// StormActive says whether there is a retry storm of all traffic, or of this customer.
func (g *Guard) StormActive(customer int) bool { return g.detector.Storm || g.customer(customer).Storm }

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

func (g *Guard) customer(n int) *customer { return &g.customers[min(max(0, n), len(g.customers)-1)] }

func (g *Guard) isKnownClass(class int) bool { return class >= 0 && class < len(g.latency) }

// Admit decides whether a request that has come goes on to the decision engine. If not, it is to be rejected at once, and
// its client may be asked to wait for so long, if that is above 0.
func (g *Guard) Admit(now int64, req *Request) (admitted bool, wait int64) {
	g.advance(now)
	if !g.isKnownClass(req.Class) {
		return true, 0
	}
	c := g.customer(req.Customer)
	cost := g.latency[req.Class]
	admission := g.classifyRequest(now, c, req)
	c.work += cost
	if !g.StormActive(req.Customer) || g.admitDuringStorm(c, req, admission, cost) {
		g.markAdmitted(req, cost)
		return true, 0
	}
	g.Stats.Rejected++
	return false, g.makeAppointment(now, req, 0)
}

// recognize says whether a request is a first try or a retry, with or without an appointment, and counts it.
func (g *Guard) classifyRequest(now int64, c *customer, req *Request) admissionClass {
	rejectedAt, due, known := g.fingerprints.Take(req.Fingerprint, now)
	isRetry := known || req.Retry
	g.detector.Count(isRetry)
	c.Count(isRetry)
	admission := firstTry
	if isRetry {
		g.Stats.Retries++
		admission = unscheduledRetry
	} else {
		g.Stats.FirstTries++
	}
	if known {
		g.Stats.FingerprintMatches++
	}
	if due > 0 {
		admission = g.classifyAppointment(c, now, rejectedAt, due)
		req.appointment = due
	}
	return admission
}

// hasRoom says whether a request may be admitted during a retry storm, and takes its work from the budgets.
func (g *Guard) admitDuringStorm(c *customer, req *Request, admission admissionClass, cost float64) bool {
	cannotFinish := float64(req.Remaining) < 0.8*cost*float64(second)
	switch {
	case cannotFinish:
		g.Stats.InsufficientTime++
	case !g.belowMaxInFlight():
		g.concurrencyLimited++
	case !c.admit(&g.budget, &g.unusedBudget, admission, cost, g.settings.FirstShare, g.value[req.Class]):
		g.rateLimited++
	default:
		return true
	}
	return false
}

// hasFreeSlot says whether one more request may be in flight. The limit of a router with little traffic may be less than
// one: then it admits one with that probability.
func (g *Guard) belowMaxInFlight() bool {
	left := g.maxInFlight - g.inFlight
	return left >= 1 || left > 0 && g.source.Float64() < left
}

// admit admits a request, and ends its appointment.
func (g *Guard) markAdmitted(req *Request, cost float64) {
	req.admitted = true
	req.admittedAt = g.lastTime
	g.inFlight++
	g.releaseAppointment(req, cost)
}

// finish counts a request as not in flight any more.
func (g *Guard) finish(req *Request) {
	if req.admitted {
		req.admitted = false
		g.inFlight--
	}
}

// AttemptStarted is called with each attempt; number counts those of a request from 0. A retry of the decision engine was
// not admitted by itself, and takes its work from the budget all the same.
func (g *Guard) AttemptStarted(now int64, req *Request, number int) {
	g.advance(now)
	if number > 0 && g.isKnownClass(req.Class) && g.StormActive(req.Customer) {
		g.budget.available -= g.latency[req.Class]
	}
}

// Rejected is called when the decision engine rejects a request, with the wait that it would have. It returns the wait for
// the client: about the same in calm traffic, spread so that requests that are rejected together do not return together,
// and that until an appointment in a retry storm.
func (g *Guard) Rejected(now int64, req *Request, wait int64) int64 {
	g.advance(now)
	g.finish(req)
	if !g.isKnownClass(req.Class) {
		return wait
	}
	g.unservedRequests++
	if g.StormActive(req.Customer) {
		return g.makeAppointment(now, req, wait)
	}
	g.fingerprints.Put(req.Fingerprint, now, 0)
	if wait > 0 {
		wait = min(g.settings.MaxRetryAfter, wait/2+int64(g.source.Float64()*float64(wait)))
	}
	return wait
}

// Abandoned is called when a request fails, or its client gives up.
func (g *Guard) Abandoned(now int64, req *Request) {
	g.advance(now)
	g.finish(req)
	g.unservedRequests++
	g.fingerprints.Put(req.Fingerprint, now, 0)
}

// AttemptEnded is called with the end of an attempt: its host, what the end says of it, whether the request succeeded, and
// how long the attempt took.
func (g *Guard) AttemptEnded(now int64, req *Request, host uint32, signal Signal, succeeded bool, latency int64) {
	g.advance(now)
	g.capacity.AttemptEnded(now, host, signal)
	if succeeded {
		g.finish(req)
	}
	if !g.isKnownClass(req.Class) {
		return
	}
	if signal == Overloaded {
		g.overloadedAnswers++
	}
	if succeeded && latency > 0 {
		g.recordAnswer(now, req, latency)
	}
}

// recordAnswer counts the work that was done.
func (g *Guard) recordAnswer(now int64, req *Request, latency int64) {
	expected := g.latency[req.Class]
	g.answers++
	g.latencyRatioSum += float64(now-req.admittedAt) / float64(second) / expected // with the time that it waited for a host
	g.tickWork += expected
	c := g.customer(req.Customer)
	maxRetries := 10 + c.rate/expected // those of a second
	c.retryBudget = min(maxRetries, c.retryBudget+g.settings.Budget)
	if !g.anyStorm() {
		g.latency[req.Class] += 0.01 * (float64(latency)/float64(second) - expected) // about the last hundred
	}
}

// HostsChanged is called with the complete list of hosts, or with changes.
func (g *Guard) HostsChanged(now int64, complete bool, hosts []Host) {
	g.advance(now)
	g.capacity.HostsChanged(complete, hosts)
	g.currentCapacity = g.capacity.At(now)
}

// maxClockStep is the most time between two calls; after a longer one the clock is taken to have jumped.
const maxClockStep = 10 * second

// advance does the ticks that are due. After a jump of the clock, ticks begin anew.
func (g *Guard) advance(now int64) {
	if now < g.lastTime {
		g.Stats.ClockJumps++
		g.nextTick = now
	}
	if now-g.lastTime > maxClockStep {
		g.nextTick = now
	}
	g.lastTime = now
	for now >= g.nextTick {
		g.tick(g.nextTick)
		g.nextTick += tickInterval
	}
}
