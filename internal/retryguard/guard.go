package retryguard

import "portflow/internal/random"

// Request is the guard's state of one request. The caller creates it and passes the same Request to all calls up to the final
// answer.
type Request struct {
	Class, Customer int
	Fingerprint     uint64 // from FingerprintOf, 0 for none
	Retry           bool   // the client marked the request as a retry
	Remaining       int64  // nanoseconds until the client gives up

	appointment int64 // time of the appointment that this retry was given, 0 for none
	admitted    bool  // admitted and without a final answer yet
	admittedAt  int64
}

// Guard is the admission control of one router against retry storms. It is not safe for concurrent use.
type Guard struct {
	settings     Settings
	source       random.Source
	capacity     *Capacity
	fingerprints *Fingerprints
	schedule     *Schedule
	Stats        Stats

	lastTime int64 // time of the latest call
	nextTick int64
	detector Detector // of all traffic

	customers       []customer
	latency         []float64 // by class: mean latency in seconds, used as the work of a request
	value           []float64 // by class: value per work, relative to the best class
	currentCapacity float64   // of all hosts

	// Baseline from normal traffic. Rates and concurrency are per unit of capacity.
	baselineTicks       float64
	baselineCapacity    float64
	baselineWorkRate    float64 // work done per second
	baselineConcurrency float64 // requests in flight

	// Limits during a retry storm.
	rateFactor        float64    // limit of the work rate, relative to the baseline
	concurrencyFactor float64    // limit of the concurrency, relative to the baseline
	budget            workBudget // of all customers
	unusedBudget      float64    // work that customers had budget for and did not use
	inFlight          float64    // admitted requests without a final answer
	maxInFlight       float64

	// Exponentially decayed by decayFactor, except as noted.
	tickWork           float64 // work done in this tick, not decayed
	recentWorkRate     float64 // moving average of the work done per second
	answers            float64
	latencyRatioSum    float64 // sum of the answers' latencies, each relative to the mean of its class
	overloadedAnswers  float64
	rateLimited        float64 // requests rejected because the budget was exceeded
	concurrencyLimited float64 // requests rejected because maxInFlight was reached
	unservedRequests   float64 // requests rejected by the decision engine or abandoned, decayed by decayFactors[0]
}

// customer is the state of one customer.
type customer struct {
	Detector
	workBudget
	work       float64 // of its requests in this tick
	recentWork float64 // of its requests in normal traffic, decayed with a time constant of 10 s
	share      float64 // fraction of the recent work of all customers
	compliance float64 // fraction of its retries with an appointment that did not arrive early
}

// initialRecentWork gives all customers the same share until there is traffic.
const initialRecentWork = 1e-3

// New returns a guard without hosts, or an error that names the first setting that is out of range.
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
		g.latency[i] = float64(class.LatencyTarget) / 5 / float64(second) // the same as decision.RequestClass.InitialLatency
	}
	return g, nil
}

// Bytes returns the memory of the fingerprints and the schedule. It is fixed, and no other memory depends on the traffic.
func (g *Guard) Bytes() int { return g.fingerprints.Bytes() + g.schedule.Bytes() }

// StormActive reports whether there is a retry storm in the traffic as a whole or in that of the given customer.
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

// Admit reports whether a new request may go on to the decision engine. If not, the caller must reject it at once, with a
// Retry-After of wait nanoseconds if wait is positive. Requests of an unknown class are always admitted.
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

// classifyRequest counts a request as a first try or a retry and returns its admission class. It takes the request's entry from
// the fingerprints and sets req.appointment.
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

// admitDuringStorm reports whether a request may be admitted during a retry storm and, if so, charges it to the budgets.
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

// belowMaxInFlight reports whether one more request may be in flight. maxInFlight need not be an integer: a remainder below 1
// admits one more request with that probability, so that a router with little traffic is not blocked.
func (g *Guard) belowMaxInFlight() bool {
	left := g.maxInFlight - g.inFlight
	return left >= 1 || left > 0 && g.source.Float64() < left
}

// markAdmitted counts the request as in flight and releases its appointment.
func (g *Guard) markAdmitted(req *Request, cost float64) {
	req.admitted = true
	req.admittedAt = g.lastTime
	g.inFlight++
	g.releaseAppointment(req, cost)
}

// finish ends the request's time in flight. It does nothing if the request is not in flight.
func (g *Guard) finish(req *Request) {
	if req.admitted {
		req.admitted = false
		g.inFlight--
	}
}

// AttemptStarted must be called for each attempt; number is the attempt's number within its request, from 0. During a retry storm,
// a retry by the decision engine is charged to the budget, although it never passes Admit.
func (g *Guard) AttemptStarted(now int64, req *Request, number int) {
	g.advance(now)
	if number > 0 && g.isKnownClass(req.Class) && g.StormActive(req.Customer) {
		g.budget.available -= g.latency[req.Class]
	}
}

// Rejected must be called when the decision engine rejects a request; wait is the Retry-After that the engine proposes. It
// returns the one to send: wait with a jitter of 50% in normal traffic, so that clients rejected together do not retry
// together, and the wait for an appointment during a retry storm.
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

// Abandoned must be called when a request fails or its client gives up.
func (g *Guard) Abandoned(now int64, req *Request) {
	g.advance(now)
	g.finish(req)
	g.unservedRequests++
	g.fingerprints.Put(req.Fingerprint, now, 0)
}

// AttemptEnded must be called at the end of each attempt. succeeded is true if this attempt answered the request; latency is the
// duration of the attempt in nanoseconds.
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

// recordAnswer updates the work done, the retry budget of the customer and, in normal traffic, the mean latency of the class.
func (g *Guard) recordAnswer(now int64, req *Request, latency int64) {
	expected := g.latency[req.Class]
	g.answers++
	g.latencyRatioSum += float64(now-req.admittedAt) / float64(second) / expected // since admission, including queueing and earlier attempts
	g.tickWork += expected
	c := g.customer(req.Customer)
	maxRetries := 10 + c.rate/expected // 10 plus the requests that the budget admits per second
	c.retryBudget = min(maxRetries, c.retryBudget+g.settings.Budget)
	if !g.anyStorm() {
		g.latency[req.Class] += 0.01 * (float64(latency)/float64(second) - expected) // moving average over about 100 answers
	}
}

// HostsChanged applies an update of the host list. If complete is true, hosts replaces the list; otherwise it has only the
// changed entries.
func (g *Guard) HostsChanged(now int64, complete bool, hosts []Host) {
	g.advance(now)
	g.capacity.HostsChanged(complete, hosts)
	g.currentCapacity = g.capacity.At(now)
}

// maxClockStep is the longest time between two calls for which ticks are made up; a longer one counts as a clock jump.
const maxClockStep = 10 * second

// advance runs the ticks that are due. After a clock jump, the next tick is at now.
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
