package storm

import "math"

const tickLen = second / 10 // the design's tick

// Figures of the change test. In the spirit of the design page: a geometric moving average of the further tries'
// excess over their calm share, tested against one threshold.
const (
	keeps = 0.9 // of the sums a tick: a memory of 1 s, half of what a storm brings shows within some 400 ms
	// The sums must show so many further tries more than calm traffic's, and clear the threshold by so many standard
	// errors: with those, traffic of 2 to 400 tries a second with 0 to 20% calm further ones raised no alarm in an hour.
	least, deviations = 8, 5.5
	quiet             = 10 // ticks under a third of the threshold that end a storm
	learns            = 0.002
)

// Detector tells when further tries exceed their calm share.
type Detector struct {
	threshold           float64
	calm                float64 // further tries' share of all in calm traffic
	tries, again        float64 // this tick's
	n, excess           float64 // the sums: tries, and further ones over the calm share
	sumTries, sumAgains float64
	Storm               bool
	calmFor             int // ticks
}

// NewDetector makes one that knows no traffic yet and takes 5% further tries for calm.
func NewDetector(threshold float64) Detector { return Detector{threshold: threshold, calm: 0.05} }

// Count counts a try.
func (d *Detector) Count(again bool) {
	d.tries++
	if again {
		d.again++
	}
}

// share is the excess of the sums, and its standard error in calm traffic.
func (d *Detector) share() (excess, err float64) {
	if d.n < 1 {
		return 0, 1
	}
	return d.excess / d.n, math.Sqrt(max(0.02, d.calm*(1-d.calm)) / d.n)
}

// Tick ends a tick, and tells whether a storm has just begun.
func (d *Detector) Tick() (began bool) {
	x := d.again - d.calm*d.tries
	d.n, d.excess = keeps*d.n+d.tries, keeps*d.excess+x
	d.sumTries, d.sumAgains = 0.998*d.sumTries+d.tries, 0.998*d.sumAgains+d.again // a memory of 50 s
	share, err := d.share()
	switch {
	case !d.Storm && d.excess >= least && share > d.threshold+deviations*err:
		d.Storm, began = true, true
	case share < d.threshold/3 || d.n < 1:
		if d.calmFor++; d.Storm && d.calmFor >= quiet {
			d.Storm = false
		}
	}
	if share >= d.threshold/3 && d.n >= 1 {
		d.calmFor = 0
	}
	if !d.Storm && share < d.threshold {
		d.calm += learns * min(1, d.tries) * (d.sumAgains/max(d.sumTries, 20) - d.calm)
	}
	d.tries, d.again = 0, 0
	return began
}

// Excess is how many further tries of the last second or so are over the calm share, and of how many tries.
func (d *Detector) Excess() (excess, of float64) { return d.excess, d.n }
