package retryguard

import "math"

// tickInterval is the period of Guard.tick, in nanoseconds.
const tickInterval = second / 10

// Changes are detected with a geometric moving average (EWMA) of the retries in excess of the baseline, as for trials in
// internal/decision. An alarm requires minExcess excess retries and a ratio of excess retries that is above the threshold by
// requiredErrors standard errors. With these, normal traffic of 2 to 240 requests a second with up to 20% of retries raises no
// alarm in an hour (TestNoFalseAlarms).
const (
	minExcess      = 8
	requiredErrors = 5.5
	quietTicks     = 10    // consecutive ticks below a third of the threshold that end a retry storm
	learningRate   = 0.002 // of the baseline ratio, per tick
	baselineDecay  = 0.998 // per tick, a time constant of 50 s
)

// decayFactors are the factors by which the two sums decay per tick: a time constant of 1 s detects a retry storm quickly, and
// one of 3 s collects enough requests at a router with little traffic.
var decayFactors = [2]float64{0.9, 0.97}

// Detector detects a retry storm: a ratio of retries to requests well above that of normal traffic. Use NewDetector; the zero
// value has no threshold.
type Detector struct {
	Storm bool // a retry storm is active

	threshold        float64
	baselineRatio    float64 // ratio of retries to requests in normal traffic
	requests         float64 // in this tick
	retries          float64 // in this tick
	sums             [2]excess
	baselineRequests float64 // decayed by baselineDecay
	baselineRetries  float64
	consecutiveQuiet int // quiet ticks in a row
}

// excess is a decayed number of requests, and of retries in excess of the baseline ratio of them.
type excess struct{ requests, retries float64 }

// exceeds reports whether the ratio of excess retries is above the threshold with statistical significance.
func (x excess) exceeds(threshold, baselineRatio float64) bool {
	stdErr := math.Sqrt(max(0.02, baselineRatio*(1-baselineRatio)) / max(1, x.requests))
	return x.retries >= minExcess && x.retries/x.requests > threshold+requiredErrors*stdErr
}

// isQuiet reports whether the ratio of excess retries is below a third of the threshold.
func (x excess) isQuiet(threshold float64) bool {
	return x.requests < 1 || x.retries/x.requests < threshold/3
}

// initialBaselineRatio is the baseline ratio of retries before any traffic was observed.
const initialBaselineRatio = 0.05

// NewDetector returns a detector with the initial baseline. threshold is the ratio of excess retries to requests above which
// a retry storm is detected.
func NewDetector(threshold float64) Detector {
	return Detector{threshold: threshold, baselineRatio: initialBaselineRatio}
}

// Count counts a request in the current tick.
func (d *Detector) Count(retry bool) {
	d.requests++
	if retry {
		d.retries++
	}
}

// Tick ends a tick and reports whether a retry storm began in it. collapsed means that the hosts have lost so much capacity
// that retries are certain to follow; it starts a retry storm, or keeps one active, whatever the ratio of retries.
func (d *Detector) Tick(collapsed bool) (began bool) {
	detected := d.updateSums() || collapsed
	lastSecond := d.sums[0] // copied because the end of a retry storm clears the sums
	switch {
	case detected && !d.Storm:
		d.Storm = true
		began = true
		d.consecutiveQuiet = 0
	case collapsed || !lastSecond.isQuiet(d.threshold):
		d.consecutiveQuiet = 0
	default:
		d.countQuietTick()
	}
	d.updateBaselineRatio(lastSecond)
	d.requests = 0
	d.retries = 0
	return began
}

// updateSums adds the tick's requests to the sums and reports whether one of them exceeds the threshold.
func (d *Detector) updateSums() (detected bool) {
	for i := range d.sums {
		sum := &d.sums[i]
		sum.requests = decayFactors[i]*sum.requests + d.requests
		sum.retries = decayFactors[i]*sum.retries + d.retries - d.baselineRatio*d.requests
		detected = detected || sum.exceeds(d.threshold, d.baselineRatio)
	}
	d.baselineRequests = baselineDecay*d.baselineRequests + d.requests
	d.baselineRetries = baselineDecay*d.baselineRetries + d.retries
	return detected
}

// countQuietTick ends the retry storm after quietTicks quiet ticks in a row. It also clears the sums, which still contain retries
// of that retry storm.
func (d *Detector) countQuietTick() {
	d.consecutiveQuiet++
	if d.Storm && d.consecutiveQuiet >= quietTicks {
		d.Storm = false
		d.sums = [2]excess{}
	}
}

// updateBaselineRatio moves the baseline slowly towards the long-term ratio of retries. It does nothing during a retry storm or
// when the excess of the last second is at the threshold or above.
func (d *Detector) updateBaselineRatio(lastSecond excess) {
	if d.Storm || lastSecond.retries >= d.threshold*lastSecond.requests {
		return
	}
	d.baselineRatio += learningRate * min(1, d.requests) * (d.baselineRetries/max(d.baselineRequests, 20) - d.baselineRatio)
}
