package retryguard

// minCompliance is the share of appointments that are not come to early below which a customer is given none: its clients
// send when they like.
const minCompliance = 0.2

// complianceGain averages compliance over about the last fifty appointments.
const complianceGain = 0.02

// classify says how a request with an appointment is admitted: as expected at its time or after it, and otherwise as an
// unscheduled retry. Only a request that came before its wait was over counts against its customer's compliance: the
// wait that a client is given may be shorter than that until its appointment.
func (g *Guard) classifyAppointment(c *customer, now, rejectedAt, due int64) admissionClass {
	advised := due
	if g.settings.MaxRetryAfter > 0 {
		advised = min(due, rejectedAt+g.settings.MaxRetryAfter)
	}
	const tolerance = 2 * timeUnit // for the rounding of the fingerprints' times and of the wait's milliseconds
	if now < advised-max(tolerance, (advised-rejectedAt)/10) {
		g.Stats.EarlyRetries++
		c.compliance += complianceGain * (0 - c.compliance)
		return unscheduledRetry
	}
	g.Stats.ScheduledRetries++
	c.compliance += complianceGain * (1 - c.compliance)
	if now < due-slot {
		return unscheduledRetry
	}
	return scheduledRetry
}

// releaseAppointment takes back the work that was reserved for a request.
func (g *Guard) releaseAppointment(req *Request, cost float64) {
	if req.appointment > 0 {
		g.schedule.Release(req.appointment, cost)
		req.appointment = 0
	}
}

// appoint makes an appointment at least minWait from now, or keeps the one that the request came with, and returns how long
// the client is to wait.
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

// reserve makes an appointment, at a random time within its slot; 0 if no slot has room.
func (g *Guard) reserve(earliest int64, cost float64) int64 {
	at, ok := g.schedule.Reserve(earliest, cost)
	if !ok {
		g.Stats.AppointmentsUnavailable++
		return 0
	}
	g.Stats.Appointments++
	return at + int64(g.source.Float64()*float64(slot))
}

// waitUntil is the wait that a client is given for an appointment, 0 for none.
func (g *Guard) clientWait(now, due int64) int64 {
	maxWait := g.settings.MaxRetryAfter
	switch {
	case due == 0: // spread over the later half of the waits
		return maxWait/2 + int64(g.source.Float64()*float64(maxWait/2))
	case due-now > maxWait: // it will be rejected once more; not all at the same moment
		return maxWait - int64(g.source.Float64()*float64(maxWait/10))
	}
	return due - now
}
