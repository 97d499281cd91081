package decision

import (
	"encoding/binary"
	"math"
	"slices"

	"portflow/internal/random"
	"portflow/internal/timerqueue"
)

type host struct {
	id              uint32
	zone            int
	kind            int
	cell            int
	health          Health
	build           int
	capacity        float64
	onTrial         bool // to be counted as on trial, in this stage
	stage           int
	startedAt       int64
	distance        int
	listedAt        int64 // when this router was told of this start
	inFlight        int   // hand-offs of this router that are out
	silentSince     int64 // since when it owes a sign of life
	relativeLatency float64
	latencyAt       int64
	failures        int
	ejectedUntil    int64 // set aside until then
	budget          bucket
	creditTaken     float64 // how much of the credit has gone into it
	queueLength     float64
	reportedAt      int64
}

func (h *host) side() int {
	if h.onTrial {
		return 1
	}
	return 0
}

type attempt struct {
	host      *host
	build     int
	startedAt int64
	deadline  int64
	number    int
	ended     bool
	notRun    bool // known not to have run
	canceled  bool
	binding   *binding // what it ties its key to
}

type request struct {
	id              uint32
	class           *class
	customer        int
	key             uint64
	cost            int64
	receivedAt      int64
	deadline        int64
	target          int64
	maxAttempts     int
	filter          HostFilter
	attempts        []*attempt
	inFlight        int
	next            *host // wanted hand-off
	attemptDeadline int64
	wantedAnswer    finalAnswer // wanted final answer
	done            bool        // nothing more is owed
	streaming       bool
	check           *timerqueue.Item[*request]
}

type finalAnswer uint8

const (
	noAnswer finalAnswer = iota
	reject
	fail
)

// class is the table's row: the settings, and what was learnt.
type class struct {
	RequestClass
	exposure *bucket
	latency  float64 // mean time of the earlier build's answers
	cost     float64 // mean hint
	arrivals [2]float64
}

// vote is a verdict on a stage of a build.
type vote struct {
	verdict      Verdict
	build, stage int
}

// decayingMean is a sum and of how many, both forgotten over some ticks.
type decayingMean struct{ weight, sum float64 }

func (m *decayingMean) add(keep, weight, sum float64) {
	m.weight, m.sum = keep*m.weight+weight, keep*m.sum+sum
}
func (m decayingMean) value() float64 { return m.sum / max(m.weight, 1e-3) }

// binding is a build and how many of its answers to a key are there, or may come.
type binding struct{ build, answers int }

// keyBindings are each key's, by build; the last binds.
type keyBindings map[uint64][]*binding

func (t keyBindings) latest(key uint64) int {
	if all := t[key]; len(all) > 0 {
		return all[len(all)-1].build
	}
	return 0
}

func (t keyBindings) bind(key uint64, build int) *binding {
	i, ok := slices.BinarySearchFunc(t[key], build, func(found *binding, b int) int { return found.build - b })
	if !ok {
		t[key] = slices.Insert(t[key], i, &binding{build: build})
	}
	found := t[key][i]
	found.answers++
	return found
}

// unbind takes back one add.
func (t keyBindings) unbind(key uint64, x *binding) {
	if x == nil {
		return
	}
	if x.answers--; x.answers == 0 {
		t.filter(key, func(y *binding) bool { return y != x })
	}
}

// dropFrom drops all ties to a build and later ones.
func (t keyBindings) dropFrom(build int) {
	for key := range t {
		t.filter(key, func(x *binding) bool { return x.build < build })
	}
}

// dropUpTo drops all ties to a build and earlier ones.
func (t keyBindings) dropUpTo(build int) {
	for key := range t {
		t.filter(key, func(x *binding) bool { return x.build > build })
	}
}

func (t keyBindings) filter(key uint64, which func(*binding) bool) {
	t[key] = slices.DeleteFunc(t[key], func(x *binding) bool { return !which(x) })
	if len(t[key]) == 0 {
		delete(t, key)
	}
}

// minBuildFor is the earliest build that a key may still go to.
func (d *decider) minBuildFor(key uint64) int {
	if key == 0 {
		return 0
	}
	return max(d.minBuild, d.bindings.latest(key))
}

// startsKnown tells whether the start of a build's hosts is known, as that of the first ones is not.
func (d *decider) startsKnown(build int) bool {
	return slices.ContainsFunc(d.hosts, func(h *host) bool { return h.build == build && h.startedAt > 0 })
}

