package decision

// The load metrics: indices of tickLoad, ownLoad and fleetLoad. From customerLoad on, there is one entry per customer with the
// number of its requests.
const (
	openRequests    = iota // requests that wait or are in flight; a gauge, not reset on each tick
	answerCount            // successful answers
	answerSeconds          // sum of the latencies of these answers, in seconds
	sentAttempts           // attempts sent
	trialAttempts          // attempts sent to the trial that count toward its share
	baselineAnswers        // answers of the earlier build
	baselineSpeeds         // sum of the speeds of these answers, see recordBaselineSpeed
	customerLoad           // requests of customer 0
)

// load holds the load of the routers. The three slices have the same indices.
type load struct {
	tickLoad  []float64 // counts of the current tick
	ownLoad   []float64 // moving average per tick of this router
	fleetLoad []float64 // gossiped: moving average per tick, averaged over the routers

	throughput   decayingMean // answers of this router per tick and unit of fleet capacity
	usualSpeed   decayingMean // mean speed of the earlier build over the last 10 s
	meanLatency  float64      // mean latency of answers, in nanoseconds
	shedFraction float64      // fraction of the requests to shed
}

const (
	loadGain     = 0.1  // a time constant of one second
	slowLoadGain = 0.03 // a time constant of about three seconds
)

func newLoad(customers int) load {
	n := customerLoad + customers
	return load{
		tickLoad:  make([]float64, n),
		ownLoad:   make([]float64, n),
		fleetLoad: make([]float64, n),
	}
}

// loadTick adds the load of the tick to the averages, by the recursion of equation (1) that the statistics use too, and resets
// the counts.
func (d *decider) loadTick() {
	for i := range d.fleetLoad {
		gain := loadGain
		fewAnswers := i >= baselineAnswers && d.fleetLoad[answerCount] < 1
		if i >= customerLoad || fewAnswers {
			gain = slowLoadGain
		}
		d.fleetLoad[i] += gain * (d.tickLoad[i] - d.fleetLoad[i])
		d.ownLoad[i] += gain * (d.tickLoad[i] - d.ownLoad[i])
		if i != openRequests {
			d.tickLoad[i] = 0
		}
	}
	d.usualSpeed.add(forgettingFactor, d.fleetLoad[baselineAnswers], d.fleetLoad[baselineSpeeds])
}

// throughputTick grants credit to cold hosts, in proportion to the throughput per unit of capacity over the last 10 s or the
// last second, whichever is higher. The attempts of all routers together stay well below the collapse factor.
func (d *decider) throughputTick() {
	d.throughput.add(forgettingFactor, d.totalCapacity, d.tickLoad[answerCount])
	throughput := max(d.throughput.value(), d.ownLoad[answerCount]/max(d.totalCapacity, 1e-3))
	d.coldCredit += max(1.2, 0.8*d.settings.CollapseFactor) * throughput
}

// baselineSpeed returns the mean speed of the earlier build's recent answers.
func (d *decider) baselineSpeed() float64 {
	return decayingMean{d.fleetLoad[baselineAnswers], d.fleetLoad[baselineSpeeds]}.value()
}

func (d *decider) recordAnswerLoad(took int64) {
	d.tickLoad[answerCount]++
	d.tickLoad[answerSeconds] += float64(took) / float64(second)
}

// recordBaselineSpeed counts the speed of an answer of the earlier build: its latency target over its latency, corrected for
// the request's cost. The mean of speeds is dominated by fast answers, which did not wait, so it depends little on the load.
func (d *decider) recordBaselineSpeed(req *request, took int64) {
	speed := min(5, float64(req.class.LatencyTarget)/float64(took)*d.expectedLatency(req)/req.class.latency/10)
	d.tickLoad[baselineAnswers]++
	d.tickLoad[baselineSpeeds] += speed
}
