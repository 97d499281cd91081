package retryguard

import "math"

// tickInterval is the time between two ticks.
const tickInterval = second / 10

// The test for a change: a geometric moving average of the retries beyond their calm share, compared with one threshold, as
// for builds on trial in internal/decision. The sums must show minExcess retries beyond calm traffic's, and exceed the
// threshold by requiredErrors standard errors: with those, traffic of 2 to 400 requests a second with 0 to 20% of retries in
// calm raised no alarm in an hour.
const (
	minExcess      = 8
	requiredErrors = 5.5
	quietTicks     = 10 // in a row below a third of the threshold, which end a retry storm
	learningRate   = 0.002
	baselineDecay  = 0.998 // a memory of 50 s
)

// forgettingFactors are what the two sums keep each tick: that of 1 s, of which a retry storm fills half in 400 ms, and that of 3 s,
// by which a router with few requests has enough of them.
var decayFactors = [2]float64{0.9, 0.97}

// Detector detects that the share of retries is higher than in calm traffic.
type Detector struct {
	Storm bool // a retry storm is on

	threshold        float64
	baselineRatio    float64 // share of retries in calm traffic
	requests         float64 // of this tick
	retries          float64 // of this tick
	sums             [2]excess
	baselineRequests float64 // of the last minute
	baselineRetries  float64
	consecutiveQuiet int // in a row
}

// excess is how many retries there are beyond the calm share of some requests.
type excess struct{ requests, retries float64 }

// exceeds says whether an excess is surely beyond a threshold.
func (x excess) exceeds(threshold, baselineRatio float64) bool {
	stdErr := math.Sqrt(max(0.02, baselineRatio*(1-baselineRatio)) / max(1, x.requests))
	return x.retries >= minExcess && x.retries/x.requests > threshold+requiredErrors*stdErr
}

// isQuiet says whether there are few retries.
func (x excess) isQuiet(threshold float64) bool {
	return x.requests < 1 || x.retries/x.requests < threshold/3
}

// initialCalmShare is the share of retries that is taken for calm before there is traffic.
const initialBaselineRatio = 0.05

// NewDetector makes a detector that knows no traffic yet.
func NewDetector(threshold float64) Detector {
	return Detector{threshold: threshold, baselineRatio: initialBaselineRatio}
}

// Count counts a request.
func (d *Detector) Count(retry bool) {
	d.requests++
	if retry {
		d.retries++
	}
}

// Tick ends a tick, and says whether a retry storm has just begun. collapsed says that the hosts are gone, so that retries are sure
// to come.
func (d *Detector) Tick(collapsed bool) (began bool) {
	detected := d.updateSums() || collapsed
	lastSecond := d.sums[0] // as it is before the end of a retry storm clears it
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

// updateSums adds the tick's requests to the sums, and says whether one of them exceeds the threshold.
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

// countCalmTick ends the retry storm after enough quiet ticks. What is in the sums belongs to it, and is forgotten.
func (d *Detector) countQuietTick() {
	d.consecutiveQuiet++
	if d.Storm && d.consecutiveQuiet >= quietTicks {
		d.Storm = false
		d.sums = [2]excess{}
	}
}

// learnCalmShare follows the share of retries slowly, outside of retry storms.
func (d *Detector) updateBaselineRatio(lastSecond excess) {
	if d.Storm || lastSecond.retries >= d.threshold*lastSecond.requests {
		return
	}
	d.baselineRatio += learningRate * min(1, d.requests) * (d.baselineRetries/max(d.baselineRequests, 20) - d.baselineRatio)
}
