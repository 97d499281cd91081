// The decision module. A front (the bench's adapter now, a real router later) makes one Router an instance
// with New, calls its methods in door.go as things happen, each with the time, and carries out the Effects.
// Every call changes the state, sets what is wanted, and ends in settle, which emits the difference.
// The ordinary path is distributed change detection (see docs/design.md): tick, heard, judge.

package rules

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
)

const second = int64(1e9)

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

func newDecider(s Settings, seed uint64, out Effects) *decider {
	d := &decider{set: s, out: out, seed: seed, stuck: map[uint64]int{}, seenKey: map[uint64]int64{},
		rates: make([]float64, s.Routers), heardAt: make([]int64, s.Routers), carriers: make([]float64, len(s.Carriers))}
	one := &bucket{s.Free, s.Free}
	for _, b := range s.Bands {
		row := &band{Band: b, exposure: one, typical: float64(b.Contract) / 5}
		if s.CapByBand {
			row.exposure = &bucket{s.Free, s.Free}
		}
		d.bands = append(d.bands, row)
	}
	d.again = bucket{5, 10}
	return d
}

// chance draws from [0, 1).
func (d *decider) chance() float64 {
	d.draws++
	f := fnv.New64a()
	f.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, d.draws), d.seed))
	x := f.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53)
}

// tickLen is the design's tick.
const tickLen = second / 10

func (d *decider) begin() {
	d.ticks = d.now + tickLen
	d.watchAt, d.began = d.now, d.now
	d.settle()
}

// settle works out how the present differs from what is wanted and emits it.
func (d *decider) settle() {
	for _, c := range d.differ {
		if c.answer != none && !c.over {
			if c.answer == dismiss {
				d.out.Dismiss(c.id, d.advice())
			} else {
				d.out.Scrap(c.id)
			}
			d.close(c)
			d.gone = append(d.gone, c)
		}
		switch {
		case c.over && !c.recalled:
			c.recalled = true
			for _, h := range c.handOffs {
				if !h.ended && d.set.Recalls && !c.streams {
					d.out.Recall(c.id, h.number)
				}
			}
		case c.over:
		case c.next != nil:
			h := c.next
			c.next = nil
			c.handOffs = append(c.handOffs, &handOff{host: h, build: h.build, at: d.now, until: c.until,
				number: len(c.handOffs)})
			c.out++
			if h.out++; h.out == 1 {
				h.waiting = d.now
			}
			d.out.HandOff(c.id, h.id, c.until)
			d.queue.Remove(c.due)
			c.due = d.queue.Add(d.nextLook(c), c)
		}
	}
	d.differ = d.differ[:0]
	if d.set.Subscribe && d.watchAt != 0 && d.now >= d.watchAt {
		d.watchAt = 0
		d.out.Watch(true)
	}
	d.settleVote()
	next := d.ticks
	if at, ok := d.queue.Next(); ok {
		next = min(next, at)
	}
	if next = max(next, d.now+1); d.armed == 0 || next < d.armed {
		d.armed = next
		d.wakes++
		d.out.Wake(next-d.now, d.wakes)
	}
}

// settleVote casts the wanted vote where it differs from the one that stands, and renews it in time.
func (d *decider) settleVote() {
	if d.calling && d.now-d.callAt > d.set.VoteWait+second { // an answer that never comes must not end the voting
		d.calling = false
	}
	standing := d.cast.verdict != NoVote && d.now-d.castAt < d.set.VoteLife
	if d.calling || d.now < d.callAt+retryVote || d.want == d.cast && (d.want.verdict == NoVote ||
		d.now-d.castAt < d.set.VoteLife/2) || d.want.verdict == NoVote && !standing {
		return
	}
	d.calling, d.callAt = true, d.now
	d.cast, d.castAt = d.want, d.now
	d.out.Vote(d.want.verdict, d.want.build, d.want.stage)
	if d.want == d.noted {
		return
	}
	d.noted = d.want
	mean, err := d.excess()
	d.out.Note(fmt.Sprintf("vote %d on build %d stage %d: excess %.3f, its error %.3f, pooled count %.0f, usual %.3f",
		d.want.verdict, d.want.build, d.want.stage, mean, err, d.count*d.company(), d.usual))
}

