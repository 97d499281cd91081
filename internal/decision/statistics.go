package decision

import "math"

// Rollout statistics: distributed change detection of whether the build on trial is worse than the earlier one. Each router
// keeps a geometric moving average of its readings, gossip averages it over the routers (see gossip.go), and voters compare it
// with a common threshold (see vote.go).
//
// The symbols of "Distributed Change Detection Based on a Consensus Algorithm" and their names in this package:
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
// Not from the paper are the weighting of a reading by its number of outcomes, the decayed count of outcomes kept with each
// state, the standard errors, and a second state of the same kind for latencies.

// The kinds of statistics, which index the arrays below.
const (
	failures      = iota // failed attempts
	excessLatency        // latency above the expected, for builds that are slow but answer in time
	statisticCount
)

// decayingMean is an exponentially decaying mean, stored as the weighted sum and its weight.
type decayingMean struct{ weight, sum float64 }

// add multiplies the past by keep and adds new values.
func (m *decayingMean) add(keep, weight, sum float64) {
	m.weight = keep*m.weight + weight
	m.sum = keep*m.sum + sum
}

func (m decayingMean) value() float64 { return m.sum / max(m.weight, 1e-3) }

// sample holds the outcomes of one side in one tick: their number, and the sums of their penalties and squared penalties. The
// penalty of an outcome is 1 for a failure and 0 for a success, or the result of latencyPenalty.
type sample struct{ count, penalty, squares [statisticCount]float64 }

func (s *sample) add(kind int, n, penalty float64) {
	s.count[kind] += n
	s.penalty[kind] += penalty
	s.squares[kind] += penalty * penalty
}

// statistics holds the readings and states.
type statistics struct {
	trial    sample // outcomes of the build on trial in this tick
	baseline sample // outcomes of the earlier build in this tick

	count              [statisticCount]float64 // gossiped: decayed number of the trial's outcomes
	state              [statisticCount]float64 // gossiped: s_i
	meanSquare         [statisticCount]float64 // gossiped: moving average of the trial's squared penalties, scaled like state
	trialExcessLatency decayingMean            // gossiped: the trial's latency penalty over the last second

	baselineMean   [statisticCount]decayingMean // gossiped: penalty of the earlier build's outcomes
	baselineCount  [statisticCount]float64      // decayed number of the earlier build's outcomes
	baselineSentAt int64                        // when the latest of the earlier build's ended attempts was sent

	smoothed [statisticCount]decayingMean // state and count, averaged over spreadingTicks
}

// forgettingFactor is α: a time constant of 10 s, so that the few requests of the first stage add up.
const forgettingFactor = 0.99

// maxOutcomes bounds the decayed count of outcomes by forgetting faster beyond it, so that a build that begins to fail is
// detected soon: three routers detect a failure rate of 5% in about 3 s.
const maxOutcomes = 130

// baselineForgetting is α for the earlier build: a time constant of one or two seconds, which follows an overload.
var baselineForgetting = [statisticCount]float64{failures: 0.95, excessLatency: 0.9}

// listingGrace is the time after a trial host was listed during which attempts sent to it are not counted.
const listingGrace = second

// comparableWithin is the maximum time between the earlier build's latest attempt and an attempt compared with it. Otherwise a
// later overload would be attributed to the build.
const comparableWithin = second

// resetTrial resets the measurements of the build on trial.
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

// isFailure reports whether a result that may have a cause outside of the host counts as a failure. A timeout does if the
// attempt was given all the time until the client's deadline.
func isFailure(result Result, wasGivenTime bool) bool {
	switch result {
	case ConnectionReset, InvalidAnswer:
		return true
	case TimedOut:
		return wasGivenTime
	}
	return false
}

// comparesLatency reports whether latencies of a host are compared: only during a trial, for hosts that are warm and ready.
func (d *decider) comparesLatency(h *host) bool {
	return d.rollout.State == OnTrial && d.warmUpFactor(h) == 1 && h.health == Ready
}

// latencyPenalty returns the penalty of an attempt's latency: 0 at the expected latency for its class and kind of machine, 0.75
// at four times that or more, and negative below it.
func (d *decider) latencyPenalty(req *request, h *host, took int64) float64 {
	expected := d.expectedLatency(req) * (1 + d.slownessByKind[h.kind])
	return min(4, float64(took)/expected)/4 - 0.25
}

