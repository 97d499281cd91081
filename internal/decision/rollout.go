package decision

import "slices"

// RolloutState is where the rollout of a build is.
type RolloutState uint8

// The states of a rollout.
const (
	OnTrial RolloutState = iota
	RollingBack
	Released
	RolledBack
)

// Rollout is what the platform says about the rollout of the newest build.
type Rollout struct {
	Build       int
	Stage       int
	State       RolloutState
	VoteReply   bool // it answers a vote
	VoteResult  VoteResult
	ExposureCap float64 // share of the requests that may go to the trial
	Age         int64   // nanoseconds since the state or the stage began
}

// VoteResult is how a vote's call ended.
type VoteResult uint8

// The results of votes.
const (
	VoteCounted VoteResult = iota
	VoteConflict
	VoteThrottled
	VoteFailed
	VoteUnanswered // it may have been counted
)

// TrialStatistics is what a router goes by when it judges the newest build. The first of each pair is of failures, the
// second of latency; all are pooled over the routers as far as gossip has brought them.
type TrialStatistics struct {
	Outcomes       [2]float64 // number of outcomes of the last seconds
	Excess         [2]float64 // how much worse an outcome is in the mean than one of the earlier build
	StandardError  [2]float64 // of Excess
	Threshold      [2]float64 // a build that exceeds it by more than some standard errors is rolled back
	RemainingBurst float64    // attempts that this router may still send to the trial at once
}

// rolloutTracker is what is known of the rollout.
type rolloutTracker struct {
	rollout        Rollout
	hasRollout     bool    // rollout is set
	baseBuild      int     // the newest build that was released before the one on trial
	stageSince     int64   // when the state or the stage changed
	exposureCap    float64 // share of the requests that may go to hosts that count as on trial
	sharedExposure *bucket // attempts that the trial may have, where classes share them
}

// settledAge is the age from which a release that was found at the start needs no judging; some builds fail after 11 s.
const settledAge = 15 * second

func (d *decider) rolloutChanged(rollout Rollout) {
	if rollout.VoteReply {
		d.voteInFlight = false
		if rollout.VoteResult != VoteCounted {
			d.castVote = vote{} // it may not stand: cast it again
			return
		}
	}
	if rollout.Build != d.rollout.Build || rollout.Stage != d.rollout.Stage || rollout.State != d.rollout.State {
		d.stageSince = d.now - rollout.Age
	}
	switch {
	case !d.hasRollout:
		d.baseBuild = d.firstBaseBuild(rollout)
	case rollout.Build != d.rollout.Build:
		d.beginTrial()
	}
	d.rollout = rollout
	d.hasRollout = true
	if rollout.State == RollingBack || rollout.State == RolledBack {
		d.bindings.dropFrom(rollout.Build)
	}
	d.updateHosts()
}

// firstBaseBuild is the newest build that needs no judging when the first rollout is seen.
func (d *decider) firstBaseBuild(rollout Rollout) int {
	isSettled := rollout.Age > settledAge || !d.hasKnownStartTimes(rollout.Build)
	if rollout.State == Released && isSettled {
		return rollout.Build
	}
	return rollout.Build - 1
}

// startsKnown says whether the starts of a build's hosts are known, as those of the first build are not.
func (d *decider) hasKnownStartTimes(build int) bool {
	return slices.ContainsFunc(d.hosts, func(h *host) bool { return h.build == build && h.startedAt > 0 })
}

// beginTrial forgets the statistics of the build that was judged before.
func (d *decider) beginTrial() {
	if d.rollout.State == Released {
		d.baseBuild = d.rollout.Build
	}
	d.resetInterference()
	d.resetTrial()
}

// isOnTrial says whether a build is the one that is judged.
func (d *decider) isOnTrial(build int) bool {
	return d.hasRollout && build == d.rollout.Build && build > d.baseBuild && d.rollout.State != RolledBack
}

// rolloutCap is the share of the requests that the rollout's state allows its build.
func (d *decider) rolloutCap() float64 {
	return [...]float64{
		OnTrial:     d.rollout.ExposureCap,
		RollingBack: d.rollout.ExposureCap,
		Released:    1,
		RolledBack:  0,
	}[d.rollout.State]
}
