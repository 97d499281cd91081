package retryguard

import "math"

const tickInterval = second / 10 // the design's tick

// Figures of the change test. In the spirit of the design page: a geometric moving average of the further tries'
// excess over their calm share, tested against one threshold.
const (
	// The sums must show so many further tries more than calm traffic's, and clear the threshold by so many standard
	// errors: with those, traffic of 2 to 400 tries a second with 0 to 20% calm further ones raised no alarm in an hour.
	minExcess, requiredErrors = 8, 5.5
	quietTicks                = 10 // ticks under a third of the threshold that end a storm
	learningRate              = 0.002
)

// forgettingFactors are what the sums keep a tick: 1 s, of which a storm fills half in 400 ms, and 3 s, by which a router of few
// commands has enough of them.
var forgettingFactors = [2]float64{0.9, 0.97}

// Detector tells when further tries exceed their calm share.
type Detector struct {
	threshold            float64
	calmShare            float64 // further tries' share of all in calm traffic
	requests, retries    float64 // this tick's
	sums                 [2]excess
	requestSum, retrySum float64
	calmTicks            int // ticks
	Storm                bool
}

// excess is how many further tries of some are over the calm share.
type excess struct{ requests, retries float64 }

// exceeds tells whether an excess clears a threshold, surely.
func (x excess) exceeds(threshold, calm float64) bool {
	stdErr := math.Sqrt(max(0.02, calm*(1-calm)) / max(1, x.requests))
	return x.retries >= minExcess && x.retries/x.requests > threshold+requiredErrors*stdErr
}

// NewDetector makes one that knows no traffic yet and takes 5% further tries for calm.
func NewDetector(threshold float64) Detector { return Detector{threshold: threshold, calmShare: 0.05} }

// Count counts a try.
func (d *Detector) Count(retry bool) {
	d.requests++
	if retry {
		d.retries++
	}
}

// Tick ends a tick, and tells whether a storm has just begun. Collapsed says that the hosts went, so that further
// tries are sure to come.
func (d *Detector) Tick(collapsed bool) (began bool) {
	detected := collapsed
	for i := range d.sums {
		sum := &d.sums[i]
		sum.requests, sum.retries = forgettingFactors[i]*sum.requests+d.requests, forgettingFactors[i]*sum.retries+d.retries-d.calmShare*d.requests
		detected = detected || sum.exceeds(d.threshold, d.calmShare)
	}
	d.requestSum, d.retrySum = 0.998*d.requestSum+d.requests, 0.998*d.retrySum+d.retries // a memory of 50 s
	sum := d.sums[0]
	low := sum.requests < 1 || sum.retries/sum.requests < d.threshold/3
	switch {
	case detected && !d.Storm:
		d.Storm, began, d.calmTicks = true, true, 0
	case !low || collapsed:
		d.calmTicks = 0
	default:
		if d.calmTicks++; d.Storm && d.calmTicks >= quietTicks {
			d.Storm, d.sums = false, [2]excess{} // what has been answered for counts no more
		}
	}
	if !d.Storm && sum.retries < d.threshold*sum.requests {
		d.calmShare += learningRate * min(1, d.requests) * (d.retrySum/max(d.requestSum, 20) - d.calmShare)
	}
	d.requests, d.retries = 0, 0
	return began
}
