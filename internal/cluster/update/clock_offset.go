package update

// driftDivisor bounds the drift of two clocks: they come apart by at most one part in so many.
const driftDivisor = 10_000

// ClockOffset is how far the clock of a stream's other process is ahead of this process's clock, in nanoseconds.
//
// Times on a stream are of the sender's clock, which is set when its process starts, never steps, and may differ from other clocks by
// hours. The receiver converts them to its own clock, so that no time of day is sent between processes. The delay of a message makes
// the observed offset smaller, never greater, so that the greatest recent one is kept: a received time is never taken for earlier
// than it was, but for drift. The zero value converts nothing, as for processes that send no time.
type ClockOffset struct {
	ahead, observedAt int64
	known             bool
}

// Observe updates the offset by the sender's clock in a message that is received now; 0 means that the message has none.
func (o *ClockOffset) Observe(theirs, now int64) {
	if theirs == 0 {
		return
	}
	ahead := theirs - now
	if o.known {
		drift := max(0, now-o.observedAt) / driftDivisor
		ahead = max(ahead, o.ahead-drift)
	}
	*o = ClockOffset{ahead: ahead, observedAt: now, known: true}
}

// Ahead returns by how many nanoseconds the other clock is ahead.
func (o ClockOffset) Ahead() int64 { return o.ahead }

// ToLocal converts a received time to this process's clock; 0, no time, stays 0.
func (o ClockOffset) ToLocal(theirs int64) int64 {
	if theirs == 0 {
		return 0
	}
	return theirs - o.ahead
}

// ToLocal returns a received change with its times converted to this process's clock. Proxy.RegisteredAt is a version and no time: a
// control process that registers a proxy gives it a higher one.
func (c Change) ToLocal(offset ClockOffset) Change {
	if !offset.known {
		return c
	}
	if c.Instance != nil && c.Instance.WarmUpUntil != 0 {
		instance := *c.Instance
		instance.WarmUpUntil = offset.ToLocal(instance.WarmUpUntil)
		c.Instance = &instance
	}
	if c.Ejection != nil {
		ejection := *c.Ejection
		ejection.EjectedUntil = offset.ToLocal(ejection.EjectedUntil)
		ejection.ProbationUntil = offset.ToLocal(ejection.ProbationUntil)
		c.Ejection = &ejection
	}
	if c.Vote != nil {
		vote := *c.Vote
		vote.ReceivedAt = offset.ToLocal(vote.ReceivedAt)
		c.Vote = &vote
	}
	c.RolloutStartedAt = offset.ToLocal(c.RolloutStartedAt)
	return c
}

// HasTimes reports whether a change has times: then its message must have the sender's clock.
func (c Change) HasTimes() bool {
	return c.Instance != nil && c.Instance.WarmUpUntil != 0 || c.Ejection != nil || c.Vote != nil || c.RolloutStartedAt != 0
}
