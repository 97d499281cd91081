package decision

import (
	"maps"
	"math"

	"portflow/internal/random"
	"portflow/internal/timerqueue"
)

// second is a second in nanoseconds, the unit of all times here.
const second = int64(1e9)

// tickInterval is the time between two ticks, from t to t+1 in the equations of the paper cited in statistics.go.
const tickInterval = second / 10

// keyMemory is how long the time of a key's last request is kept.
const keyMemory = 3 * second

// decider holds the state of the decision engine. The methods of Engine set now, update the state and then call emitEffects.
// Each embedded struct is declared in the file of its concern.
type decider struct {
	settings  Settings
	effects   Effects
	now       int64
	startedAt int64
	source    random.Source
	classes   []*class

	queue    timerqueue.Queue[*request] // requests by the time of their next check
	pending  []*request                 // requests that wait for a usable host
	changed  []*request                 // requests that may have effects for emitEffects to emit; duplicates are allowed
	finished []*request                 // requests answered by emitEffects, for TimerFired to remove
	timerAt  int64                      // when the latest timer is due, 0 for none
	timerID  uint64                     // ID of the latest timer, also the number of timers set so far
	nextTick int64

	retryBudget bucket // charged for retries and hedged requests

	discovery
	hostPool
	affinity
	load
	rolloutTracker
	statistics
	gossip
	interferenceTest
	voting
}

func newDecider(s Settings, seed uint64, effects Effects) *decider {
	d := emptyDecider(s, seed, effects)
	d.retryBudget = bucket{tokens: 5, limit: 10} // initial tokens, so that the failure of a host at startup can be retried
	d.acceptedSlowdown = 1
	d.sharedExposure = &bucket{s.TrialBurst, s.TrialBurst}
	for _, c := range s.Classes {
		row := d.newClass(c)
		d.meanLatency += row.latency / float64(len(s.Classes))
		d.classes = append(d.classes, row)
	}
	return d
}

// emptyDecider returns a decider without classes and budgets.
func emptyDecider(s Settings, seed uint64, effects Effects) *decider {
	if s.MaxOpen == 0 {
		s.MaxOpen = math.MaxInt
	}
	d := &decider{
		settings: s,
		effects:  effects,
		source:   random.Source{Seed: seed},
		load:     newLoad(len(s.Customers)),
	}
	d.fetchSource = random.Source{Seed: ^seed}
	d.bindings = keyBindings{}
	d.keySeenAt = map[uint64]int64{}
	d.slownessByKind = map[int]float64{}
	return d
}

func (d *decider) newClass(c RequestClass) *class {
	row := &class{RequestClass: c, exposure: d.sharedExposure, latency: c.InitialLatency()}
	if d.settings.CapPerClass {
		row.exposure = &bucket{d.settings.TrialBurst, d.settings.TrialBurst}
	}
	return row
}

func (d *decider) start() {
	d.startedAt = d.now
	d.nextTick = d.now + tickInterval
	d.fetchAt = d.now + d.fetchPacing().FirstDelay(d.fetchSource.Float64())
}

// random returns a random number in [0, 1).
func (d *decider) random() float64 { return d.source.Float64() }

// timerFired checks the requests that are due, and runs a tick if one is due. It clears timerAt even if the latest timer
// fired before its time, as emitTimer would set no further timer otherwise.
func (d *decider) timerFired(id uint64) {
	if id == d.timerID {
		d.timerAt = 0
	}
	for req, ok := d.queue.PopDue(d.now); ok; req, ok = d.queue.PopDue(d.now) {
		d.check(req)
	}
	if d.now < d.nextTick {
		return
	}
	missed := (d.now - d.nextTick + tickInterval) / tickInterval
	d.nextTick += missed * tickInterval
	d.tick()
	d.updateHosts()
	maps.DeleteFunc(d.keySeenAt, func(_ uint64, at int64) bool { return d.now-at > keyMemory })
}

// tick runs the periodic work, once every tickInterval. Missed ticks are not made up for.
func (d *decider) tick() {
	d.statisticsTick()
	d.throughputTick()
	d.loadTick()
	d.gossipTick()
	d.decide()
}
