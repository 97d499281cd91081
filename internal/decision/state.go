package decision

import (
	"encoding/binary"
	"math"
	"slices"

	"portflow/internal/random"
	"portflow/internal/timerqueue"
)

type host struct {
	id       uint32
	zone     int
	kind     int
	cell     int
	health   Health
	build    int
	size     float64
	trial    bool // to be counted as on trial, in this stage
	stage    int
	started  int64
	ring     int
	listed   int64 // when this router was told of this start
	out      int   // hand-offs of this router that are out
	waiting  int64 // since when it owes a sign of life
	slow     float64
	slowAt   int64
	strikes  int
	aside    int64 // set aside until then
	budget   bucket
	credited float64 // how much of the credit has gone into it
	queue    float64
	queuedAt int64
}

func (h *host) side() int {
	if h.trial {
		return 1
	}
	return 0
}

type handOff struct {
	host     *host
	build    int
	at       int64
	until    int64
	number   int
	ended    bool
	unrun    bool // known not to have run
	recalled bool
	tie      *tie // what it ties its key to
}

type command struct {
	id       uint32
	band     *band
	carrier  int
	key      uint64
	hint     int64
	at       int64
	cutOff   int64
	contract int64
	most     int
	may      Question
	handOffs []*handOff
	out      int
	next     *host // wanted hand-off
	until    int64
	answer   answer // wanted final answer
	over     bool   // nothing more is owed
	streams  bool
	due      *timerqueue.Item[*command]
}

type answer uint8

const (
	none answer = iota
	dismiss
	scrap
)

// band is the table's row: the settings, and what was learnt.
type band struct {
	Band
	exposure *bucket
	typical  float64 // mean time of the earlier build's answers
	hint     float64 // mean hint
	rate     [2]float64
}

// vote is a verdict on a stage of a build.
type vote struct {
	verdict      Verdict
	build, stage int
}

// mean is a sum and of how many, both forgotten over some ticks.
type mean struct{ n, bad float64 }

func (m *mean) fade(keep, n, bad float64) { m.n, m.bad = keep*m.n+n, keep*m.bad+bad }
func (m mean) share() float64             { return m.bad / max(m.n, 1e-3) }

// tie is a build and how many of its answers to a key are there, or may come.
type tie struct{ build, many int }

// ties are each key's, by build; the last binds.
type ties map[uint64][]*tie

func (t ties) build(key uint64) int {
	if all := t[key]; len(all) > 0 {
		return all[len(all)-1].build
	}
	return 0
}

func (t ties) add(key uint64, build int) *tie {
	i, ok := slices.BinarySearchFunc(t[key], build, func(x *tie, b int) int { return x.build - b })
	if !ok {
		t[key] = slices.Insert(t[key], i, &tie{build: build})
	}
	x := t[key][i]
	x.many++
	return x
}

// drop takes back one add.
func (t ties) drop(key uint64, x *tie) {
	if x == nil {
		return
	}
	if x.many--; x.many == 0 {
		t.keep(key, func(y *tie) bool { return y != x })
	}
}

// forget drops all ties to a build and later ones.
func (t ties) forget(build int) {
	for key := range t {
		t.keep(key, func(x *tie) bool { return x.build < build })
	}
}

// untie drops all ties to a build and earlier ones.
func (t ties) untie(build int) {
	for key := range t {
		t.keep(key, func(x *tie) bool { return x.build > build })
	}
}

func (t ties) keep(key uint64, which func(*tie) bool) {
	t[key] = slices.DeleteFunc(t[key], func(x *tie) bool { return !which(x) })
	if len(t[key]) == 0 {
		delete(t, key)
	}
}

// bound is the earliest build that a key may still go to.
func (d *decider) bound(key uint64) int {
	if key == 0 {
		return 0
	}
	return max(d.floor, d.stuck.build(key))
}

