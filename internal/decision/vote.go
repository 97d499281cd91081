package decision

import (
	"fmt"
	"math"
)

// Verdict is the choice of a vote.
type Verdict uint8

// The choices of a vote.
const (
	NoVote   Verdict = iota // no vote, or its withdrawal
	Advance                 // go on to the next stage, or release the build
	Hold                    // stay in the current stage
	RollBack                // end the rollout and return to the earlier build
)

func (v Verdict) String() string { return [...]string{"none", "on", "hold", "back"}[v] }

// vote is a vote on a stage of a build's rollout.
type vote struct {
	choice       Verdict
	build, stage int
}

// voting holds the state of this router's votes.
type voting struct {
	ticksAbove    int  // consecutive ticks in which the build was above the threshold
	buildRejected bool // the build was above the threshold for long enough
	desiredVote   vote
	castVote      vote
	loggedVote    vote
	voteCastAt    int64
	voteCallAt    int64
	voteInFlight  bool // the call that casts castVote has not been answered
}

// threshold is the common threshold d_c of each state, as a mean excess per outcome.
var threshold = [statisticCount]float64{failures: 0.015, excessLatency: 0.12}

// requiredErrors is the number of standard errors by which the threshold must be exceeded. Three reports of wrong answers
// suffice, two do not.
var requiredErrors = [statisticCount]float64{failures: 1.4, excessLatency: 1.7}

const (
	minOutcomes       = 20         // outcomes over all routers that a decision requires
	minLatencyHosts   = 2          // warm hosts required to judge a build by latency, as a single host may be slow by itself
	confirmationTicks = 16         // ticks that a build must be above the threshold; a single failing host is ejected by then
	voteRetryDelay    = second / 4 // minimum time between two calls: short beside a stage, and within platforms' rate limits
	loggingRouters    = 2          // routers that log their votes
)

// The minimum time before a vote to advance a stage, counted from the start of the stage or of the build's last host to start.
const (
	advanceAge          = 2 * second     // with enough outcomes
	advanceAgeFew       = 7 * second / 2 // with fewer outcomes
	advanceAgeUncertain = 6 * second     // even if the build may be above the threshold
	advanceAgeCertain   = 3 * second     // with Settings.RequireCertainty
)

// evidence is the result of comparing the states with the thresholds.
type evidence struct {
	above      bool // a state is above by requiredErrors on enough outcomes, or there is interference
	maybeAbove bool // a state is above by one standard error
	below      bool // all states are below by one standard error
}

// decide evaluates the build on trial and sets desiredVote.
func (d *decider) decide() {
	d.desiredVote = vote{}
	if !d.isOnTrial(d.rollout.Build) {
		d.ticksAbove = 0
		d.buildRejected = false
		d.pausedAt = 0
		return
	}
	d.updatePause()
	spreading := d.spreadingTicks()
	found := d.weighEvidence(spreading)
	d.updateRejection(found, spreading)
	d.desiredVote = vote{choice: d.choice(found), build: d.rollout.Build, stage: d.rollout.Stage}
}

// spreadingTicks returns the number of ticks that gossip needs to spread a measurement, so that the outcomes of one router are
// not mistaken for those of many.
func (d *decider) spreadingTicks() float64 {
	return max(1, 3*math.Log2(float64(d.settings.Routers))-8)
}

// weighEvidence compares the states with the thresholds.
func (d *decider) weighEvidence(spreading float64) evidence {
	found := evidence{above: d.interference > interferenceThreshold, below: true}
	for k := range d.state {
		d.smooth(k, spreading)
		mean, stdErr := d.excess(k)
		isAbove := mean-requiredErrors[k]*stdErr > threshold[k]
		found.above = found.above || isAbove && d.canJudge(k)
		found.maybeAbove = found.maybeAbove || mean-stdErr > threshold[k]
		found.below = found.below && mean+stdErr <= threshold[k]
	}
	return found
}

