package retryguard

// minCompliance is the compliance at or below which a customer gets no new appointments, because its clients retry regardless
// of Retry-After.
const minCompliance = 0.2

// complianceGain is the weight of the newest sample in the moving average of compliance, which covers about 50 appointments.
const complianceGain = 0.02

// classifyAppointment returns the admission class of a retry whose appointment is at due: scheduledRetry from one slot before
// due, unscheduledRetry before that. The wait sent to a client is capped at MaxRetryAfter, so a client that honored it may
// still arrive before due. Only a retry that arrives before the end of that wait lowers its customer's compliance.
func (g *Guard) classifyAppointment(c *customer, now, rejectedAt, due int64) admissionClass {
	advised := due
	if g.settings.MaxRetryAfter > 0 {
		advised = min(due, rejectedAt+g.settings.MaxRetryAfter)
	}
	const tolerance = 2 * timeUnit // allows for the resolution of fingerprint times and of waits in milliseconds
	if now < advised-max(tolerance, (advised-rejectedAt)/10) {
		g.Stats.EarlyRetries++
		c.compliance += complianceGain * (0 - c.compliance)
		return unscheduledRetry
	}
	g.Stats.OnTimeRetries++
	c.compliance += complianceGain * (1 - c.compliance)
	if now < due-slot {
		return unscheduledRetry
	}
	return scheduledRetry
}

// releaseAppointment cancels the request's appointment, if any, and returns the reserved work to the schedule.
func (g *Guard) releaseAppointment(req *Request, cost float64) {
	if req.appointment > 0 {
		g.schedule.Release(req.appointment, cost)
		req.appointment = 0
	}
}

// makeAppointment records the request as rejected and returns the wait to send to its client. It keeps a future appointment of
// the request; otherwise it makes one at least minWait from now, if the customer is compliant and the schedule has capacity.
func (g *Guard) makeAppointment(now int64, req *Request, minWait int64) int64 {
	maxWait := g.settings.MaxRetryAfter
	cost := g.latency[req.Class]
	if maxWait <= 0 {
		g.releaseAppointment(req, cost)
		g.fingerprints.Put(req.Fingerprint, now, 0)
		return 0
	}
	if req.appointment <= now {
		g.releaseAppointment(req, cost)
	}
	due := req.appointment
	if due == 0 && req.Fingerprint != 0 && g.customer(req.Customer).compliance > minCompliance {
		due = g.reserve(now+max(minWait, maxWait/20), cost)
	}
	g.fingerprints.Put(req.Fingerprint, now, due)
	req.appointment = 0
	return g.clientWait(now, due)
}

// reserve reserves work in the schedule and returns a random time within the reserved slot, or 0 if no slot has capacity left.
func (g *Guard) reserve(earliest int64, cost float64) int64 {
	at, ok := g.schedule.Reserve(earliest, cost)
	if !ok {
		g.Stats.AppointmentsUnavailable++
		return 0
	}
	g.Stats.Appointments++
	return at + int64(g.source.Float64()*float64(slot))
}

// clientWait returns the wait to send to a client whose appointment is at due, or that has none if due is 0.
func (g *Guard) clientWait(now, due int64) int64 {
	maxWait := g.settings.MaxRetryAfter
	switch {
	case due == 0: // random in the upper half of the allowed range
		return maxWait/2 + int64(g.source.Float64()*float64(maxWait/2))
	case due-now > maxWait: // it retries before due and is rejected again; jitter spreads these retries
		return maxWait - int64(g.source.Float64()*float64(maxWait/10))
	}
	return due - now
}