// young tells whether the start of a build's hosts is known, as that of the first ones is not.
func (d *decider) young(build int) bool {
	return slices.ContainsFunc(d.fleet, func(h *host) bool { return h.build == build && h.started > 0 })
}

// sample is what one tick saw of a build: outcomes, their badness and its squares.
type sample struct{ n, bad, square [kinds]float64 }

// What the states count.
const (
	failing = iota
	lagging
	kinds
)

type decider struct {
	set    Settings
	out    Effects
	now    int64
	draw   random.Source
	bands  []*band
	fleet  []*host // all that are listed and not gone, by id
	queue  timerqueue.Queue[*command]
	held   []*command
	gone   []*command // ended outside their own events
	idle   []*host    // their idle connections are to be closed
	differ []*command // their wanted state may differ from the present one
	armed  int64      // when the latest wake-up is to come, 0 for none
	wakes  uint64     // how many have been asked for
	ticks  int64      // when the next tick is due

	news    News
	base    int // the newest build that was released before the one judged
	floor   int // no key goes back behind this build
	told    bool
	stageAt int64
	cap     float64          // what the builds on trial may get
	stuck   ties             // key: the build on trial that has answered it, as far as can be known
	seenKey map[uint64]int64 // key: when it last came
	again   bucket           // further hand-offs
	exposed *bucket          // what the trial may get, where bands share it

	count             [kinds]float64 // gossiped: the decayed trial counts
	state, spread     [kinds]float64 // gossiped: the states s, and the mean squares of their readings
	even              [kinds]mean    // count and state, evened over some ticks
	trial, earlier    sample         // this tick's
	past              [kinds]mean    // the earlier build's outcomes
	fresh             mean           // gossiped: how the trial lags, as past has it of the earlier build
	beside            [kinds]float64 // how many of them stand beside the trial's
	pastAt            int64          // when the latest of them that has ended was sent
	reach             [2][]*host     // the hosts that this router uses, of the earlier builds and of those on trial
	up                int            // hosts that show no sign of being down
	far               bool           // some hosts are not near
	scarce            int            // so many answers more it is short of connections
	part              [2]float64     // what all hosts of them can do now that are up
	total             float64        // what all hosts can do now
	credit            float64        // for cold hosts, by each unit of capacity
	carried           mean           // the fleet's capacity, and what it fulfilled
	warm              float64        // how many hosts of the build on trial are warm
	newest            int64          // the last start of a host of the build on trial, or of its stage
	doubtful          int            // ticks in a row in which the build looked bad
	condemned         bool           // it looked bad for long enough, on enough outcomes
	proof             float64        // gossiped: in how far tests found it to slow all hosts
	usual             mean           // speed of the earlier build over some seconds
	slowed            int            // ticks in a row in which it was much slower than before
	without           float64        // what a test measures without the trial's commands
	calm, level       float64        // the earlier build's speed before the trial; loss found no fault of it
	dipAt             int64          // since when the trial's commands are kept back, 0 for not
	want, cast, noted vote
	castAt, callAt    int64
	calling           bool

	began    int64
	watchAt  int64
	unheard  int             // calls for the list that failed since the last answer
	calls    random.Source   // for their times: other draws do not depend on them
	mean     float64         // mean time of an answer
	models   map[int]float64 // by kind of machine: how long it takes, over what all take
	own      []float64       // this tick's load
	mine     []float64       // its mean over some ticks
	load     []float64       // gossiped: the mean load of a router
	messages float64         // messages heard a tick
	company  float64         // routers that can be heard, and this one
	pressure float64         // part of the commands to turn away
}

// bucket is "within free + share x counted", kept so that it holds over every span of time.
type bucket struct{ have, top float64 }