// relativeLatency converts a mean of latencyPenalty to a ratio of latency to expected latency.
func relativeLatency(mean decayingMean) float64 { return 1 + 4*mean.value() }

// answerFlagged counts a reported wrong answer as 1 / ReportedShare failures, as not all wrong answers are reported.
func (d *decider) answerFlagged(h *host) {
	d.sampleFor(h.build).add(failures, 0, 1/max(d.settings.ReportedShare, 0.05))
}

// sampleFor returns the sample that counts a build's outcomes in this tick.
func (d *decider) sampleFor(build int) *sample {
	if d.isOnTrial(build) {
		return &d.trial
	}
	return &d.baseline
}

// hasFreshBaseline reports whether there are enough recent outcomes of the earlier build to compare with. The counts are
// averaged over all routers, as a router with little traffic has few outcomes of its own.
func (d *decider) hasFreshBaseline() bool {
	return d.baselineMean[excessLatency].weight > max(d.fleetLoad[answerCount], 5/d.reachableRouters)
}

// statisticsTick adds this tick's samples to the states and resets them.
func (d *decider) statisticsTick() {
	if !d.hasFreshBaseline() { // failures of the earlier build's last hosts must not excuse later ones of the trial
		d.baselineMean[failures].sum *= 0.9
	}
	for k := range d.state {
		d.updateState(k)
	}
	d.trialExcessLatency.add(0.9, d.trial.count[excessLatency], d.trial.penalty[excessLatency])
	d.trial = sample{}
	d.baseline = sample{}
}

// updateState computes the first line of equation (5), s̄_i = α·s_i + (1 − α)·x_i, with the same recursion for the count and
// the mean square. The reading x_i is the penalty of the tick's outcomes minus that expected of as many outcomes of the earlier
// build. It is a sum and not a mean, so that a tick weighs in proportion to its outcomes.
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

// smooth averages a state and its count over further ticks, as gossip takes longer to spread them among many routers.
func (d *decider) smooth(k int, ticks float64) {
	m := &d.smoothed[k]
	m.weight += (d.count[k]*(1-forgettingFactor) - m.weight) / ticks
	m.sum += (d.state[k] - m.sum) / ticks
}

// excess returns the mean penalty per outcome above that of the earlier build, and its standard error.
func (d *decider) excess(k int) (mean, stdErr float64) {
	n := d.count[k] * (1 - forgettingFactor)
	if n < 1e-6 || d.smoothed[k].weight < 1e-6 {
		return 0, 1
	}
	mean = d.smoothed[k].sum / d.smoothed[k].weight
	return mean, math.Sqrt(d.meanSquare[k]/n*d.varianceFactor(k) + hostVariance[k]/d.warmTrialHosts)
}

// hostVariance is the variance of the mean penalty between hosts of one build, which differ in latency by about a quarter: a
// latencyPenalty of about 1/16.
var hostVariance = [statisticCount]float64{excessLatency: 0.0036}

// comparedWithBaseline is 1 for the statistics whose variance includes that of the earlier build. Failures of the earlier build
// are rare, so their variance is left out.
var comparedWithBaseline = [statisticCount]float64{excessLatency: 1}

// varianceFactor returns the ratio of the variance of a state's mean to that of one outcome. In a large fleet, gossip has not
// spread the latest ticks to all routers, so outcomes count like those of at most about 160 routers.
func (d *decider) varianceFactor(k int) float64 {
	perOutcome := 1/max(d.count[k], 0.1) + comparedWithBaseline[k]/max(d.baselineCount[k], 0.1)
	return perOutcome * max(1, 0.5+0.006*d.reachableRouters) / d.reachableRouters
}

// trialSpeedUp returns a lower confidence bound, from 1 to 4, of how many times faster the trial's hosts are than the earlier
// ones, as measured by all routers. If earlier hosts become slow, the trial's fast hosts get more traffic instead of idling.
func (d *decider) trialSpeedUp() float64 {
	// n is the number of outcomes of the last second. The standard deviation of each is about its mean.
	n := max(0.1, d.trialExcessLatency.weight*d.reachableRouters)
	atMost := max(0.1, relativeLatency(d.trialExcessLatency)*(1+1.5/math.Sqrt(n)))
	return min(4, max(1, relativeLatency(d.baselineMean[excessLatency])/atMost))
}
