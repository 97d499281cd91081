package decision

import (
	"fmt"
	"math"
)

// Verdict is what a vote says.
type Verdict uint8

// What votes say.
const (
	NoVote   Verdict = iota
	Advance          // to the next stage, or to the release
	Hold             // stay in the stage
	RollBack         // end the rollout, and go back to the earlier build
)

func (v Verdict) String() string { return [...]string{"none", "on", "hold", "back"}[v] }

// vote is what one says of a stage of a build.
type vote struct {
	choice       Verdict
	build, stage int
}

// voting is the votes of this router.
type voting struct {
	ticksAbove    int  // ticks in a row in which the build was above the threshold
	buildRejected bool // it was for long enough, on enough outcomes
	desiredVote   vote
	castVote      vote
	loggedVote    vote
	voteCastAt    int64
	voteCallAt    int64
	voteInFlight  bool // its call has no answer yet
}

// threshold is the common threshold d_c of each state over its outcomes.
var threshold = [statisticCount]float64{failures: 0.015, excessLatency: 0.12}

// requiredErrors is by how many standard errors it must be exceeded: three reports of wrong answers do, two don't.
var requiredErrors = [statisticCount]float64{failures: 1.4, excessLatency: 1.7}

const (
	minOutcomes       = 20         // pooled, that a decision needs
	minLatencyHosts   = 2          // a build of no more warm hosts is not judged by its latency: one slow host is no slow build
	confirmationTicks = 16         // ticks for which a build must be above the threshold: a host that fails alone is ejected by then
	voteRetryDelay    = second / 4 // short beside a stage, and voters' calls stay far below what platforms allow
	loggingRouters    = 2          // routers that log their votes
)

// The least age of a stage for a vote to advance it.
const (
	advanceAge          = 2 * second     // with enough outcomes
	advanceAgeFew       = 7 * second / 2 // with few
	advanceAgeUncertain = 6 * second     // whatever the outcomes say
	advanceAgeCertain   = 3 * second     // where certainty is required
)

// evidence is how the states compare with the threshold.
type evidence struct {
	above      bool // by the required standard errors, on enough outcomes
	maybeAbove bool // by one standard error
	below      bool // all, by one standard error
}

// decide sets the vote that this router wants to stand.
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

// spreadingTicks is how many ticks gossip needs, so that what one router has measured does not count as what many have.
func (d *decider) spreadingTicks() float64 {
	return max(1, 3*math.Log2(float64(d.settings.Routers))-8)
}

// weighEvidence compares the states with the threshold.
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

// canJudge says whether there are enough outcomes and hosts. A rejected build gets few requests, and stays rejected on fewer
// outcomes.
func (d *decider) canJudge(k int) bool {
	if !d.buildRejected && d.pooledCount(k) < minOutcomes {
		return false
	}
	return k == failures || d.warmTrialHosts > minLatencyHosts
}

// pooledCount is the number of the trial's outcomes at all reachable routers.
func (d *decider) pooledCount(k int) float64 { return d.count[k] * d.reachableRouters }

// updateRejection rejects a build that has been above the threshold for long enough, and takes it back when it is not any
// more.
func (d *decider) updateRejection(found evidence, spreading float64) {
	d.ticksAbove++
	if !found.above {
		d.ticksAbove = 0
	}
	hasBaseline := d.baselineSentAt > 0 || d.rollout.State == Released
	d.buildRejected = hasBaseline && float64(d.ticksAbove) > confirmationTicks+spreading-1
}

// choice is what this router votes: only the first ones do.
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

// voters is how many routers vote: one more than needed, as one may be cut off.
func (d *decider) voters() int {
	return max(1, d.settings.AdvanceVotes, d.settings.RollBackVotes, d.settings.HoldVotes) + 1
}

// mayAdvance says whether the stage may advance: nothing is suspected, and it has lasted long enough.
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

// updateVote casts the wanted vote if another or none stands, and renews it before it lapses.
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

// shouldCallVote says whether the platform is to be called now. A vote to advance an earlier stage moves nothing and need
// not be withdrawn: the platform takes few calls of all routers, and the next votes need them.
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

// logVote logs a vote that is new, with what it goes by.
func (d *decider) logVote() {
	if d.desiredVote == d.loggedVote || d.settings.Rank >= loggingRouters {
		return
	}
	d.loggedVote = d.desiredVote
	d.effects.Log(fmt.Sprint("vote ", d.desiredVote.choice, d.desiredVote, d.state, d.meanSquare, d.count, d.interference, d.reachableRouters))
}