func (b *bucket) add(x float64) { b.have = min(b.top, b.have+x) }
func (b *bucket) take() bool {
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

func (s *sample) put(k int, n, bad float64) {
	s.n[k] += n
	s.bad[k] += bad
	s.square[k] += bad * bad
}

// mayHaveRun is the first hand-off that is out or may have run.
func (c *command) mayHaveRun() *handOff {
	for _, h := range c.handOffs {
		if !h.unrun {
			return h
		}
	}
	return nil
}

func (c *command) met(h *host) bool {
	return slices.ContainsFunc(c.handOffs, func(x *handOff) bool { return x.host == h })
}

// compared tells whether the earlier build has fresh outcomes: a quiet router has few hand-offs of its own within that
// time, and goes by all routers' of the last second.
func (d *decider) compared() bool {
	return d.past[lagging].n > max(d.load[answers], 5/d.company)
}

// What gossip averages over the routers: judging figures of one build, then what each carries a tick.
const (
	open     = iota // commands that are held or out
	answers         // answers to commands
	times           // how long they took, in seconds
	sent            // hand-offs
	trials          // those of them that went to the trial, and count in its share
	earlier         // answers of the earlier build
	speeds          // how quick they were
	carriers        // commands of each carrier

	judging = 5*kinds + 3
)

// shared are the figures that gossip averages.
func (d *decider) shared() []*float64 {
	all := []*float64{&d.state[failing], &d.state[lagging], &d.past[lagging].bad, &d.fresh.bad, // these may be below zero
		&d.fresh.n,
		&d.spread[failing], &d.spread[lagging], &d.count[failing], &d.count[lagging], &d.past[failing].n,
		&d.past[lagging].n, &d.past[failing].bad, &d.proof}
	for i := range d.load {
		all = append(all, &d.load[i])
	}
	return all
}

// speed is that of the earlier build's answers of late.
func (d *decider) speed() float64 { return mean{d.load[earlier], d.load[speeds]}.share() }

// peer is a random other router.
func (d *decider) peer() int {
	return (d.set.Rank + 1 + int(d.chance()*float64(d.set.Routers-1))) % d.set.Routers
}

// encode is a message: the build judged, for how many seconds the trial has been kept back, and the shared
// figures, each as the upper half of a float32, as every byte has its price.
func (d *decider) encode() []byte {
	raw := binary.BigEndian.AppendUint16(nil, uint16(d.news.Build))
	dip := min(1e3, float64(d.now-d.dipAt)/float64(second))
	for _, f := range append(d.shared(), &dip) {
		raw = binary.BigEndian.AppendUint16(raw, uint16((math.Float32bits(float32(*f))+1<<15)>>16))
	}
	return raw
}

// decode tells the build and the figures of a message that is of the right length and holds possible numbers.
func (d *decider) decode(raw []byte) (build int, figures []float64, ok bool) {
	if len(raw) != 2*(2+judging+len(d.load)) {
		return 0, nil, false
	}
	for i := 2; i < len(raw); i += 2 {
		f := float64(math.Float32frombits(uint32(binary.BigEndian.Uint16(raw[i:])) << 16))
		if math.IsNaN(f) || math.Abs(f) > 1e6 || i >= 2+2*4 && f < 0 {
			return 0, nil, false
		}
		figures = append(figures, f)
	}
	return int(binary.BigEndian.Uint16(raw)), figures, true
}

func (d *decider) chance() float64 { return d.draw.Next() }

func blank(s Settings, seed uint64, out Effects) *decider {
	n := carriers + len(s.Carriers)
	if s.Most == 0 {
		s.Most = math.MaxInt
	}
	return &decider{set: s, out: out, draw: random.Source{Seed: seed}, calls: random.Source{Seed: ^seed}, stuck: ties{}, seenKey: map[uint64]int64{},
		models: map[int]float64{}, own: make([]float64, n), mine: make([]float64, n), load: make([]float64, n)}
}

// close marks that nothing more is owed.
func (d *decider) close(c *command) {
	if !c.over {
		d.own[open]--
	}
	c.over, c.next = true, nil
	d.queue.Remove(c.due)
	d.differ = append(d.differ, c) // for the hand-offs that are still out
}
