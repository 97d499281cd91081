package decision

// The load figures, of this router and of the mean router: openRequests and so on are indices of tickLoad, ownLoad and
// fleetLoad. The numbers of requests of each customer follow, from customerLoad.
const (
	openRequests    = iota // requests that wait or are in flight; not reset each tick
	answerCount            // answers a tick
	answerSeconds          // sum of their latencies, in seconds
	sentAttempts           // attempts
	trialAttempts          // those at the trial that count in its share
	baselineAnswers        // answers of the earlier build
	baselineSpeeds         // sum of their speeds: target latency over latency
	customerLoad           // requests of customer 0
)

// load is how much the routers carry. The three slices have the same indices.
type load struct {
	tickLoad  []float64 // of this tick
	ownLoad   []float64 // mean a tick of this router, over some ticks
	fleetLoad []float64 // gossiped: the same of the mean router

	throughput   decayingMean // gauges what the fleet carries: answers by its capacity
	usualSpeed   decayingMean // speed of the earlier build over some seconds
	meanLatency  float64      // mean latency of answers, in nanoseconds
	shedFraction float64      // share of the requests to shed
}

const (
	loadGain     = 0.1  // of a tick's load: a memory of one second
	slowLoadGain = 0.03 // the same of three seconds
)

func newLoad(customers int) load {
	n := customerLoad + customers
	return load{
		tickLoad:  make([]float64, n),
		ownLoad:   make([]float64, n),
		fleetLoad: make([]float64, n),
	}
}

// loadTick closes a tick's load: the averages follow the same recursion as the statistics' state, equation (1).
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

// throughputTick gives cold hosts credit. What the answers of the last 10 s, or of 1 s, show a fleet of this capacity to
// carry, cold hosts may have in proportion to theirs: the sum of all routers stays well below the collapse factor.
func (d *decider) throughputTick() {
	d.throughput.add(forgettingFactor, d.totalCapacity, d.tickLoad[answerCount])
	throughput := max(d.throughput.value(), d.ownLoad[answerCount]/max(d.totalCapacity, 1e-3))
	d.coldCredit += max(1.2, 0.8*d.settings.CollapseFactor) * throughput
}

// baselineSpeed is the mean speed of the earlier build's answers of late.
func (d *decider) baselineSpeed() float64 {
	return decayingMean{d.fleetLoad[baselineAnswers], d.fleetLoad[baselineSpeeds]}.value()
}

// recordAnswerLoad counts an answer in this tick's load.
func (d *decider) recordAnswerLoad(took int64) {
	d.tickLoad[answerCount]++
	d.tickLoad[answerSeconds] += float64(took) / float64(second)
}

// recordBaselineSpeed counts how quick an answer of the earlier build was. The mean of speeds goes by the quick answers,
// which did not wait: load changes it little.
func (d *decider) recordBaselineSpeed(req *request, took int64) {
	speed := min(5, float64(req.class.LatencyTarget)/float64(took)*d.expectedLatency(req)/req.class.latency/10)
	d.tickLoad[baselineAnswers]++
	d.tickLoad[baselineSpeeds] += speed
}
