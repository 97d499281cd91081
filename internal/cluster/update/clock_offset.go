package update

// driftDivisor bounds the relative drift of two clocks, which is at most 1/driftDivisor.
const driftDivisor = 10_000

// ClockOffset estimates how far the clock of the process at the other end of a stream is ahead of the local clock, in nanoseconds.
//
// Times on a stream are on the sender's clock, which is set when its process starts, never steps, and may differ from other clocks by
// hours. The receiver converts them to its own clock, so processes don't depend on each other's time of day. Message delay only ever
// lowers the observed offset, so the maximum of recent observations is kept, reduced by the possible drift. A converted time is
// therefore never too early, apart from drift. The zero value converts nothing; it applies to processes that send no time.
type ClockOffset struct {
	ahead, observedAt int64
	known             bool
}

// Observe updates the estimate with theirs, the sender's clock in a message received at now. It ignores a zero theirs: the message has no
// time.
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

// Ahead returns the estimated offset in nanoseconds, 0 if no time has been observed.
func (o ClockOffset) Ahead() int64 { return o.ahead }

// ToLocal converts a received time to the local clock. Zero, which means no time, stays zero.
func (o ClockOffset) ToLocal(theirs int64) int64 {
	if theirs == 0 {
		return 0
	}
	return theirs - o.ahead
}

// ToLocal returns a received change with its times converted to the local clock; c's objects are not modified. Proxy.RegisteredAt is
// not converted because it is used as a version: a control process that registers a proxy again raises it.
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

// HasTimes reports whether c has times. A message with such a change must include the sender's clock (Message.Now).
func (c Change) HasTimes() bool {
	return c.Instance != nil && c.Instance.WarmUpUntil != 0 || c.Ejection != nil || c.Vote != nil || c.RolloutStartedAt != 0
}
