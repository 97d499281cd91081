// The decision module. A front (the bench's adapter now, a real router later) makes one Router an instance
// with New, calls its methods in door.go as things happen, each with the time, and carries out the Effects.
// Every call changes the state, sets what is wanted, and ends in settle, which emits the difference.
// The ordinary path is distributed change detection (see docs/design.md): tick, heard, judge.

package rules

import (
	"fmt"
	"maps"
	"math"
)

const second = int64(1e9)

func newDecider(s Settings, seed uint64, out Effects) *decider {
	d := blank(s, seed, out)
	d.again, d.level = bucket{5, 10}, 1 // some further hand-offs at once, for a host that ends
	one := &bucket{s.Free, s.Free}
	for _, b := range s.Bands {
		row := &band{Band: b, exposure: one, typical: float64(b.Contract) / 5}
		d.mean += row.typical / float64(len(s.Bands))
		if s.CapByBand {
			row.exposure = &bucket{s.Free, s.Free}
		}
		d.bands = append(d.bands, row)
	}
	return d
}

const tickLen = second / 10 // the design's tick

func (d *decider) begin() { d.ticks, d.watchAt, d.began = d.now+tickLen, d.now, d.now }

// settle works out how the present differs from what is wanted and emits it.
func (d *decider) settle() {
	for i := 0; i < len(d.differ); i++ { // closing a command lists it once more
		c := d.differ[i]
		if c.answer != none && !c.over {
			if c.answer == scrap {
				d.out.Scrap(c.id)
			} else {
				d.out.Dismiss(c.id, min(d.set.MaxAdvice, second/4)) // about as long as a queue takes to drain
			}
			d.close(c)
			d.gone = append(d.gone, c)
		}
		if h := c.next; h != nil {
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
		for _, h := range c.handOffs {
			if c.over && !h.ended && !h.recalled && d.set.Recalls && !c.streams {
				h.recalled = true
				d.out.Recall(c.id, h.number)
			}
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
		d.armed, d.wakes = next, d.wakes+1
		d.out.Wake(next-d.now, d.wakes)
	}
}

// retryVote keeps the voters' calls far below what platforms take, and is short beside a stage.
const retryVote = second / 4

// settleVote casts the wanted vote where it differs from the one that stands, and renews it in time. A call
// that gets no answer must not end the voting.
func (d *decider) settleVote() {
	stands := d.cast.verdict != NoVote && d.now-d.castAt < d.set.VoteLife
	fresh := d.want == d.cast && d.now-d.castAt < d.set.VoteLife/2
	if d.now < d.callAt+retryVote || d.calling && d.now < d.callAt+d.set.VoteWait+second || fresh ||
		d.want.verdict == NoVote && !stands {
		return
	}
	d.calling, d.callAt, d.cast, d.castAt = true, d.now, d.want, d.now
	d.out.Vote(d.want.verdict, d.want.build, d.want.stage)
	if d.want != d.noted {
		d.noted = d.want
		d.out.Note(fmt.Sprintf("vote %v %v: states %.4f, squares %.4f, counts %.0f, test %.2f",
			d.want.verdict, d.want, d.state, d.spread, d.count, d.proof))
	}
}

func (d *decider) lastLook(c *command) int64 { return c.cutOff - 2*d.set.Tick }

// nextLook is when a command wants another look: for a second copy after 2.5 expected times, longer than
// almost every healthy answer takes, or for its last answer, before the client gives up.
func (d *decider) nextLook(c *command) int64 {
	last := d.lastLook(c)
	if !d.set.Copies || c.band.Repeat == SingleUse || len(c.handOffs) != 1 {
		return last
	}
	return min(last, max(d.now+int64(2.5*d.expected(c)), d.now+1))
}

func (d *decider) take(c *command) {
	d.own[open]++
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

// survey marks the hosts that this router must count as on trial: those of a build that its news does not
// name yet, and of one that is not released. The cap is the lowest that any of them has.
func (d *decider) survey() {
	d.cap = 1
	if d.news.Standing != Released {
		d.cap = d.news.Cap
	}
	d.total, d.newest, d.warm = 0, d.stageAt, 0.1
	for _, h := range d.fleet {
		if h.build == d.news.Build {
			if d.newest = max(d.newest, h.started); d.warmth(h) == 1 && h.health == Ready {
				d.warm++
			}
		}
		if h.health == Ready {
			d.total += h.size * d.warmth(h)
		}
		if d.set.Probes && h.aside > d.now && d.chance() < 0.2 { // asked about twice a second if it is back
			d.out.Probe(h.id)
		}
		h.stage, h.trial = d.news.Stage, h.build == d.news.Build && d.news.Standing != Released
		if h.build > d.news.Build || !d.told {
			h.stage, h.trial = 0, true
			d.cap = min(d.cap, d.set.FirstCap)
		}
	}
	held := d.held
	d.held = nil
	for _, c := range held {
		if !c.over && c.answer == none && c.out == 0 {
			d.place(c)
		}
	}
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
	if h.trial && (c.band.exposure.have < 1 || d.cap <= 0 ||
		h.stage < d.set.Guarded && c.band.Repeat != Replayable) {
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
	stuck := d.stuck[c.key] // no command without a key is ever in there
	var pools [2][]*host
	var sizes [2]float64
	waits := false
	for _, strict := range []bool{true, false} {
		for _, h := range d.fleet {
			fine := h.aside <= d.now && !c.met(h)
			if waits = waits || fine && h.health == Ready; !d.usable(c, h, stuck) || strict && !fine {
				continue
			}
			side := 0
			if h.trial {
				side = 1
			}
			pools[side] = append(pools[side], h)
			sizes[side] += h.size * d.warmth(h)
		}
		if len(pools[0])+len(pools[1]) > 0 || waits { // rather wait for a host than try one that is down
			break
		}
	}
	pool := pools[0]
	if len(pools[1]) > 0 {
		share := sizes[1] / (sizes[0] + sizes[1]) // its hosts' part of the capacity
		if d.set.KeysStay {                       // commands whose keys are kept there can go nowhere else
			share = (share - d.got) / (1.01 - d.got)
		} else { // made up for commands that may not go there
			share += 4 * (share - d.got)
		}
		if d.dipAt > 0 && d.now < d.dipAt+dipFor {
			share = 0
		} else if d.condemned {
			share /= 10 // a build that looks bad gets just enough to go on being judged
		} else if c.key != 0 && d.set.KeysStay && stuck < d.news.Build && d.now-d.seenKey[c.key] < 3*second {
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
	d.got -= 0.01 * d.got
	if a.trial {
		c.band.exposure.take()
	}
	if a.trial && (len(pools[0]) == 0 || !d.set.KeysStay) {
		d.got += 0.01
	}
	return a
}

// cost is how long a command would take at h: what is there, over what it can do, times how slow it has been.
func (d *decider) cost(h *host) float64 {
	// a report says less the older it is
	there := 1 + float64(h.out) + h.queue*math.Exp(-float64(d.now-h.queuedAt)/float64(second))
	cost := there / (h.size * d.warmth(h)) * d.slowness(h)
	if h.out > 0 { // owing a sign of life for long: paused, stalled or silent
		cost *= 1 + float64(d.now-h.waiting)/d.mean
	}
	return cost
}

// slowness is a host's mean time over the typical one; it is forgotten over some seconds.
func (d *decider) slowness(h *host) float64 {
	return 1 + (h.slow-1)*math.Exp(-float64(d.now-h.slowAt)/float64(5*second))
}

func (d *decider) ended(c *command, o *handOff, e Ending, over bool, took int64, report []float64) {
	h := o.host
	h.out, h.waiting = h.out-1, d.now
	o.unrun = e == TurnedAway || e == NoConnect || e == Unsent
	d.report(h, report)
	d.health(h, e)
	ratio := min(8, float64(took)/d.expected(c))
	if e == Failed || e == Reset || e == TimedOut || e == NoConnect { // a fast failure is no sign of idleness
		ratio = 8
	}
	if e == Fulfilled || ratio == 8 {
		h.slow, h.slowAt = d.slowness(h)+0.2*(ratio-d.slowness(h)), d.now // about the last five outcomes
	}
	if e == Fulfilled && !c.streams {
		d.own[answers]++
		d.own[times] += float64(took) / float64(second)
		if !d.judged(o.build) {
			c.band.typical += 0.01 * (float64(took) - c.band.typical)
			if c.band.hint == 0 {
				c.band.hint = float64(c.hint)
			}
			c.band.hint += 0.01 * (float64(c.hint) - c.band.hint)
			d.models[h.kind] += 0.01 * (ratio - 1 - d.models[h.kind])
			d.mean += 0.01 * (float64(took) - d.mean)
			// the mean of the speeds goes by the quick answers, that did not wait: load moves it little
			speed := min(5, float64(c.band.Contract)/float64(took)*d.expected(c)/c.band.typical/10)
			d.speed += 0.03 * (speed - d.speed) // the last thirty answers
			for i := range d.times {
				if from := d.dipAt + int64(i)*dipFor; o.at > from+second && d.now < from+dipFor {
					d.times[i].n++
					d.times[i].bad += speed
				}
			}
		}
		d.warmed()
		if o.build >= d.news.Build && d.set.KeysStay && c.key != 0 { // also in a router started after the release
			d.stuck[c.key] = max(d.stuck[c.key], o.build)
		}
	}
	d.weigh(c, o, e, took)
	switch {
	case c.over:
	case over:
		d.close(c)
	case c.out > 0:
	default: // again where that is allowed and of use
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
}

// expected is the time that the earlier build takes for such a command, by its band and its hint.
func (d *decider) expected(c *command) float64 {
	if c.hint <= 0 || c.band.hint <= 0 {
		return c.band.typical
	}
	return c.band.typical * min(4, max(0.25, float64(c.hint)/c.band.hint))
}

// warmed lets cold hosts have what fulfilled commands show that a fleet of this capacity carries: the sum
// over all routers then stays at this multiple of what a cold host can do, however much clients ask for.
func (d *decider) warmed() {
	for _, h := range d.fleet {
		if w := d.warmth(h); w < 1 {
			h.budget.add(1.2 * h.size * w / d.total) // room to even out chance, well under every stated multiple
		}
	}
}

// health sets a host aside after signs that it is down, longer each time, and takes it back after an answer.
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
	for i, v := range values[:min(len(values), len(d.set.Reports))] {
		if what := d.set.Reports[i]; (what == Waiting || what == Holding) && v >= 0 && v < 1e6 {
			h.queue, h.queuedAt = v, d.now
		}
	}
}

// judged tells whether a build is the one whose failures the state counts.
func (d *decider) judged(build int) bool {
	return d.told && build == d.news.Build && build > d.base && d.news.Standing != Withdrawn
}

// alongside is the most between two hand-offs that are compared: later overloads are no fault of the build.
const alongside = second

// weigh counts an outcome for the readings of this tick: failing is the page's; lagging is the exception for
// builds that are slow within their time-outs, by how many times the expected time an answer took. It takes
// hosts that are warm and not draining, as others have queues of their own, and ends with the trial.
func (d *decider) weigh(c *command, o *handOff, e Ending, took int64) {
	beside, side := o.at-d.pastAt < alongside, d.side(o.build)
	if side == &d.earlier {
		d.pastAt = max(d.pastAt, o.at)
	} else if o.at-o.host.listed < second { // the page: trial machines listed a short while ago are skipped
		return
	}
	switch {
	case e == Failed, beside && (e == Reset || e == TimedOut && o.until >= c.cutOff):
		side.put(failing, 1, 1)
	case e == Fulfilled || e == TimedOut || e == Reset:
		side.put(failing, 1, 0)
	}
	if beside && (e == Fulfilled || e == TimedOut) && d.news.Standing == OnTrial && d.warmth(o.host) == 1 &&
		o.host.health == Ready {
		side.put(lagging, 1, min(4, float64(took)/(d.expected(c)*(1+d.models[o.host.kind])))/4-0.25)
	}
}

// side is where this tick's outcomes of a build are counted.
func (d *decider) side(build int) *sample {
	if d.judged(build) {
		return &d.trial
	}
	return &d.earlier
}

// flagged counts a wrong answer for as many as the reports stand for.
func (d *decider) flagged(h *host) {
	d.side(h.build).put(failing, 0, 1/max(d.set.FlagShare, 0.05))
}

// forgetting is the factor a tick: a memory of 10 s, so that the first stage's few commands add up.
const forgetting = 0.99

// tick makes the reading and tells one random peer.
func (d *decider) tick() {
	for k := range d.state {
		keep := [kinds]float64{0.95, 0.9}[k] // the last seconds: what breaks both is no build's fault
		d.past[k].n, d.past[k].bad = keep*d.past[k].n+d.earlier.n[k], keep*d.past[k].bad+d.earlier.bad[k]
		// the page's reading, weighed by its outcomes, so that a tick of one is not worth one of ten
		x := d.trial.bad[k] - d.trial.n[k]*d.past[k].bad/max(d.past[k].n, 1)
		d.count[k] = forgetting*d.count[k] + d.trial.n[k]
		d.beside[k] = forgetting*d.beside[k] + d.earlier.n[k]
		d.state[k] = forgetting*d.state[k] + (1-forgetting)*x
		d.spread[k] = forgetting*d.spread[k] + (1-forgetting)*d.trial.square[k]
	}
	d.trial, d.earlier = sample{}, sample{}
	for i := range d.load { // the page's average again, with memories of one and, for carriers, three seconds
		fresh := 0.1
		if i >= carriers {
			fresh = 0.03
		}
		d.load[i] += fresh * (d.own[i] - d.load[i])
		d.mine[i] += fresh * (d.own[i] - d.mine[i])
		if i != open {
			d.own[i] = 0
		}
	}
	if d.set.Peers && d.set.Routers > 1 {
		peer := int(d.chance() * float64(d.set.Routers-1))
		if peer >= d.set.Rank {
			peer++
		}
		d.out.Tell(peer, d.encode())
	}
	// Every router tells one a tick, so the messages heard a tick are the part of them that can be heard. The
	// page has all of them: a router that is cut off or alone must not take its few outcomes for many.
	d.messages -= 0.03 * d.messages
	d.company = 1 + float64(d.set.Routers-1)*min(1, d.messages)
	for _, h := range d.fleet {
		h.budget.add(0.2 / float64(d.set.Routers)) // two a second of all routers: a fleet that is all cold starts
	}
	d.judge()
}

const gain = 0.5 // the paper's consensus gain

func (d *decider) heard(build int, figures []float64) {
	d.messages += 0.03
	dip := figures[len(figures)-1]
	if build == d.news.Build && dip < 1.5 && d.dipAt == 0 && d.calm > 1.1*d.level*d.speed {
		d.startDip(int64(dip * float64(second))) // join a test that has just begun
	}
	for i, f := range d.shared() {
		if i >= judging || build == d.news.Build {
			*f += gain * (figures[i] - *f)
		}
	}
}

// threshold is the common one for each state over the measured share; enough is the pooled count it needs.
var threshold = [kinds]float64{failing: 0.015, lagging: 0.12}

var sure = [kinds]float64{failing: 1.4, lagging: 1.7} // three reported answers are enough, two are not

const enough = 20

// excess is a state for each outcome that it stands for, and its standard error.
func (d *decider) excess(k int) (mean, err float64) {
	n := d.count[k] * (1 - forgetting)
	if n < 1e-6 {
		return 0, 1
	}
	// failures of the earlier build are few; hosts of one build differ in speed by a quarter (of four times)
	some := 1/max(d.count[k], 0.1) + float64(k)/max(d.beside[k], 0.1)
	return d.state[k] / n, math.Sqrt(d.spread[k]/n/d.company*some + float64(k)*0.0036/d.warm)
}

// A build may slow old and new hosts alike, in step with its traffic, which no comparison of the two shows.
// Where the earlier hosts stay until the release and are much slower than before the trial, the routers
// together keep the trial's commands back for a while; if their return makes the earlier hosts slower than
// that, it is the build. Also for a build that overloads what all share; costs a good build seconds.
const (
	dragged = 1.35
	dipFor  = 3 * second // a second for the backlog to go, and two to measure
	proven  = 0.36       // mixed: what most routers find passes, also diluted; what one of three finds does not
)

// dip starts, ends and reads such a test.
func (d *decider) dip() {
	pulse := d.calm / max(d.speed, 1e-3)
	d.level = min(d.level, max(1, pulse)) // what an earlier test found not to be the build's fault
	without := d.calm * d.times[0].n / max(d.times[0].bad, 1e-3)
	with := d.calm * d.times[1].n / max(d.times[1].bad, 1e-3)
	if d.news.Standing != OnTrial {
		d.dipAt = 0
	} else if d.dipAt == 0 && pulse > dragged*d.level && d.news.Stage > 0 && d.set.Beside {
		d.startDip(0)
	} else if d.dipAt > 0 && d.now-d.dipAt > 2*dipFor {
		d.out.Note(fmt.Sprintf("kept the trial back: times %.2f, then %.2f, then %.2f", d.before, without, with))
		chance := 0.6 * math.Sqrt(1/max(d.times[0].n, 1)+1/max(d.times[1].n, 1))
		if d.proof, d.dipAt = 1, 0; with/without-1 < max(0.3, chance) {
			d.proof, d.level = 0, max(d.level, pulse)
		}
	}
}

func (d *decider) startDip(age int64) {
	d.dipAt, d.before, d.times = d.now-age, d.calm/max(d.speed, 1e-3), [2]mean{}
}

// mixing is twice the ticks that gossip takes to spread what one router saw, that must not pass for many; a
// host that fails alone is found and spared by then.
const mixing = 16

// judge sets the wanted vote.
func (d *decider) judge() {
	d.want = vote{}
	if !d.judged(d.news.Build) {
		d.doubtful, d.condemned, d.dipAt = 0, false, 0
		return
	}
	d.dip()
	doubt, worry := d.proof > proven, false
	for k := range d.state {
		mean, err := d.excess(k)
		// what is condemned gets few commands, and stays so on fewer outcomes; one slow host is no slow build
		some := (d.condemned || d.count[k]*d.company >= enough) && (k == failing || d.warm > 2)
		doubt = doubt || some && mean-sure[k]*err > threshold[k]
		worry = worry || mean-err > threshold[k]
	}
	if d.doubtful++; !doubt {
		d.doubtful = 0
	}
	some := d.count[failing]*d.company >= enough
	d.condemned = d.pastAt > 0 && d.doubtful > mixing
	age := d.now - d.newest
	ready := !worry && (some && age >= 2*second || age >= 7*second/2) || age >= 6*second // the page's on-rule
	voters := max(1, d.set.OnVotes, d.set.BackVotes, d.set.HoldVotes) + 1                // as one may be cut off
	verdict := NoVote
	switch {
	case d.set.Rank >= voters:
	case d.condemned:
		verdict = Back
	case d.news.Standing != OnTrial:
	case d.set.Gate == Clock && worry:
		verdict = Hold
	case d.set.Gate != Clock && ready && d.doubtful == 0 && d.dipAt == 0:
		verdict = On
	}
	if verdict != NoVote {
		d.want = vote{verdict, d.news.Build, d.news.Stage}
	}
}

func (d *decider) hear(n News) {
	if n.Reply {
		d.calling = false
		if n.Ending != Counts {
			d.cast = vote{} // it may not stand: cast again
			return
		}
	}
	if n.Build != d.news.Build || n.Stage != d.news.Stage || n.Standing != d.news.Standing {
		d.stageAt = d.now - n.Age
	}
	if !d.told && n.Standing == Released {
		d.base = n.Build
	} else if !d.told {
		d.base = n.Build - 1
	} else if n.Build != d.news.Build {
		if d.news.Standing == Released {
			d.base = d.news.Build
		}
		d.proof, d.level = 0, 1
		d.calm = d.speed
		d.count, d.state, d.spread = [kinds]float64{}, [kinds]float64{}, [kinds]float64{}
	}
	d.news, d.told = n, true
	if n.Standing == GoingBack || n.Standing == Withdrawn {
		maps.DeleteFunc(d.stuck, func(_ uint64, b int) bool { return b >= n.Build })
	}
	if n.Standing == Withdrawn {
		d.news.Cap = 0
	}
	d.survey()
}

func (d *decider) show(h *host, e Listed) {
	if e.Started != h.started || e.Build != h.build || h.listed == 0 {
		if h.listed = d.now; e.Started == 0 { // it has run for long
			h.listed = 1
		}
		h.budget = bucket{d.chance(), 1} // routers, however many, come to their first at times of their own
		h.slow, h.strikes, h.aside = 1, 0, 0
	}
}

// listFailed asks again after a moment: a call or the subscription is lost.
func (d *decider) listFailed() {
	d.watchAt = d.now + second/2 + int64(d.chance()*float64(second))
}

// woken takes the latest wake-up as come whatever the clock says: one that comes a little early, or an old
// one that comes again, must neither stop the chain nor start a second.
func (d *decider) woken(mark uint64) {
	if mark == d.wakes {
		d.armed = 0
	}
	for c, ok := d.queue.Take(d.now); ok; c, ok = d.queue.Take(d.now) {
		d.look(c)
	}
	if d.now >= d.ticks {
		d.ticks += (d.now - d.ticks + tickLen) / tickLen * tickLen
		d.tick()
		d.survey()
		maps.DeleteFunc(d.seenKey, func(_ uint64, at int64) bool { return d.now-at > 3*second })
	}
}

// look gives a command its second copy, or its last answer.
func (d *decider) look(c *command) {
	if c.over {
		return
	}
	if d.now >= d.lastLook(c) {
		c.answer = scrap
		d.differ = append(d.differ, c)
		return
	}
	c.due = d.queue.Add(d.lastLook(c), c)
	if c.out == 1 && d.set.Copies && d.pressure < 0.5 && d.mayRepeat(c, false) && d.now < c.contract &&
		d.again.take() {
		if h := d.pick(c); h != nil && !c.met(h) {
			c.next, c.until = h, c.cutOff
			d.differ = append(d.differ, c)
		}
	}
}

// beyond tells whether a command is beyond its carrier's share, by what all routers take of that carrier.
func (d *decider) beyond(c *command) bool {
	if c.carrier >= len(d.set.Carriers) {
		return false
	}
	d.own[carriers+c.carrier]++
	may := d.set.Carriers[c.carrier].PerSecond * float64(tickLen) / float64(second)
	return d.chance()*d.load[carriers+c.carrier]*d.company > may
}

// sheds turns away the commands worth least for their work while answers come too late. By Little's law a
// time is what is open over the pace of answers; some go past 0.7 of the shortest contract, most past 1.15.
// A quiet router goes by all routers' figures, as it has next to none of its own; a busy one's own are newer.
func (d *decider) sheds(c *command) bool {
	over, contract, below, all := 0, math.Inf(1), 0.0, 0.0
	if d.beyond(c) {
		over = 1
	}
	c.band.rate[over]++
	value := func(b *band, over int) float64 {
		return b.Importance / b.typical * [2]float64{1, d.set.OverShare}[over]
	}
	for _, b := range d.bands {
		contract = min(contract, float64(b.Contract))
		for i := range b.rate {
			b.rate[i] *= 0.999 // a memory of a thousand commands
			if all += b.rate[i]; value(b, i) < value(c.band, over) {
				below += b.rate[i]
			}
		}
	}
	is, routers, waiting := d.load, d.company, d.load[open]
	if d.own[open] >= 5 {
		is, routers, waiting = d.mine, 1, d.own[open]
	}
	// hosts that hang keep commands open, so no more than what the answers took asks for
	took := min(waiting*float64(tickLen), 2.5*is[times]*float64(second)) / max(is[answers], 0.1/routers)
	d.pressure = min(0.9, 2*took/contract-1.4)
	if waiting*routers < 5 || d.now-d.began < 2*second { // the pace is not known at once
		d.pressure = 0
	}
	return d.pressure > 0 && d.chance() < (d.pressure*all-below)/c.band.rate[over]
}
