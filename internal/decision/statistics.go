// The trial and its votes: the readings, the state, and the one threshold that designated voters test.

package decision

import (
	"fmt"
	"math"
)

const voteRetryDelay = second / 4 // short beside a stage, and the voters' calls stay far below what platforms take

// updateVote casts the wanted vote where another or none stands, and renews it. One for moving on a bygone
// stage moves nothing: the platform takes few calls of all routers, and the next votes need them.
func (d *decider) updateVote() {
	outdated := d.castVote.build != d.rollout.Build || d.castVote.stage != d.rollout.Stage && d.castVote.verdict == Advance
	stands := d.castVote.verdict != NoVote && d.now-d.voteCastAt < d.settings.VoteLifetime && !outdated
	fresh := d.wantedVote == d.castVote && d.now-d.voteCastAt < d.settings.VoteLifetime/2
	if d.now < d.voteCallAt+voteRetryDelay || d.voteInFlight && d.now < d.voteCallAt+d.settings.VoteTimeout+second || fresh ||
		d.wantedVote.verdict == NoVote && !stands {
		return
	}
	d.voteInFlight, d.voteCallAt, d.castVote, d.voteCastAt = true, d.now, d.wantedVote, d.now
	d.effects.Vote(d.wantedVote.verdict, d.wantedVote.build, d.wantedVote.stage)
	if d.wantedVote != d.loggedVote && d.settings.Rank < 2 {
		d.loggedVote = d.wantedVote
		d.effects.Log(fmt.Sprint("vote ", d.wantedVote.verdict, d.wantedVote, d.state, d.meanSquare, d.count, d.interference, d.reachableRouters))
	}
}

// bindKey keeps a key on a build from the hand-off on: an answer counts also where it never comes or is not read.
func (d *decider) bindKey(req *request, build int) *binding {
	if build < d.rollout.Build || build <= d.minBuild || !d.settings.KeyAffinity || req.key == 0 {
		return nil
	}
	return d.bindings.bind(req.key, build)
}

// isOnTrial tells whether a build is the one whose failures the state counts.
func (d *decider) isOnTrial(build int) bool {
	return d.hasRollout && build == d.rollout.Build && build > d.baseBuild && d.rollout.State != RolledBack
}

// comparableWithin is the most between two hand-offs that are compared: later overloads are no fault of the build.
const comparableWithin = second

// recordOutcome counts an outcome for this tick's readings: failing is the page's, lagging for builds that are slow
// within their time-outs, by times over the expected, on trial, at hosts without queues of their own.
func (d *decider) recordOutcome(req *request, attempt *attempt, result Result, took int64) {
	isComparable := attempt.startedAt-d.baselineSentAt < comparableWithin || d.hasFreshBaseline()
	outcomes := d.sampleFor(attempt.build)
	if outcomes == &d.baseline {
		d.baselineSentAt = max(d.baselineSentAt, attempt.startedAt)
	} else if attempt.startedAt-attempt.host.listedAt < second { // the page: trial machines listed a short while ago are skipped
		return
	}
	switch {
	case result == Failed, isComparable && (result == ConnectionReset || result == InvalidAnswer || result == TimedOut && attempt.deadline >= req.deadline):
		outcomes.add(failures, 1, 1)
	case result == Succeeded || result == TimedOut || result == ConnectionReset || result == InvalidAnswer:
		outcomes.add(failures, 1, 0)
	}
	if isComparable && (result == Succeeded || result == TimedOut) && d.rollout.State == OnTrial && d.warmth(attempt.host) == 1 &&
		attempt.host.health == Ready {
		outcomes.add(lag, 1, min(4, float64(took)/(d.expectedLatency(req)*(1+d.slownessByKind[attempt.host.kind])))/4-0.25)
	}
}

// sampleFor is where this tick's outcomes of a build are counted.
func (d *decider) sampleFor(build int) *sample {
	if d.isOnTrial(build) {
		return &d.trial
	}
	return &d.baseline
}

const forgettingFactor = 0.99 // the factor a tick: a memory of 10 s, so that the first stage's few commands add up

const maxOutcomes = 130 // outcomes a router remembers: three see 5% of failures by them, in some 3 s

