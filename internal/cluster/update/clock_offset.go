package update

// Times on a line are by the clock of who speaks: it is anchored when its process starts and never steps, and may be hours
// from anybody else's. Who hears them puts its own clock's time in their place, by an Offset of that line, so that no time of
// day goes from one process to another.

// driftDivisor is by how much two clocks may come apart in a while: one part in so many.
const driftDivisor = 10_000

// ClockOffset is by how much the clock of who speaks on a line is ahead of who hears, nanoseconds. The way of a word makes it less,
// never more, so the greatest of late holds: a time that is told is never taken for earlier than it was, but by drift. The
// zero Offset changes nothing, as of processes that tell no time.
type ClockOffset struct {
	ahead, at int64
	known     bool
}

// Observe takes a word's time, by the clock of who said it, as it comes now; 0 is none.
func (o *ClockOffset) Observe(theirs, now int64) {
	if theirs == 0 {
		return
	}
	ahead := theirs - now
	if o.known {
		ahead = max(ahead, o.ahead-max(0, now-o.at)/driftDivisor)
	}
	*o = ClockOffset{ahead, now, true}
}

// Ahead is by how much the other's clock is ahead.
func (o ClockOffset) Ahead() int64 { return o.ahead }

// ToLocal is a time that was told, by this process's clock; 0 stays 0.
func (o ClockOffset) ToLocal(theirs int64) int64 {
	if theirs == 0 {
		return 0
	}
	return theirs - o.ahead
}

// ToLocal is a note that was told, with its times by this process's clock. A router's Since is a version and no time: whoever
// takes a router up gives it a higher one.
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
		ejection.EjectedUntil, ejection.ProbationUntil = offset.ToLocal(ejection.EjectedUntil), offset.ToLocal(ejection.ProbationUntil)
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

// RolloutStart is when a service's newest rollout began, by the clock of whoever tells it, nanoseconds.
type RolloutStart struct {
	Service   string `json:"s"`
	Number    uint64 `json:"o"`
	StartedAt int64  `json:"b"`
}

// HasTimes tells whether a note holds times: then the word must tell one too.
func (c Change) HasTimes() bool {
	return c.Instance != nil && c.Instance.WarmUpUntil != 0 || c.Ejection != nil || c.Vote != nil || c.RolloutStartedAt != 0
}