// canJudge reports whether there are enough outcomes and hosts to judge the build. A rejected build gets few requests, so it may
// stay rejected on fewer outcomes.
func (d *decider) canJudge(k int) bool {
	if !d.buildRejected && d.pooledCount(k) < minOutcomes {
		return false
	}
	return k == failures || d.warmTrialHosts > minLatencyHosts
}

// pooledCount estimates the number of the trial's outcomes at all reachable routers.
func (d *decider) pooledCount(k int) float64 { return d.count[k] * d.reachableRouters }

// updateRejection rejects a build that has been above the threshold for long enough, and ends the rejection as soon as it no
// longer is.
func (d *decider) updateRejection(found evidence, spreading float64) {
	d.ticksAbove++
	if !found.above {
		d.ticksAbove = 0
	}
	hasBaseline := d.baselineSentAt > 0 || d.rollout.State == Released
	d.buildRejected = hasBaseline && float64(d.ticksAbove) > confirmationTicks+spreading-1
}

// choice returns the vote of this router. Only the routers of lowest rank vote.
func (d *decider) choice(found evidence) Verdict {
	switch {
	case d.settings.Rank >= d.voters():
		return NoVote
	case d.buildRejected:
		return RollBack
	case d.rollout.State != OnTrial:
		return NoVote
	case d.settings.Gate == Timed && found.maybeAbove:
		return Hold
	case d.settings.Gate != Timed && d.mayAdvance(found):
		return Advance
	}
	return NoVote
}

// voters returns the number of routers that vote: one more than required, as one may be partitioned.
func (d *decider) voters() int {
	return max(1, d.settings.AdvanceVotes, d.settings.RollBackVotes, d.settings.HoldVotes) + 1
}

// mayAdvance reports whether this router may vote to advance the stage: there is no sign of a fault, and the stage has lasted
// long enough.
func (d *decider) mayAdvance(found evidence) bool {
	if d.ticksAbove > 0 || d.pausedAt != 0 {
		return false
	}
	enough := d.pooledCount(failures) >= minOutcomes
	age := d.now - d.lastTrialStart
	if d.settings.RequireCertainty {
		return found.below && enough && age >= advanceAgeCertain
	}
	if age >= advanceAgeUncertain {
		return true
	}
	return !found.maybeAbove && (enough && age >= advanceAge || age >= advanceAgeFew)
}

// updateVote casts the desired vote if it differs from the cast one, and renews it before it expires.
func (d *decider) updateVote() {
	if !d.shouldCallVote() {
		return
	}
	d.voteInFlight = true
	d.voteCallAt = d.now
	d.voteCastAt = d.now
	d.castVote = d.desiredVote
	d.effects.Vote(d.desiredVote.choice, d.desiredVote.build, d.desiredVote.stage)
	d.logVote()
}

// shouldCallVote reports whether to call the platform now. A vote to advance an earlier stage has no effect and is not
// withdrawn, as the platform limits the rate of calls of all routers and the next votes need it.
func (d *decider) shouldCallVote() bool {
	sinceCall := d.now - d.voteCallAt
	if sinceCall < voteRetryDelay {
		return false
	}
	if d.voteInFlight && sinceCall < d.settings.VoteTimeout+second {
		return false
	}
	sinceCast := d.now - d.voteCastAt
	if d.desiredVote == d.castVote && sinceCast < d.settings.VoteLifetime/2 {
		return false
	}
	isOutdated := d.castVote.build != d.rollout.Build ||
		d.castVote.stage != d.rollout.Stage && d.castVote.choice == Advance
	stands := d.castVote.choice != NoVote && sinceCast < d.settings.VoteLifetime && !isOutdated
	return d.desiredVote.choice != NoVote || stands
}

// logVote logs the desired vote and the statistics behind it if the vote has changed.
func (d *decider) logVote() {
	if d.desiredVote == d.loggedVote || d.settings.Rank >= loggingRouters {
		return
	}
	d.loggedVote = d.desiredVote
	d.effects.Log(fmt.Sprint("vote ", d.desiredVote.choice, d.desiredVote, d.state, d.meanSquare, d.count, d.interference, d.reachableRouters))
}