// tick makes the reading and tells one random peer.
func (d *decider) tick() {
	if !d.hasFreshBaseline() { // what broke the earlier build's last hosts excuses none later
		d.baselineMean[failures].sum *= 0.9
	}
	for k := range d.state {
		baselineForgetting, stateForgetting := [statisticCount]float64{0.95, 0.9}[k], forgettingFactor/max(1, d.count[k]/maxOutcomes) // the last seconds
		d.baselineMean[k].add(baselineForgetting, d.baseline.count[k], d.baseline.badness[k])
		// the page's reading, weighed by its outcomes: a tick of one is not worth one of ten
		reading := d.trial.badness[k] - d.trial.count[k]*d.baselineMean[k].sum/max(d.baselineMean[k].weight, min(1, 0.4*d.fleetLoad[answerCount]), 1e-3)
		d.count[k] = stateForgetting*d.count[k] + d.trial.count[k]
		d.baselineCount[k] = forgettingFactor*d.baselineCount[k] + d.baseline.count[k]
		d.state[k] = stateForgetting*d.state[k] + (1-forgettingFactor)*reading
		d.meanSquare[k] = stateForgetting*d.meanSquare[k] + (1-forgettingFactor)*d.trial.squares[k]
	}
	d.trialLag.add(0.9, d.trial.count[lag], d.trial.badness[lag])
	d.trial, d.baseline = sample{}, sample{}
	// what fulfilled commands of the last 10 s, or 1 s, show that a fleet of this capacity carries, cold hosts
	// may have by their part of it: all routers' sum stays well under the stated multiple
	d.throughput.add(forgettingFactor, d.totalCapacity, d.tickLoad[answerCount])
	throughput := max(d.throughput.value(), d.ownLoad[answerCount]/max(d.totalCapacity, 1e-3))
	d.coldCredit += max(1.2, 0.8*d.settings.CollapseFactor) * throughput
	for i := range d.fleetLoad { // the page's average again, over one second, or three where that is few
		gain := 0.1
		if i >= loadFields || i >= baselineAnswers && d.fleetLoad[answerCount] < 1 {
			gain = 0.03
		}
		d.fleetLoad[i] += gain * (d.tickLoad[i] - d.fleetLoad[i])
		d.ownLoad[i] += gain * (d.tickLoad[i] - d.ownLoad[i])
		if i != openRequests {
			d.tickLoad[i] = 0
		}
	}
	d.usualSpeed.add(forgettingFactor, d.fleetLoad[baselineAnswers], d.fleetLoad[baselineSpeeds])
	if d.settings.Gossip && d.settings.Routers > 1 {
		d.effects.SendGossip(d.randomPeer(), d.encodeGossip())
	}
	// Every router tells one a tick: a router that is cut off must not take its few outcomes for many.
	d.gossipRate -= 0.03 * d.gossipRate
	d.reachableRouters = 1 + float64(d.settings.Routers-1)*min(1, 1.3*d.gossipRate) // few are missed by chance
	d.decide()
}

// threshold is the common one for each state over the measured share; enough is the pooled count it needs.
var threshold = [statisticCount]float64{failures: 0.015, lag: 0.12}

var requiredErrors = [statisticCount]float64{failures: 1.4, lag: 1.7} // errors to clear it by: three reports do, not two

const minOutcomes = 20

// excess is a state for each outcome that it stands for, and its standard error.
func (d *decider) excess(k int) (mean, stdErr float64) {
	n := d.count[k] * (1 - forgettingFactor)
	if n < 1e-6 || d.smoothed[k].weight < 1e-6 {
		return 0, 1
	}
	// failures of the earlier build are few; hosts of one build differ in speed by a quarter (of four times);
	// however many routers there are, what one holds of the last ticks is that of some hundred and fifty
	varianceFactor := (1/max(d.count[k], 0.1) + float64(k)/max(d.baselineCount[k], 0.1)) * max(1, 0.5+0.006*d.reachableRouters) / d.reachableRouters
	return d.smoothed[k].sum / d.smoothed[k].weight, math.Sqrt(d.meanSquare[k]/n*varianceFactor + float64(k)*0.0036/d.warmTrialHosts)
}

// trialSpeedUp is how much quicker the trial's hosts surely are than the earlier ones, by what all routers
// measured; 1 for not. Earlier hosts may fail or turn slow too, and the good ones then stand by idle.
func (d *decider) trialSpeedUp() float64 {
	n := max(0.1, d.trialLag.weight*d.reachableRouters)                        // of the last second; each varies by about its mean
	relativeLatency := func(m decayingMean) float64 { return 1 + 4*m.value() } // over the expected, as weigh counts it, 4 at most
	return min(4, max(1, relativeLatency(d.baselineMean[lag])/max(0.1, relativeLatency(d.trialLag)*(1+1.5/math.Sqrt(n)))))
}

// A build may slow all hosts, in step with its traffic. Where the earlier ones stay and are much slower than
// before, the trial's commands are kept back; if their return slows them, it is the build. Costs seconds.
const (
	slowdownThreshold     = 1.35
	pauseDuration         = 3 * second // a second for the backlog to go, and two to measure
	interferenceThreshold = 0.36       // mixed: what most routers find passes, also diluted; what one of three finds does not
)