// retryVote keeps the voters' calls far below what platforms take, and is short beside a stage.
const retryVote = second / 4

func (d *decider) advice() int64 {
	if !d.set.Advice {
		return 0
	}
	return min(d.set.MaxAdvice, second/4) // about as long as a burst's queue takes to drain
}

// nextLook is when a command wants another look: for a second copy, or for its last answer.
func (d *decider) nextLook(c *command) int64 {
	last := c.cutOff - 2*d.set.Tick // the answer must be there before the client gives up
	if !d.set.Copies || c.band.Repeat == SingleUse || len(c.handOffs) != 1 {
		return last
	}
	// 2.5 typical times: longer than almost every healthy answer, and early enough to be of use
	return min(last, max(d.now+int64(2.5*d.expected(c)), d.now+1))
}

func (d *decider) take(c *command) {
	d.taken++
	d.open++
	c.band.exposure.add(d.cap)
	d.again.add(0.1) // one further hand-off for ten commands bounds what failures add to an overload
	c.due = d.queue.Add(d.nextLook(c), c)
	if d.sheds(c) {
		d.give(c)
	} else {
		d.place(c)
	}
	if c.key != 0 {
		d.seenKey[c.key] = d.now
	}
	d.settle()
}

// place wants a hand-off to the best host, or holds the command for a short time.
func (d *decider) place(c *command) {
	h := d.pick(c)
	d.differ = append(d.differ, c)
	if h == nil {
		if d.now-c.at > c.band.Contract/4 { // what can't be placed by then has little hope; say so at once
			d.give(c)
		} else {
			d.held = append(d.held, c)
		}
		return
	}
	c.next, c.until = h, c.cutOff
	spare := c.contract - int64(1.5*c.band.typical) // where one copy must end before the next: leave time for it
	if !d.set.Copies && d.mayRepeat(c, true) && float64(spare-d.now) > 4*d.expected(c) && d.again.have >= 1 {
		c.until = min(c.until, spare)
	}
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

// mayRepeat tells whether the band allows another hand-off; ran counts the present one as having run.
func (d *decider) mayRepeat(c *command, ran bool) bool {
	first := c.mayHaveRun()
	switch {
	case len(c.handOffs) >= d.set.MaxHandOffs:
		return false
	case c.band.Repeat == SingleUse:
		return first == nil && !ran
	case c.band.Repeat == Referenced && first != nil:
		return d.now+2*d.set.Tick < first.at+c.band.Memory
	}
	return true
}

// give ends a command at once: dismissed where that promises nothing untrue, else scrapped.
func (d *decider) give(c *command) {
	c.answer = scrap
	if first := c.mayHaveRun(); first == nil || c.band.Repeat == Replayable ||
		c.band.Repeat == Referenced && c.band.Group == AllHosts && d.mayRepeat(c, true) {
		c.answer = dismiss
	}
	d.differ = append(d.differ, c)
}

// close marks that nothing more is owed.
func (d *decider) close(c *command) {
	if !c.over {
		d.open--
	}
	c.over, c.next = true, nil
	d.queue.Remove(c.due)
}

// left ends a command whose client has gone.
func (d *decider) left(c *command) {
	d.close(c)
	d.differ = append(d.differ, c)
	d.settle()
}

// onTrial tells whether this router must count a build as on trial, and at which stage.
func (d *decider) onTrial(build int) (stage int, yes bool) {
	if build > d.news.Build || !d.told {
		return 0, true
	}
	return d.news.Stage, build == d.news.Build && d.news.Standing != Released
}

// lowestCap is the share that the builds on trial may get: the lowest that any listed one has.
func (d *decider) lowestCap() float64 {
	cap := 1.0
	if d.told && d.news.Standing != Released {
		cap = d.news.Cap
	}
	for _, h := range d.fleet {
		if h.build > d.news.Build {
			cap = min(cap, d.set.FirstCap)
		}
	}
	return cap
}

// warmth is the part of its capacity that a host can surely use.
func (d *decider) warmth(h *host) float64 {
	if h.started == 0 || d.now-h.started >= d.set.ColdFor {
		return 1
	}
	return d.set.ColdFrom + (1-d.set.ColdFrom)*max(0, float64(d.now-h.started)/float64(d.set.ColdFor))
}

// usable tells whether the rules allow a hand-off of c to h.
func (d *decider) usable(c *command, h *host, stuck int) bool {
	if h.health != Ready || h.build < stuck || d.warmth(h) < 1 && h.budget.have < 1 {
		return false
	}
	if stage, yes := d.onTrial(h.build); yes && (c.band.exposure.have < 1 || d.cap <= 0 ||
		stage < d.set.Guarded && c.band.Repeat != Replayable) {
		return false
	}
	if first := c.mayHaveRun(); first != nil && c.band.Repeat == Referenced {
		return c.band.Group == AllHosts || h.zone == first.host.zone && (c.band.Group == SameZone ||
			h.cell == first.host.cell)
	}
	return true
}

// pick chooses the build by its share, then the better of two random hosts inside it.
func (d *decider) pick(c *command) *host {
	stuck := d.stuck[c.key]
	if c.key == 0 {
		stuck = 0
	}
	var pools [2][]*host
	var sizes [2]float64
	for _, strict := range []bool{true, false} {
		for _, h := range d.fleet {
			if !d.usable(c, h, stuck) || strict && (h.aside > d.now || c.met(h)) {
				continue
			}
			side := 0
			if _, yes := d.onTrial(h.build); yes {
				side = 1
			}
			pools[side] = append(pools[side], h)
			sizes[side] += h.size * d.warmth(h)
		}
		if len(pools[0])+len(pools[1]) > 0 {
			break
		}
	}
	pool := pools[0]
	if len(pools[1]) > 0 {
		share := sizes[1] / (sizes[0] + sizes[1])
		if d.condemned {
			share /= 10 // a build that looks bad gets just enough to go on being judged
		} else if c.key != 0 && d.set.KeysStay && stuck == 0 && d.cap < 1 && d.now-d.seenKey[c.key] < 3*second {
			share = 0 // a key that comes often would tie more commands to the trial than the cap lets through
		}
		if len(pools[0]) == 0 || d.chance() < share {
			pool = pools[1]
		}
	}
	if len(pool) == 0 {
		return nil
	}
	a, b := pool[int(d.chance()*float64(len(pool)))], pool[int(d.chance()*float64(len(pool)))]
	if d.cost(b) < d.cost(a) {
		a = b
	}
	if d.warmth(a) < 1 {
		a.budget.take()
	}
	if _, yes := d.onTrial(a.build); yes {
		c.band.exposure.take()
	}
	return a
}

func (c *command) met(h *host) bool {
	return slices.ContainsFunc(c.handOffs, func(x *handOff) bool { return x.host == h })
}

// cost is how long a command would take at h: what is there, over what it can do, times how slow it has been.
func (d *decider) cost(h *host) float64 {
	there := 1 + float64(h.out)
	if age := float64(d.now-h.queuedAt) / float64(second); h.queuedAt > 0 {
		there += h.queue * math.Exp(-age) // a report says less the older it is
	}
	cost := there / (h.size * d.warmth(h)) * d.slowness(h)
	if h.out > 0 { // owing a sign of life for long: paused, stalled or silent
		cost *= 1 + float64(d.now-h.waiting)/d.typical()
	}
	return cost
}

func (d *decider) typical() float64 {
	sum := 0.0
	for _, b := range d.bands {
		sum += b.typical
	}
	return sum / float64(len(d.bands))
}

// slowness is a host's mean time over the typical one; it is forgotten over some seconds.
func (d *decider) slowness(h *host) float64 {
	return 1 + (h.slow-1)*math.Exp(-float64(d.now-h.slowAt)/float64(5*second))
}

func (d *decider) ended(c *command, o *handOff, e Ending, over bool, took int64, report []float64) {
	h := o.host
	h.out--
	h.waiting = d.now
	o.unrun = e == TurnedAway || e == NoConnect || e == Unsent
	d.report(h, report)
	d.health(h, e)
	if e == Fulfilled && !c.streams {
		ratio := float64(took) / d.expected(c)
		h.slow = d.slowness(h) + 0.2*(min(ratio, 8)-d.slowness(h)) // about the last five answers
		h.slowAt = d.now
		d.done++
		if !d.judged(o.build) {
			c.band.typical += 0.01 * (float64(took) - c.band.typical)
			if c.band.hint == 0 {
				c.band.hint = float64(c.hint)
			}
			c.band.hint += 0.01 * (float64(c.hint) - c.band.hint)
		}
		d.warmed()
		if o.build >= d.news.Build && o.build > d.base && d.set.KeysStay && c.key != 0 { // also once released
			d.stuck[c.key] = max(d.stuck[c.key], o.build)
		}
	}
	d.weigh(c, o, e, took)
	switch {
	case c.over:
	case over:
		d.close(c)
		d.differ = append(d.differ, c)
	case c.out > 0:
	default:
		d.afresh(c)
	}
	d.settle()
}

// expected is the time that the earlier build takes for such a command, by its band and its hint.
func (d *decider) expected(c *command) float64 {
	if c.hint <= 0 || c.band.hint <= 0 {
		return c.band.typical
	}
	return c.band.typical * min(4, max(0.25, float64(c.hint)/c.band.hint))
}

// afresh hands a command off again where that is allowed and of use, else ends it.
func (d *decider) afresh(c *command) {
	worth := c.contract
	if c.band.LateOf > 0 {
		worth = c.cutOff
	}
	if d.mayRepeat(c, false) && float64(worth-d.now) > c.band.typical/2 && d.again.take() {
		d.place(c)
	} else {
		d.give(c)
	}
}

func (d *decider) begun(c *command, o *handOff) {
	c.streams = true
	d.queue.Remove(c.due)
	o.host.waiting = d.now
	d.settle()
}

// warmed lets cold hosts have what fulfilled commands show that a fleet of this capacity carries: the sum over
// all routers then stays at this multiple of what a cold host can do, however much clients ask for.
func (d *decider) warmed() {
	total := 0.0
	for _, h := range d.fleet {
		if h.health == Ready {
			total += h.size * d.warmth(h)
		}
	}
	for _, h := range d.fleet {
		if w := d.warmth(h); w < 1 {
			h.budget.add(1.2 * h.size * w / total) // room to even out chance, well under every stated multiple
		}
	}
}

// health sets a host aside after signs that it is down, for longer each time, and takes it back after an answer.
func (d *decider) health(h *host, e Ending) {
	switch e {
	case Fulfilled, Failed:
		h.strikes, h.aside = 0, 0
	case TurnedAway:
		h.aside = max(h.aside, d.now+second/5) // a full queue needs a moment
	case NoConnect, Reset, TimedOut:
		h.strikes++
		if e != TimedOut || h.strikes > 2 { // one slow answer is no sign of a dead host
			h.aside = d.now + second/2<<min(h.strikes, 4)
		}
	}
}

func (d *decider) report(h *host, values []float64) {
	for i, v := range values {
		if i < len(d.set.Reports) && (d.set.Reports[i] == Waiting || d.set.Reports[i] == Holding) {
			if v >= 0 && v < 1e6 {
				h.queue, h.queuedAt = v, d.now
			}
		}
	}
}

// judged tells whether a build is the one whose failures the state counts.
func (d *decider) judged(build int) bool {
	return d.told && build == d.news.Build && build > d.base && d.news.Standing != Withdrawn
}

// slowBadness makes a slow answer a part of a failure: the page's failures miss builds that are slow within
// their time-outs. It acts on answers later than twice the expected time, and on hand-offs cut short.
const slowBadness = 0.3

// alongside is how fresh the earlier build's outcomes must be to compare slowness with: a shared slowdown or an
// overload, after the earlier hosts have left, is no fault of the build.
const alongside = 2 * second

// weigh counts an outcome for the reading of this tick.
func (d *decider) weigh(c *command, o *handOff, e Ending, took int64) {
	bad := 0.0
	switch e {
	case Fulfilled, TimedOut:
		// a cold host may take longer by as much as it can do less; slow beside nothing is no fault of the build
		if float64(took) > 2*d.expected(c)/d.warmth(o.host) && (!d.judged(o.build) || d.now-d.pastAt < alongside) {
			bad = slowBadness
			if e == TimedOut && o.until >= c.cutOff {
				bad = 1
			}
		}
	case Failed, Reset:
		bad = 1
	default:
		return
	}
	if d.judged(o.build) {
		if o.at-o.host.listed >= second { // the page: trial machines listed a short while ago are skipped
			d.trial.put(1, bad)
		}
	} else {
		d.earlier.put(1, bad)
		d.pastAt = d.now
	}
}

func (s *sample) put(n, bad float64) {
	s.n += n
	s.bad += bad
}

// flagged counts a wrong answer for as many as the reports stand for.
func (d *decider) flagged(h *host, age int64) {
	bad := 1 / max(d.set.FlagShare, 0.05)
	if d.judged(h.build) {
		d.trial.put(0, bad)
	} else {
		d.earlier.put(0, bad)
	}
	d.settle()
}

func (d *decider) counted(build int, b *band, many, failed int, mean, age int64) {}

func (d *decider) probed(h *host, e Ending, report []float64) {
	h.probed = false
	d.report(h, report)
	if e == Fulfilled {
		h.aside, h.strikes = 0, 0
	}
	d.settle()
}

// forgetting is the factor a tick: a memory of 10 s, so that the first stage's few commands add up.
const forgetting = 0.99

// tick makes the reading and tells one random peer.
func (d *decider) tick() {
	// the earlier build's share is of the last second: of the same time as the trial's, and yet of some outcomes
	d.past.n, d.past.bad = 0.9*d.past.n+d.earlier.n, 0.9*d.past.bad+d.earlier.bad
	d.usual = d.past.bad / max(d.past.n, 1)
	x, seen, square := 0.0, 0.0, 0.0
	if n := max(d.trial.n, 1); d.trial.n > 0 || d.trial.bad > 0 {
		x, seen, square = d.trial.bad/n-d.usual, 1, d.trial.bad/n*d.trial.bad/n
	}
	d.state = forgetting*d.state + (1-forgetting)*x
	d.seen = forgetting*d.seen + (1-forgetting)*seen
	d.spread = forgetting*d.spread + (1-forgetting)*square
	d.count = forgetting*d.count + d.trial.n
	d.trial, d.earlier = sample{}, sample{}
	d.rate += 0.1 * (d.taken*float64(second/tickLen) - d.rate)
	d.taken = 0
	for i := range d.carriers {
		d.carriers[i] *= 1 - float64(tickLen)/float64(3*second)
	}
	if d.set.Peers && d.set.Routers > 1 {
		peer := int(d.chance() * float64(d.set.Routers-1))
		if peer >= d.set.Rank {
			peer++
		}
		d.out.Tell(peer, gossip{d.news.Build, d.state, d.seen, d.count, d.spread, d.rate}.encode())
	}
	d.pace += 0.1 * (d.done*float64(second/tickLen) - d.pace)
	d.done = 0
	d.judge()
}

// gain is the paper's consensus gain.
const gain = 0.5

func (d *decider) heard(peer int, g gossip) {
	d.rates[peer], d.heardAt[peer] = g.own, d.now
	if g.build == d.news.Build {
		d.state += gain * (g.state - d.state)
		d.seen += gain * (g.seen - d.seen)
		d.count += gain * (g.count - d.count)
		d.spread += gain * (g.spread - d.spread)
	}
	d.settle()
}

// threshold is the common one for the state over the measured share; enough is the pooled count it needs.
const (
	threshold = 0.03
	enough    = 20
	sure      = 1.5 // so many standard errors must the state clear it by
)

// company is how many routers the mixed figures stand for: those heard of late, and this one. The page has the
// balancer count; a router that is cut off or alone must not take its own few outcomes for many.
func (d *decider) company() float64 {
	n := 1.0
	for _, at := range d.heardAt {
		if at > 0 && d.now-at < 3*second { // by then each of ten peers has picked this one with near certainty
			n++
		}
	}
	return n
}

// excess is the state without its missing measurements, and its standard error.
func (d *decider) excess() (mean, err float64) {
	if d.seen < 1e-6 {
		return 0, 1
	}
	ticks := d.seen * (1 + forgetting) / (1 - forgetting) * d.company()
	return d.state / d.seen, math.Sqrt(d.spread / d.seen / max(ticks, 1))
}

// mixing is so many ticks as gossip takes to spread what one router saw: a lone report must not pass for many.
const mixing = 8

// judge sets the wanted vote.
func (d *decider) judge() {
	d.want = vote{}
	mean, err := d.excess()
	if d.doubtful++; !d.judged(d.news.Build) || mean-sure*err <= threshold {
		d.doubtful = 0
	}
	pooled := d.count * d.company()
	// what is condemned gets few commands, and stays so on fewer outcomes than it took
	d.condemned = d.pastAt > 0 && d.doubtful > mixing && (d.condemned || pooled >= enough)
	voters := max(1, d.set.OnVotes, d.set.BackVotes, d.set.HoldVotes) + 1 // one more, as one may be cut off
	if d.set.Rank >= voters || !d.judged(d.news.Build) {
		return
	}
	newest := d.stageAt
	for _, h := range d.fleet {
		if h.build == d.news.Build {
			newest = max(newest, h.started)
		}
	}
	age := d.now - newest
	switch {
	case d.condemned:
		d.want = vote{Back, d.news.Build, d.news.Stage}
	case d.news.Standing != OnTrial:
	case d.set.Gate == Clock:
		if mean > threshold/2 {
			d.want = vote{Hold, d.news.Build, d.news.Stage}
		}
	case d.doubtful == 0 && (age >= 2*second && pooled >= enough || age >= 7*second/2):
		d.want = vote{On, d.news.Build, d.news.Stage}
	}
}

func (d *decider) hear(n News) {
	if n.Reply {
		d.calling = false
		if n.Ending != Counts {
			d.cast = vote{} // it may not stand: cast again
			d.settle()
			return
		}
	}
	if !d.told {
		d.told = true
		d.base = n.Build - 1
		if n.Standing == Released {
			d.base = n.Build
		}
		d.stageAt = d.now - n.Age
	} else if n.Build != d.news.Build {
		if d.news.Standing == Released {
			d.base = max(d.base, d.news.Build)
		}
		d.state, d.seen, d.count, d.spread = 0, 0, 0, 0
		d.stageAt = d.now - n.Age
	} else if n.Stage != d.news.Stage || n.Standing != d.news.Standing {
		d.stageAt = d.now - n.Age
	}
	d.news = n
	if n.Standing == GoingBack || n.Standing == Withdrawn {
		for k, b := range d.stuck {
			if b >= n.Build {
				delete(d.stuck, k)
			}
		}
		if n.Standing == Withdrawn {
			d.news.Cap = 0
		}
	}
	d.cap = d.lowestCap()
	d.settle()
}

// show brings one entry of the list up to date.
func (d *decider) show(h *host, e Listed) {
	if e.Started != h.started || e.Build != h.build || h.listed == 0 {
		h.listed = d.now
		if e.Started == 0 {
			h.listed = 1
		}
		h.budget = bucket{0.5, 1}
		h.slow, h.strikes, h.aside = 1, 0, 0
	}
	h.zone, h.kind, h.cell, h.health, h.build, h.started = e.Zone, e.Kind, e.Cell, e.Health, e.Build, e.Started
	h.size = e.Size
	if !(h.size > 1e-3 && h.size < 1e6) {
		h.size = 1
	}
}

func (d *decider) listShown() {
	d.cap = d.lowestCap()
	d.retryHeld()
	d.settle()
}

// listFailed asks again after a moment: the call or the subscription is lost, and which is not told.
func (d *decider) listFailed() {
	if d.watchAt == 0 {
		d.watchAt = d.now + second/2 + int64(d.chance()*float64(second))
	}
	d.settle()
}

func (d *decider) retryHeld() {
	held := d.held
	d.held = nil
	for _, c := range held {
		if !c.over && c.answer == none && c.out == 0 {
			d.place(c)
		}
	}
}

// woken takes the latest wake-up as come whatever the clock says: one that comes a little early, or an old one
// that comes again, must neither stop the chain nor start a second.
func (d *decider) woken(mark uint64) {
	if mark == d.wakes {
		d.armed = 0
	}
	for {
		c, ok := d.queue.Take(d.now)
		if !ok {
			break
		}
		d.look(c)
	}
	if d.now >= d.ticks {
		for d.ticks <= d.now {
			d.ticks += tickLen
		}
		d.tick()
		d.retryHeld()
		for k, at := range d.seenKey {
			if d.now-at > 3*second {
				delete(d.seenKey, k)
			}
		}
		for _, h := range d.fleet {
			if d.warmth(h) < 1 {
				h.budget.add(0.05) // so that a fleet that is all cold can start
			}
		}
	}
	d.settle()
}

// look gives a command its second copy, or its last answer.
func (d *decider) look(c *command) {
	if c.over {
		return
	}
	if d.now >= c.cutOff-2*d.set.Tick {
		c.answer = scrap
		d.differ = append(d.differ, c)
		return
	}
	c.due = d.queue.Add(c.cutOff-2*d.set.Tick, c)
	if c.out == 1 && d.set.Copies && d.pressure <= 0 && d.mayRepeat(c, false) && d.now < c.contract && d.again.take() {
		if h := d.pick(c); h != nil && !c.met(h) {
			c.next, c.until = h, c.cutOff
			d.differ = append(d.differ, c)
		}
	}
}

// sheds turns away the commands worth least for their work while answers come too late.
func (d *decider) sheds(c *command) bool {
	cell := func(b *band, over int) float64 {
		v := b.Importance / b.typical
		if over == 1 {
			v *= d.set.OverShare
		}
		return v
	}
	over := 0
	if c.carrier < len(d.carriers) {
		own := d.rate
		for i, r := range d.rates {
			if d.now-d.heardAt[i] < 3*second {
				own += r
			}
		}
		part := 1.0
		if own > 0 {
			part = d.rate / own
		}
		d.carriers[c.carrier]++
		if may := d.set.Carriers[c.carrier].PerSecond * part; d.carriers[c.carrier] > 3*may && d.chance() > 3*may/d.carriers[c.carrier] {
			over = 1
		}
	}
	for _, b := range d.bands {
		for i := range b.rate {
			b.rate[i] *= 0.999
		}
	}
	c.band.rate[over]++
	// by Little's law a command's time is what is open over the pace of answers; past half of the contract
	// time turn away, past the whole of it turn nearly all away
	contract := 0.0
	for _, b := range d.bands {
		contract += float64(b.Contract) / float64(len(d.bands))
	}
	d.pressure = min(0.9, 2*d.open/max(d.pace, 1)*float64(second)/contract-1)
	if d.pressure <= 0 || d.open < 5 || d.now-d.began < 2*second { // the pace is not known at once
		return false
	}
	mine, below, all := cell(c.band, over), 0.0, 0.0
	for _, b := range d.bands {
		for i, r := range b.rate {
			all += r
			if cell(b, i) < mine {
				below += r
			}
		}
	}
	return d.chance() < (d.pressure*all-below)/c.band.rate[over]
}
