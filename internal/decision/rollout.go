package decision

import "slices"

// RolloutState is the state of a build's rollout.
type RolloutState uint8

// The states of a rollout.
const (
	OnTrial RolloutState = iota
	RollingBack
	Released
	RolledBack
)

// Rollout is the state of the newest build's rollout, as reported by the platform.
type Rollout struct {
	Build       int
	Stage       int
	State       RolloutState
	VoteReply   bool // the reply to a vote; if VoteResult is not VoteCounted, the other fields are ignored
	VoteResult  VoteResult
	ExposureCap float64 // fraction of the requests that may go to the trial
	Age         int64   // nanoseconds since the last change of the state or the stage
}

// VoteResult is the result of a call to the platform that casts a vote.
type VoteResult uint8

// The results of casting a vote.
const (
	VoteCounted VoteResult = iota
	VoteConflict
	VoteThrottled
	VoteFailed
	VoteUnanswered // no reply; the vote may have been counted
)

// TrialStatistics holds the statistics by which a router judges the newest build. Index 0 of each array is for failures and
// index 1 for latency. Gossip averages the values over the reachable routers.
type TrialStatistics struct {
	Outcomes       [2]float64 // estimated number of recent outcomes of the build at all reachable routers
	Excess         [2]float64 // mean penalty of an outcome above that of the earlier build
	StandardError  [2]float64 // standard error of Excess
	Threshold      [2]float64 // Excess, minus some standard errors, above which the build is rolled back
	RemainingBurst float64    // attempts that this router may send to the trial now, shared by all classes
}

// rolloutTracker holds the state of the rollout.
type rolloutTracker struct {
	rollout        Rollout
	hasRollout     bool    // rollout is set
	baseBuild      int     // newest build that needs no judging: the last one released before the current rollout
	stageSince     int64   // when the state or the stage last changed
	exposureCap    float64 // fraction of the requests that may go to hosts on trial
	sharedExposure *bucket // attempts that may be sent to the trial, shared by the classes unless Settings.CapPerClass is set
}

// settledAge is the age beyond which a release that is found at startup needs no judging. It is longer than the time after which
// some builds begin to fail, 11 s after their hosts start.
const settledAge = 15 * second

func (d *decider) rolloutChanged(rollout Rollout) {
	if rollout.VoteReply {
		d.voteInFlight = false
		if rollout.VoteResult != VoteCounted {
			d.castVote = vote{} // the vote may not be in effect, so it is cast again
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

// firstBaseBuild returns the newest build that needs no judging when the engine receives its first rollout.
func (d *decider) firstBaseBuild(rollout Rollout) int {
	isSettled := rollout.Age > settledAge || !d.hasKnownStartTimes(rollout.Build)
	if rollout.State == Released && isSettled {
		return rollout.Build
	}
	return rollout.Build - 1
}

// hasKnownStartTimes reports whether a host of a build has a known start time. The hosts of the first build have none.
func (d *decider) hasKnownStartTimes(build int) bool {
	return slices.ContainsFunc(d.hosts, func(h *host) bool { return h.build == build && h.startedAt > 0 })
}

// beginTrial resets the statistics for a new build, and makes the previous one the base build if it was released.
func (d *decider) beginTrial() {
	if d.rollout.State == Released {
		d.baseBuild = d.rollout.Build
	}
	d.resetInterference()
	d.resetTrial()
}

// isOnTrial reports whether a build is the one being judged. A build is judged after its release too, until the next rollout.
func (d *decider) isOnTrial(build int) bool {
	return d.hasRollout && build == d.rollout.Build && build > d.baseBuild && d.rollout.State != RolledBack
}

// rolloutCap returns the fraction of the requests that may go to the newest build in the current state of its rollout.
func (d *decider) rolloutCap() float64 {
	return [...]float64{
		OnTrial:     d.rollout.ExposureCap,
		RollingBack: d.rollout.ExposureCap,
		Released:    1,
		RolledBack:  0,
	}[d.rollout.State]
}
