package retryguard

import "math"

const tickLen = second / 10 // the design's tick

// Figures of the change test. In the spirit of the design page: a geometric moving average of the further tries'
// excess over their calm share, tested against one threshold.
const (
	// The sums must show so many further tries more than calm traffic's, and clear the threshold by so many standard
	// errors: with those, traffic of 2 to 400 tries a second with 0 to 20% calm further ones raised no alarm in an hour.
	least, deviations = 8, 5.5
	quiet             = 10 // ticks under a third of the threshold that end a storm
	learns            = 0.002
)

// memories are what the sums keep a tick: 1 s, of which a storm fills half in 400 ms, and 3 s, by which a router of few
// commands has enough of them.
var memories = [2]float64{0.9, 0.97}

// Detector tells when further tries exceed their calm share.
type Detector struct {
	threshold          float64
	calm               float64 // further tries' share of all in calm traffic
	tries, again       float64 // this tick's
	sums               [2]excess
	sumTries, sumAgain float64
	calmFor            int // ticks
	Storm              bool
}

// excess is how many further tries of some are over the calm share.
type excess struct{ of, more float64 }

// over tells whether an excess clears a threshold, surely.
func (x excess) over(threshold, calm float64) bool {
	err := math.Sqrt(max(0.02, calm*(1-calm)) / max(1, x.of))
	return x.more >= least && x.more/x.of > threshold+deviations*err
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

// Tick ends a tick, and tells whether a storm has just begun. Collapsed says that the hosts went, so that further
// tries are sure to come.
func (d *Detector) Tick(collapsed bool) (began bool) {
	sure := collapsed
	for i := range d.sums {
		x := &d.sums[i]
		x.of, x.more = memories[i]*x.of+d.tries, memories[i]*x.more+d.again-d.calm*d.tries
		sure = sure || x.over(d.threshold, d.calm)
	}
	d.sumTries, d.sumAgain = 0.998*d.sumTries+d.tries, 0.998*d.sumAgain+d.again // a memory of 50 s
	x := d.sums[0]
	low := x.of < 1 || x.more/x.of < d.threshold/3
	switch {
	case sure && !d.Storm:
		d.Storm, began, d.calmFor = true, true, 0
	case !low || collapsed:
		d.calmFor = 0
	default:
		if d.calmFor++; d.Storm && d.calmFor >= quiet {
			d.Storm, d.sums = false, [2]excess{} // what has been answered for counts no more
		}
	}
	if !d.Storm && x.more < d.threshold*x.of {
		d.calm += learns * min(1, d.tries) * (d.sumAgain/max(d.sumTries, 20) - d.calm)
	}
	d.tries, d.again = 0, 0
	return began
}
