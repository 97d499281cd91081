package decision

import (
	"maps"
	"math"

	"portflow/internal/random"
	"portflow/internal/timerqueue"
)

// second is a second in nanoseconds, the unit of all times here.
const second = int64(1e9)

// tickInterval is the time between two ticks: t to t+1 in the paper's equations.
const tickInterval = second / 10

// keyMemory is how long a key's last request is remembered.
const keyMemory = 3 * second

// decider is the state of all decisions. Engine's methods set now, change it, and call emitEffects at their end. The embedded
// parts are each described in the file of their concern.
type decider struct {
	settings  Settings
	effects   Effects
	now       int64
	startedAt int64
	source    random.Source
	classes   []*class

	queue    timerqueue.Queue[*request] // when requests must be checked again
	pending  []*request                 // that no host takes at present
	changed  []*request                 // for emitEffects: what is wanted of them may not be emitted yet
	finished []*request                 // ended outside their own events
	timerAt  int64                      // when the latest timer is due, 0 for none
	timerID  uint64                     // its id, which is the number of timers so far
	nextTick int64

	retryBudget bucket // attempts beyond a request's first

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
	d.retryBudget = bucket{tokens: 5, limit: 10} // some at once, for a host that fails
	d.acceptedSlowdown = 1
	d.sharedExposure = &bucket{s.TrialBurst, s.TrialBurst}
	for _, c := range s.Classes {
		row := d.newClass(c)
		d.meanLatency += row.latency / float64(len(s.Classes))
		d.classes = append(d.classes, row)
	}
	return d
}

// emptyDecider has no classes and no budgets yet.
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

// random is a random number from 0 up to 1.
func (d *decider) random() float64 { return d.source.Float64() }

// timerFired checks the requests that are due, and does a tick if it is time. It takes the latest timer as fired whatever
// the clock says: one that fires early must not end the chain of timers.
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

// tick does what is done once every tickInterval.
func (d *decider) tick() {
	d.statisticsTick()
	d.throughputTick()
	d.loadTick()
	d.gossipTick()
	d.decide()
}