// sample is what one tick saw of a build: outcomes, their badness and its squares.
type sample struct{ count, badness, squares [statisticCount]float64 }

// What the states count.
const (
	failures = iota
	lag
	statisticCount
)

type decider struct {
	settings    Settings
	effects     Effects
	now         int64
	source      random.Source
	classes     []*class
	hosts       []*host // all that are listed and not gone, by id
	queue       timerqueue.Queue[*request]
	pending     []*request
	finished    []*request // ended outside their own events
	idleToClose []*host    // their idle connections are to be closed
	changed     []*request // their wanted state may differ from the present one
	timerAt     int64      // when the latest wake-up is to come, 0 for none
	timerID     uint64     // how many have been asked for
	nextTick    int64      // when the next tick is due

	rollout        Rollout
	baseBuild      int // the newest build that was released before the one judged
	minBuild       int // no key goes back behind this build
	hasRollout     bool
	stageSince     int64
	exposureCap    float64          // what the builds on trial may get
	bindings       keyBindings      // key: the build on trial that has answered it, as far as can be known
	keySeenAt      map[uint64]int64 // key: when it last came
	retryBudget    bucket           // further hand-offs
	sharedExposure *bucket          // what the trial may get, where bands share it

	count                              [statisticCount]float64      // gossiped: the decayed trial counts
	state, meanSquare                  [statisticCount]float64      // gossiped: the states s, and the mean squares of their readings
	smoothed                           [statisticCount]decayingMean // count and state, evened over some ticks
	trial, baseline                    sample                       // this tick's
	baselineMean                       [statisticCount]decayingMean // the earlier build's outcomes
	trialLag                           decayingMean                 // gossiped: how the trial lags, as past has it of the earlier build
	baselineCount                      [statisticCount]float64      // how many of them stand beside the trial's
	baselineSentAt                     int64                        // when the latest of them that has ended was sent
	subset                             [2][]*host                   // the hosts that this router uses, of the earlier builds and of those on trial
	healthyHosts                       int                          // hosts that show no sign of being down
	hasDistantHosts                    bool                         // some hosts are not near
	connectionShortage                 int                          // so many answers more it is short of connections
	sideCapacity                       [2]float64                   // what all hosts of them can do now that are up
	totalCapacity                      float64                      // what all hosts can do now
	coldCredit                         float64                      // for cold hosts, by each unit of capacity
	throughput                         decayingMean                 // the fleet's capacity, and what it fulfilled
	warmTrialHosts                     float64                      // how many hosts of the build on trial are warm
	lastTrialStart                     int64                        // the last start of a host of the build on trial, or of its stage
	ticksAbove                         int                          // ticks in a row in which the build looked bad
	buildRejected                      bool                         // it looked bad for long enough, on enough outcomes
	interference                       float64                      // gossiped: in how far tests found it to slow all hosts
	usualSpeed                         decayingMean                 // speed of the earlier build over some seconds
	slowTicks                          int                          // ticks in a row in which it was much slower than before
	pausedSlowdown                     float64                      // what a test measures without the trial's commands
	speedBeforeTrial, acceptedSlowdown float64                      // the earlier build's speed before the trial; loss found no fault of it
	pausedAt                           int64                        // since when the trial's commands are kept back, 0 for not
	wantedVote, castVote, loggedVote   vote
	voteCastAt, voteCallAt             int64
	voteInFlight                       bool

	startedAt        int64
	fetchAt          int64
	fetchFailures    int             // calls for the list that failed since the last answer
	fetchSource      random.Source   // for their times: other draws do not depend on them
	meanLatency      float64         // mean time of an answer
	slownessByKind   map[int]float64 // by kind of machine: how long it takes, over what all take
	tickLoad         []float64       // this tick's load
	ownLoad          []float64       // its mean over some ticks
	fleetLoad        []float64       // gossiped: the mean load of a router
	gossipRate       float64         // messages heard a tick
	reachableRouters float64         // routers that can be heard, and this one
	pressure         float64         // part of the commands to turn away
}

// bucket is "within free + share x counted", kept so that it holds over every span of time.
type bucket struct{ tokens, limit float64 }

func (b *bucket) add(x float64) { b.tokens = min(b.limit, b.tokens+x) }
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (s *sample) add(kind int, n, badness float64) {
	s.count[kind] += n
	s.badness[kind] += badness
	s.squares[kind] += badness * badness
}