// updatePause starts, ends and reads such a test.
func (d *decider) updatePause() {
	slowdown := d.speedBeforeTrial / max(d.baselineSpeed(), 1e-3)
	if d.now-d.pausedAt < pauseDuration {
		d.pausedSlowdown = slowdown
	}
	if d.slowTicks++; slowdown < slowdownThreshold*d.acceptedSlowdown {
		d.slowTicks = 0
	}
	if d.rollout.State != OnTrial {
		d.pausedAt = 0
	} else if d.pausedAt == 0 && d.slowTicks > mixingTicks && d.rollout.Stage > 0 && d.settings.SideBySide &&
		d.trialSpeedUp() < slowdownThreshold && // else the earlier hosts are slow by themselves
		d.settings.Rank < 8 { // among hundreds some router is always wrong; eight find it as soon
		d.startPause(0)
	} else if d.pausedAt > 0 && d.now-d.pausedAt > 2*pauseDuration {
		d.effects.Log(fmt.Sprintf("kept the trial back: times %.2f, then %.2f", d.pausedSlowdown, slowdown))
		if d.interference, d.pausedAt = 1, 0; slowdown/d.pausedSlowdown < 1.3 {
			d.interference, d.acceptedSlowdown = 0, max(d.acceptedSlowdown, slowdown)
		}
	}
}

func (d *decider) startPause(age int64) { d.pausedAt, d.slowTicks = d.now-age, 0 }

const mixingTicks = 16 // the ticks that doubt must last and more: a host that fails alone is spared by then

// decide sets the wanted vote.
func (d *decider) decide() {
	d.wantedVote = vote{}
	if !d.isOnTrial(d.rollout.Build) {
		d.ticksAbove, d.buildRejected, d.pausedAt = 0, false, 0
		return
	}
	d.updatePause()
	aboveThreshold, maybeAbove, belowThreshold := d.interference > interferenceThreshold, false, true
	// what one router saw must not pass for many: gossip takes longer to spread it among hundreds
	spreading := max(1, 3*math.Log2(float64(d.settings.Routers))-8)
	for k := range d.state {
		d.smoothed[k].weight += (d.count[k]*(1-forgettingFactor) - d.smoothed[k].weight) / spreading
		d.smoothed[k].sum += (d.state[k] - d.smoothed[k].sum) / spreading
		mean, stdErr := d.excess(k)
		// what is condemned gets few commands, and stays so on fewer outcomes; one slow host is no slow build
		enoughOutcomes := (d.buildRejected || d.count[k]*d.reachableRouters >= minOutcomes) && (k == failures || d.warmTrialHosts > 2)
		aboveThreshold = aboveThreshold || enoughOutcomes && mean-requiredErrors[k]*stdErr > threshold[k]
		maybeAbove = maybeAbove || mean-stdErr > threshold[k]
		belowThreshold = belowThreshold && mean+stdErr <= threshold[k]
	}
	if d.ticksAbove++; !aboveThreshold {
		d.ticksAbove = 0
	}
	enoughOutcomes := d.count[failures]*d.reachableRouters >= minOutcomes
	d.buildRejected = (d.baselineSentAt > 0 || d.rollout.State == Released) && float64(d.ticksAbove) > mixingTicks+spreading-1
	age := d.now - d.lastTrialStart
	ready := !maybeAbove && (enoughOutcomes && age >= 2*second || age >= 7*second/2) || age >= 6*second // the page's on-rule
	if d.settings.RequireCertainty {
		ready = belowThreshold && enoughOutcomes && age >= 3*second
	}
	voters := max(1, d.settings.AdvanceVotes, d.settings.RollBackVotes, d.settings.HoldVotes) + 1 // as one may be cut off
	verdict := NoVote
	switch {
	case d.settings.Rank >= voters:
	case d.buildRejected:
		verdict = RollBack
	case d.rollout.State != OnTrial:
	case d.settings.Gate == Timed && maybeAbove:
		verdict = Hold
	case d.settings.Gate != Timed && ready && d.ticksAbove == 0 && d.pausedAt == 0:
		verdict = Advance
	}
	d.wantedVote = vote{verdict, d.rollout.Build, d.rollout.Stage}
}

func (d *decider) rolloutChanged(rollout Rollout) {
	if rollout.VoteReply {
		d.voteInFlight = false
		if rollout.VoteResult != VoteCounted {
			d.castVote = vote{} // it may not stand: cast again
			return
		}
	}
	if rollout.Build != d.rollout.Build || rollout.Stage != d.rollout.Stage || rollout.State != d.rollout.State {
		d.stageSince = d.now - rollout.Age
	}
	if !d.hasRollout && rollout.State == Released && (rollout.Age > 15*second || !d.startsKnown(rollout.Build)) { // some fail after 11 s
		d.baseBuild = rollout.Build
	} else if !d.hasRollout {
		d.baseBuild = rollout.Build - 1
	} else if rollout.Build != d.rollout.Build {
		if d.rollout.State == Released {
			d.baseBuild = d.rollout.Build
		}
		d.interference, d.acceptedSlowdown = 0, 1
		d.speedBeforeTrial = d.usualSpeed.value()
		d.count, d.state, d.meanSquare, d.smoothed = [statisticCount]float64{}, [statisticCount]float64{}, [statisticCount]float64{}, [statisticCount]decayingMean{}
		d.trialLag = decayingMean{}
	}
	d.rollout, d.hasRollout = rollout, true
	if rollout.State == RollingBack || rollout.State == RolledBack {
		d.bindings.dropFrom(rollout.Build)
	}
	d.updateHosts()
}
