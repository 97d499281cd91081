package decision

import "math"

// Rollout statistics: whether the build on trial is worse than the earlier one, by distributed change detection. Each router
// keeps a geometric moving average of its readings, which gossip averages over the routers (see gossip.go); voters compare
// it with one common threshold (see vote.go).
//
// The symbols of "Distributed Change Detection Based on a Consensus Algorithm" and their names here:
//
//	symbol      equation   name
//	t           (1), (5)   the number of ticks, one every tickInterval
//	n           (1)        Settings.Routers
//	i, j        (5)        this router, Settings.Rank, and the sender of a message
//	x_i(t)      (1), (5)   reading, in updateState
//	Γ(t)        Remark 4   a tick without outcomes has reading 0
//	s̄_i(t)      (5)        state, after statisticsTick
//	s_i(t)      (5)        state, after gossipReceived
//	α           (1), (5)   forgettingFactor; smaller beyond maxOutcomes
//	C(t), c_ij  (5), (30)  one message at a time: c_ij = γ and c_ii = 1 − γ for the sender j of one, in gossipReceived
//	γ_ij        Sect. IV   consensusGain
//	w_i         (2)        1/n, as each router sends one message a tick to a random peer
//	s_c(t)      (2)        approximated by state, as equation (7)'s error stays small
//	d_c         Sect. II   threshold
//
// Ours are the reading, which is weighed by its outcomes, the decayed count of outcomes beside each state, the standard
// errors, and a second state of the same kind for latencies.

// The quantities of which there is a state: indices of the arrays below.
const (
	failures      = iota // failed attempts
	excessLatency        // latency over the expected, for builds that are slow but answer in time
	statisticCount
)

// decayingMean is a sum with its weight, both forgotten from tick to tick.
type decayingMean struct{ weight, sum float64 }

// add keeps a part of the past and adds to it.
func (m *decayingMean) add(keep, weight, sum float64) {
	m.weight = keep*m.weight + weight
	m.sum = keep*m.sum + sum
}

func (m decayingMean) value() float64 { return m.sum / max(m.weight, 1e-3) }

// sample is the outcomes of one side in one tick: their number, the sum of their penalty and that of its squares.
type sample struct{ count, penalty, squares [statisticCount]float64 }

func (s *sample) add(kind int, n, penalty float64) {
	s.count[kind] += n
	s.penalty[kind] += penalty
	s.squares[kind] += penalty * penalty
}

// statistics are the readings and states.
type statistics struct {
	trial    sample // of this tick
	baseline sample // the same of the earlier build

	count              [statisticCount]float64 // gossiped: decayed number of the trial's outcomes
	state              [statisticCount]float64 // gossiped: s_i
	meanSquare         [statisticCount]float64 // gossiped: mean square of the trial's penalty
	trialExcessLatency decayingMean            // gossiped: the trial's penalty by latency, of the last second

	baselineMean   [statisticCount]decayingMean // gossiped: penalty of the earlier build's outcomes
	baselineCount  [statisticCount]float64      // decayed number of them
	baselineSentAt int64                        // when the latest attempt at it that has ended was sent

	smoothed [statisticCount]decayingMean // state by count, averaged over spreadingTicks
}

// forgettingFactor is α: a memory of 10 s, so that the few requests of the first stage add up.
const forgettingFactor = 0.99

// maxOutcomes bounds the outcomes that a router remembers: with so many, three routers detect failures of 5% in some 3 s.
const maxOutcomes = 130

// baselineForgetting is the earlier build's α: a memory of some seconds, which follows an overload.
var baselineForgetting = [statisticCount]float64{failures: 0.95, excessLatency: 0.9}

// listingGrace is how long after its listing a trial host's outcomes are not counted.
const listingGrace = second

// comparableWithin is the most between two attempts that are compared: a later overload is no fault of the build.
const comparableWithin = second

// resetTrial forgets what was measured of a build on trial.
func (d *decider) resetTrial() {
	d.count = [statisticCount]float64{}
	d.state = [statisticCount]float64{}
	d.meanSquare = [statisticCount]float64{}
	d.smoothed = [statisticCount]decayingMean{}
	d.trialExcessLatency = decayingMean{}
}

// recordOutcome counts an attempt's outcome in this tick's sample.
func (d *decider) recordOutcome(req *request, attempt *attempt, result Result, took int64) {
	isComparable := attempt.startedAt-d.baselineSentAt < comparableWithin || d.hasFreshBaseline()
	outcomes := d.sampleFor(attempt.build)
	if outcomes == &d.baseline {
		d.baselineSentAt = max(d.baselineSentAt, attempt.startedAt)
	} else if attempt.startedAt-attempt.host.listedAt < listingGrace {
		return
	}
	wasGivenTime := attempt.deadline >= req.deadline
	switch {
	case result == Failed, isComparable && isFailure(result, wasGivenTime):
		outcomes.add(failures, 1, 1)
	case result == Succeeded, isFailure(result, true):
		outcomes.add(failures, 1, 0)
	}
	if isComparable && (result == Succeeded || result == TimedOut) && d.comparesLatency(attempt.host) {
		outcomes.add(excessLatency, 1, d.latencyPenalty(req, attempt.host, took))
	}
}

// isFailure says whether a result that may have a cause outside of the host counts as a failure. A time-out does if the
// attempt had as much time as the client gave.
func isFailure(result Result, wasGivenTime bool) bool {
	switch result {
	case ConnectionReset, InvalidAnswer:
		return true
	case TimedOut:
		return wasGivenTime
	}
	return false
}