// firstPossibleRun is the first hand-off that is out or may have run.
func (r *request) firstPossibleRun() *attempt {
	for _, h := range r.attempts {
		if !h.notRun {
			return h
		}
	}
	return nil
}

func (r *request) triedOn(h *host) bool {
	return slices.ContainsFunc(r.attempts, func(x *attempt) bool { return x.host == h })
}

// hasFreshBaseline tells whether the earlier build has fresh outcomes: a quiet router has few hand-offs of its own within that
// time, and goes by all routers' of the last second.
func (d *decider) hasFreshBaseline() bool {
	return d.baselineMean[lag].weight > max(d.fleetLoad[answerCount], 5/d.reachableRouters)
}

// What gossip averages over the routers: judging figures of one build, then what each carries a tick.
const (
	openRequests    = iota // commands that are held or out
	answerCount            // answers to commands
	answerSeconds          // how long they took, in seconds
	sentAttempts           // hand-offs
	trialAttempts          // those of them that went to the trial, and count in its share
	baselineAnswers        // answers of the earlier build
	baselineSpeeds         // how quick they were
	loadFields             // commands of each carrier

	trialValues = 5*statisticCount + 3
)

// gossipedValues are the figures that gossip averages.
func (d *decider) gossipedValues() []*float64 {
	all := []*float64{&d.state[failures], &d.state[lag], &d.baselineMean[lag].sum, &d.trialLag.sum, // these may be below zero
		&d.trialLag.weight,
		&d.meanSquare[failures], &d.meanSquare[lag], &d.count[failures], &d.count[lag], &d.baselineMean[failures].weight,
		&d.baselineMean[lag].weight, &d.baselineMean[failures].sum, &d.interference}
	for i := range d.fleetLoad {
		all = append(all, &d.fleetLoad[i])
	}
	return all
}

// baselineSpeed is that of the earlier build's answers of late.
func (d *decider) baselineSpeed() float64 {
	return decayingMean{d.fleetLoad[baselineAnswers], d.fleetLoad[baselineSpeeds]}.value()
}

// randomPeer is a random other router.
func (d *decider) randomPeer() int {
	return (d.settings.Rank + 1 + int(d.random()*float64(d.settings.Routers-1))) % d.settings.Routers
}

// encodeGossip is a message: the build judged, for how many seconds the trial has been kept back, and the shared
// figures, each as the upper half of a float32, as every byte has its price.
func (d *decider) encodeGossip() []byte {
	raw := binary.BigEndian.AppendUint16(nil, uint16(d.rollout.Build))
	pausedFor := min(1e3, float64(d.now-d.pausedAt)/float64(second))
	for _, value := range append(d.gossipedValues(), &pausedFor) {
		raw = binary.BigEndian.AppendUint16(raw, uint16((math.Float32bits(float32(*value))+1<<15)>>16))
	}
	return raw
}

// decodeGossip tells the build and the figures of a message that is of the right length and holds possible numbers.
func (d *decider) decodeGossip(raw []byte) (build int, values []float64, ok bool) {
	if len(raw) != 2*(2+trialValues+len(d.fleetLoad)) {
		return 0, nil, false
	}
	for i := 2; i < len(raw); i += 2 {
		value := float64(math.Float32frombits(uint32(binary.BigEndian.Uint16(raw[i:])) << 16))
		if math.IsNaN(value) || math.Abs(value) > 1e6 || i >= 2+2*4 && value < 0 {
			return 0, nil, false
		}
		values = append(values, value)
	}
	return int(binary.BigEndian.Uint16(raw)), values, true
}

func (d *decider) random() float64 { return d.source.Float64() }

func emptyDecider(s Settings, seed uint64, out Effects) *decider {
	n := loadFields + len(s.Customers)
	if s.MaxOpen == 0 {
		s.MaxOpen = math.MaxInt
	}
	return &decider{settings: s, effects: out, source: random.Source{Seed: seed}, fetchSource: random.Source{Seed: ^seed}, bindings: keyBindings{}, keySeenAt: map[uint64]int64{},
		slownessByKind: map[int]float64{}, tickLoad: make([]float64, n), ownLoad: make([]float64, n), fleetLoad: make([]float64, n)}
}

// finish marks that nothing more is owed.
func (d *decider) finish(req *request) {
	if !req.done {
		d.tickLoad[openRequests]--
	}
	req.done, req.next = true, nil
	d.queue.Remove(req.check)
	d.changed = append(d.changed, req) // for the hand-offs that are still out
}