// measuresLag says whether latencies of a host are compared: on trial, and at hosts that are warm.
func (d *decider) comparesLatency(h *host) bool {
	return d.rollout.State == OnTrial && d.warmUpFactor(h) == 1 && h.health == Ready
}

// latencyPenalty is an attempt's penalty by latency: 0 for the expected one of its class and kind of machine, 0.75 for four times it
// or more.
func (d *decider) latencyPenalty(req *request, h *host, took int64) float64 {
	expected := d.expectedLatency(req) * (1 + d.slownessByKind[h.kind])
	return min(4, float64(took)/expected)/4 - 0.25
}

// relativeLatency is the latency over the expected that a mean of latencyPenalty stands for.
func relativeLatency(mean decayingMean) float64 { return 1 + 4*mean.value() }

// answerFlagged counts a wrong answer for as many as reports stand for.
func (d *decider) answerFlagged(h *host) {
	d.sampleFor(h.build).add(failures, 0, 1/max(d.settings.ReportedShare, 0.05))
}

// sampleFor is where a build's outcomes of this tick are counted.
func (d *decider) sampleFor(build int) *sample {
	if d.isOnTrial(build) {
		return &d.trial
	}
	return &d.baseline
}

// hasFreshBaseline says whether there are outcomes of the earlier build to compare with. A router with little traffic has
// few of its own, and goes by those of all routers in the last second.
func (d *decider) hasFreshBaseline() bool {
	return d.baselineMean[excessLatency].weight > max(d.fleetLoad[answerCount], 5/d.reachableRouters)
}

// statisticsTick takes this tick's samples into the states.
func (d *decider) statisticsTick() {
	if !d.hasFreshBaseline() { // what broke the earlier build's last hosts excuses no later failures
		d.baselineMean[failures].sum *= 0.9
	}
	for k := range d.state {
		d.updateState(k)
	}
	d.trialExcessLatency.add(0.9, d.trial.count[excessLatency], d.trial.penalty[excessLatency])
	d.trial = sample{}
	d.baseline = sample{}
}

// updateState is equation (5), first line, s̄_i = α·s_i + (1 − α)·x_i, with the same recursion for the count and the mean
// square. The reading x_i is how much worse the tick's outcomes were than as many of the earlier build; it is a sum, as a
// tick of one outcome must not weigh as much as one of ten.
func (d *decider) updateState(k int) {
	d.baselineMean[k].add(baselineForgetting[k], d.baseline.count[k], d.baseline.penalty[k])
	forgetting := forgettingFactor / max(1, d.count[k]/maxOutcomes)
	baselineWeight := max(d.baselineMean[k].weight, min(1, 0.4*d.fleetLoad[answerCount]), 1e-3)
	reading := d.trial.penalty[k] - d.trial.count[k]*d.baselineMean[k].sum/baselineWeight
	d.count[k] = forgetting*d.count[k] + d.trial.count[k]
	d.baselineCount[k] = forgettingFactor*d.baselineCount[k] + d.baseline.count[k]
	d.state[k] = forgetting*d.state[k] + (1-forgettingFactor)*reading
	d.meanSquare[k] = forgetting*d.meanSquare[k] + (1-forgettingFactor)*d.trial.squares[k]
}

// smooth averages a state and its count over some ticks more, as gossip takes longer to spread them among many routers.
func (d *decider) smooth(k int, ticks float64) {
	m := &d.smoothed[k]
	m.weight += (d.count[k]*(1-forgettingFactor) - m.weight) / ticks
	m.sum += (d.state[k] - m.sum) / ticks
}

// excess is a state over the outcomes that it stands for, and its standard error.
func (d *decider) excess(k int) (mean, stdErr float64) {
	n := d.count[k] * (1 - forgettingFactor)
	if n < 1e-6 || d.smoothed[k].weight < 1e-6 {
		return 0, 1
	}
	mean = d.smoothed[k].sum / d.smoothed[k].weight
	return mean, math.Sqrt(d.meanSquare[k]/n*d.varianceFactor(k) + hostVariance[k]/d.warmTrialHosts)
}

// hostVariance is the variance of the mean between hosts of one build: they differ in speed by a quarter (of four times).
var hostVariance = [statisticCount]float64{excessLatency: 0.0036}

// comparedWithBaseline says whether a state's error includes that of the earlier build, which has few failures.
var comparedWithBaseline = [statisticCount]float64{excessLatency: 1}

// varianceFactor is the variance of a state's mean over that of one outcome. However many routers there are, what one holds
// of the last ticks is that of some hundred and fifty.
func (d *decider) varianceFactor(k int) float64 {
	perOutcome := 1/max(d.count[k], 0.1) + comparedWithBaseline[k]/max(d.baselineCount[k], 0.1)
	return perOutcome * max(1, 0.5+0.006*d.reachableRouters) / d.reachableRouters
}

// trialSpeedUp is how much faster the trial's hosts surely are than the earlier ones, by what all routers have measured, and
// 1 if they are not. Earlier hosts may fail or become slow too, and the good ones would stand idle.
func (d *decider) trialSpeedUp() float64 {
	n := max(0.1, d.trialExcessLatency.weight*d.reachableRouters) // outcomes of the last second; each varies by about its mean
	atMost := max(0.1, relativeLatency(d.trialExcessLatency)*(1+1.5/math.Sqrt(n)))
	return min(4, max(1, relativeLatency(d.baselineMean[excessLatency])/atMost))
}
