// The decision module. A front makes one Router an instance with New, tells it what happens and carries out
// the Effects. Every call changes the state, sets what is wanted, and ends in settle, which emits the change.
// The ordinary path is distributed change detection (see docs/design.md): tick, heard, judge.

package rules

import (
	"cmp"
	"fmt"
	"maps"
	"math"

	"portflow/internal/pace"
)

const second = int64(1e9)

func newDecider(s Settings, seed uint64, out Effects) *decider {
	d := blank(s, seed, out)
	d.again, d.level = bucket{5, 10}, 1 // some further hand-offs at once, for a host that ends
	one := &bucket{s.Free, s.Free}
	for _, b := range s.Bands {
		row := &band{Band: b, exposure: one, typical: b.Guess()}
		d.mean += row.typical / float64(len(s.Bands))
		if s.CapByBand {
			row.exposure = &bucket{s.Free, s.Free}
		}
		d.bands = append(d.bands, row)
	}
	return d
}

const tickLen = second / 10 // the design's tick

func (d *decider) begin() {
	d.ticks, d.watchAt, d.began = d.now+tickLen, d.now+d.asking().First(d.calls.Next()), d.now
}

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
				number: len(c.handOffs), tie: d.tie(c, h.build)})
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
	for _, h := range d.idle {
		d.out.Close(h.id)
	}
	d.differ, d.idle = d.differ[:0], d.idle[:0]
	if d.set.Subscribe && d.now >= d.watchAt {
		d.watchAt = math.MaxInt64
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

const retryVote = second / 4 // short beside a stage, and the voters' calls stay far below what platforms take

// settleVote casts the wanted vote where another or none stands, and renews it. One for moving on a bygone
// stage moves nothing: the platform takes few calls of all routers, and the next votes need them.
func (d *decider) settleVote() {
	bygone := d.cast.build != d.news.Build || d.cast.stage != d.news.Stage && d.cast.verdict == On
	stands := d.cast.verdict != NoVote && d.now-d.castAt < d.set.VoteLife && !bygone
	fresh := d.want == d.cast && d.now-d.castAt < d.set.VoteLife/2
	if d.now < d.callAt+retryVote || d.calling && d.now < d.callAt+d.set.VoteWait+second || fresh ||
		d.want.verdict == NoVote && !stands {
		return
	}
	d.calling, d.callAt, d.cast, d.castAt = true, d.now, d.want, d.now
	d.out.Vote(d.want.verdict, d.want.build, d.want.stage)
	if d.want != d.noted && d.set.Rank < 2 {
		d.noted = d.want
		d.out.Note(fmt.Sprint("vote ", d.want.verdict, d.want, d.state, d.spread, d.count, d.proof, d.company))
	}
}

func (d *decider) lastLook(c *command) int64 { return c.cutOff - 2*d.set.Tick }

// nextLook is when a command wants another look: for a second copy, later than most answers, or its last.
func (d *decider) nextLook(c *command) int64 {
	last := d.lastLook(c)
	if !d.set.Copies || c.band.Repeat == SingleUse || len(c.handOffs) != 1 {
		return last
	}
	return min(last, d.now+max(int64(2.5*d.expected(c)), c.band.Contract/8)) // nothing is late before
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
	d.seenKey[c.key] = d.now
}

// place wants a hand-off to the best host, or holds the command for a short time.
func (d *decider) place(c *command) {
	h := d.pick(c)
	if d.differ = append(d.differ, c); h == nil {
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
	d.cap = [...]float64{OnTrial: d.news.Cap, GoingBack: d.news.Cap, Released: 1, Withdrawn: 0}[d.news.Standing]
	d.total, d.newest, d.warm = 0, d.stageAt, 0.1
	d.part, d.up = [2]float64{}, 0
	var ready [2][]*host
	for _, h := range d.fleet {
		w := d.warmth(h)
		if h.build == d.news.Build {
			if d.newest = max(d.newest, h.started); w == 1 && h.health == Ready {
				d.warm++
			}
		}
		h.stage, h.trial = d.news.Stage, h.build == d.news.Build && d.news.Standing != Released
		if h.build > d.news.Build || !d.told {
			h.stage, h.trial = 0, true
			d.cap = min(d.cap, d.set.FirstCap)
		}
		h.budget.add(0.2 / float64(d.set.Routers)) // of all, two a second and more with news: a cold fleet starts
		if side := h.side(); h.health == Ready {
			ready[side] = append(ready[side], h)
			d.total += h.size * w
			if h.aside <= d.now {
				if d.up++; d.room(h) { // else the warm ones would get a cold one's part too
					d.part[side] += h.size * w
				}
			}
		}
	}
	// a router that needs few hosts uses a part of them
	need := max(pace.Fewest, d.mine[answers]*float64(second/tickLen))
	for side, all := range ready {
		d.reach[side] = d.reach[side][:0]
		n := min(pace.Nth(len(d.fleet), need), pace.Nth(len(all), 0))
		for i := pace.First(n, d.set.Rank); i < len(all); i += n {
			d.reach[side] = append(d.reach[side], all[i])
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

// room tells whether a host is warm, or its budget has something left.
func (d *decider) room(h *host) bool {
	w := d.warmth(h)
	h.budget.add((d.credit - h.credited) * h.size * w)
	h.credited = d.credit
	return w == 1 || h.budget.have >= 1
}

// usable tells whether the rules allow a hand-off of c to h.
func (d *decider) usable(c *command, h *host, stuck int) bool {
	if h.health != Ready || h.build < stuck || !d.room(h) {
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

// fine tells whether h shows no sign of being down and has not had c yet, as far as there are others.
func (d *decider) fine(c *command, h *host) bool {
	return (h.aside <= d.now || d.up == 0) && (!c.met(h) || len(c.handOffs) >= len(d.fleet))
}

// better is the better of two random hosts of a build, or the first to be found where few are fine.
func (d *decider) better(c *command, side, stuck int) (best *host) {
	pool, found, from := d.reach[side], 0, int(d.chance()*float64(len(d.fleet)))
	for i := 0; found < 2 && (i < 8 || found == 0 && i < 8+len(d.fleet)); i++ {
		h := best
		if i >= 8 {
			h = d.fleet[(from+i)%len(d.fleet)]
		} else if len(pool) > 0 {
			h = pool[int(d.chance()*float64(len(pool)))]
		}
		if h != best && h.side() == side && d.fine(c, h) && d.usable(c, h, stuck) {
			if found++; best == nil || d.cost(h) < d.cost(best) {
				best = h
			}
		}
	}
	return best
}

// pick chooses the build by its share, then the better of two random hosts inside it.
func (d *decider) pick(c *command) *host {
	stuck := d.bound(c.key)
	best, trial := d.better(c, 0, stuck), d.better(c, 1, stuck)
	only := best == nil
	if trial != nil {
		part := d.part[1] * d.quicker()
		share := part / max(d.part[0]+part, 1e-3)       // its hosts' part of the capacity
		got := d.load[trials] / max(d.load[sent], 1e-3) // of all routers, as a quiet one sends too little
		if d.set.KeysStay {                             // commands of kept keys can go nowhere else
			share = (share - got) / max(1-got, 0.01)
		} else { // made up for commands that may not go there
			share += 4 * (share - got)
		}
		if d.dipAt > 0 && d.now < d.dipAt+dipFor {
			share = 0
		} else if d.condemned {
			share /= 10 // a build that looks bad gets just enough to go on being judged
		} else if c.key != 0 && d.set.KeysStay && stuck < d.news.Build && d.now-d.seenKey[c.key] < 3*second {
			share = 0 // a key that comes often would tie more commands to the trial than the cap lets through
		}
		if only || d.chance() < share {
			best = trial
		}
	}
	if best == nil {
		return nil // rather wait for a host than try one that is down
	} else if d.warmth(best) < 1 {
		best.budget.take()
	}
	d.own[sent]++
	if best.trial {
		if c.band.exposure.take(); only || !d.set.KeysStay {
			d.own[trials]++
		}
	}
	return best
}

// cost is how long a command would take at h: what is there, over what it can do, times how slow it has been.
func (d *decider) cost(h *host) float64 {
	// a report says less the older it is
	there := 1 + float64(h.out) + h.queue*math.Exp(-float64(d.now-h.queuedAt)/float64(second))
	owing := float64(min(h.out, 1)) * float64(d.now-h.waiting) // a sign of life: paused, stalled or silent
	return there / (h.size * d.warmth(h)) * d.slowness(h) * (1 + owing/d.mean)
}

// slowness is a host's mean time over the typical one; it is forgotten over some seconds.
func (d *decider) slowness(h *host) float64 {
	return 1 + (h.slow-1)*math.Exp(-float64(d.now-h.slowAt)/float64(5*second))
}

func (d *decider) ended(c *command, o *handOff, e Ending, over bool, took int64, report []float64) {
	h := o.host
	h.out, h.waiting = h.out-1, d.now
	if o.unrun = e == TurnedAway || e == NoConnect || e == Unsent; o.unrun || e == Failed { // surely no answer
		d.stuck.drop(c.key, o.tie)
	}
	d.report(h, report)
	// Hosts may take few connections: after one that fails, those of the next thirty answers are closed.
	if d.health(h, e); e == NoConnect {
		d.scarce = 30
	} else if d.scarce--; d.scarce > 0 && h.out == 0 {
		d.idle = append(d.idle, h)
	}
	ratio := min(8, float64(took)/d.expected(c))
	if e == Failed || e == Reset || e == TimedOut || e == NoConnect || e == Spoilt { // fast is not idle then
		ratio = 8
	}
	if e == Fulfilled || ratio == 8 {
		h.slow, h.slowAt = d.slowness(h)+0.2*(ratio-d.slowness(h)), d.now // about the last five outcomes
	}
	if e == Fulfilled && !c.streams {
		d.own[answers]++
		d.own[times] += float64(took) / float64(second)
		d.tie(c, o.build) // also where the build was going back meanwhile
		if !d.judged(o.build) {
			c.band.typical += 0.01 * (float64(took) - c.band.typical)
			c.band.hint = cmp.Or(c.band.hint, float64(c.hint))
			c.band.hint += 0.01 * (float64(c.hint) - c.band.hint)
			d.models[h.kind] += 0.01 * (ratio - 1 - d.models[h.kind])
			d.mean += 0.01 * (float64(took) - d.mean)
			// the mean of the speeds goes by the quick answers, that did not wait: load moves it little
			speed := min(5, float64(c.band.Contract)/float64(took)*d.expected(c)/c.band.typical/10)
			d.own[earlier]++
			d.own[speeds] += speed
		}
	}
	d.weigh(c, o, e, took)
	if over {
		d.close(c)
	} else if !c.over && c.out == 0 { // again where that is allowed and of use
		worth := c.contract
		if c.band.LateOf > 0 {
			worth = c.cutOff
		}
		if d.mayRepeat(c, false) && float64(worth-d.now) > c.band.typical/2 && (e == NoConnect || d.again.take()) {
			d.place(c)
		} else {
			d.give(c)
		}
	}
}

// tie keeps a key on a build from the hand-off on: an answer counts also where it never comes or is not read.
func (d *decider) tie(c *command, build int) *tie {
	if build < d.news.Build || build <= d.floor || !d.set.KeysStay || c.key == 0 {
		return nil
	}
	return d.stuck.add(c.key, build)
}

// expected is the time that the earlier build takes for such a command, by its band and its hint.
func (d *decider) expected(c *command) float64 {
	if c.hint <= 0 || c.band.hint <= 0 {
		return c.band.typical
	}
	return c.band.typical * min(4, max(0.25, float64(c.hint)/c.band.hint))
}

// health sets a host aside after signs that it is down, longer each time, and takes it back after an answer.
func (d *decider) health(h *host, e Ending) {
	switch e {
	case Fulfilled, Failed, Spoilt:
		h.strikes, h.aside = 0, 0
	case TurnedAway:
		h.aside = max(h.aside, d.now+second/5) // a full queue needs a moment
	case NoConnect, Reset, TimedOut:
		if h.strikes++; e != TimedOut || h.strikes > 2 { // one slow answer is no sign of a dead host
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

// weigh counts an outcome for this tick's readings: failing is the page's, lagging for builds that are slow
// within their time-outs, by times over the expected, on trial, at hosts without queues of their own.
func (d *decider) weigh(c *command, o *handOff, e Ending, took int64) {
	beside := o.at-d.pastAt < alongside || d.compared()
	side := d.side(o.build)
	if side == &d.earlier {
		d.pastAt = max(d.pastAt, o.at)
	} else if o.at-o.host.listed < second { // the page: trial machines listed a short while ago are skipped
		return
	}
	switch {
	case e == Failed, beside && (e == Reset || e == Spoilt || e == TimedOut && o.until >= c.cutOff):
		side.put(failing, 1, 1)
	case e == Fulfilled || e == TimedOut || e == Reset || e == Spoilt:
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

const forgetting = 0.99 // the factor a tick: a memory of 10 s, so that the first stage's few commands add up
const longest = 130     // outcomes a router remembers: three see 5% of failures by them, in some 3 s

// tick makes the reading and tells one random peer.
func (d *decider) tick() {
	if !d.compared() { // what broke the earlier build's last hosts excuses none later
		d.past[failing].bad *= 0.9
	}
	for k := range d.state {
		keep, lately := [kinds]float64{0.95, 0.9}[k], forgetting/max(1, d.count[k]/longest) // the last seconds
		d.past[k].fade(keep, d.earlier.n[k], d.earlier.bad[k])
		// the page's reading, weighed by its outcomes: a tick of one is not worth one of ten
		x := d.trial.bad[k] - d.trial.n[k]*d.past[k].bad/max(d.past[k].n, min(1, 0.4*d.load[answers]), 1e-3)
		d.count[k] = lately*d.count[k] + d.trial.n[k]
		d.beside[k] = forgetting*d.beside[k] + d.earlier.n[k]
		d.state[k] = lately*d.state[k] + (1-forgetting)*x
		d.spread[k] = lately*d.spread[k] + (1-forgetting)*d.trial.square[k]
	}
	d.fresh.fade(0.9, d.trial.n[lagging], d.trial.bad[lagging])
	d.trial, d.earlier = sample{}, sample{}
	// what fulfilled commands of the last 10 s, or 1 s, show that a fleet of this capacity carries, cold hosts
	// may have by their part of it: all routers' sum stays well under the stated multiple
	d.carried.fade(forgetting, d.total, d.own[answers])
	shown := max(d.carried.share(), d.mine[answers]/max(d.total, 1e-3))
	d.credit += max(1.2, 0.8*d.set.FallMultiple) * shown
	for i := range d.load { // the page's average again, over one second, or three where that is few
		fresh := 0.1
		if i >= carriers || i >= earlier && d.load[answers] < 1 {
			fresh = 0.03
		}
		d.load[i] += fresh * (d.own[i] - d.load[i])
		d.mine[i] += fresh * (d.own[i] - d.mine[i])
		if i != open {
			d.own[i] = 0
		}
	}
	d.usual.fade(forgetting, d.load[earlier], d.load[speeds])
	if d.set.Peers && d.set.Routers > 1 {
		d.out.Tell(d.peer(), d.encode())
	}
	// Every router tells one a tick: a router that is cut off must not take its few outcomes for many.
	d.messages -= 0.03 * d.messages
	d.company = 1 + float64(d.set.Routers-1)*min(1, 1.3*d.messages) // few are missed by chance
	d.judge()
}

const gain = 0.5 // the paper's consensus gain

func (d *decider) heard(build int, figures []float64) {
	d.messages += 0.03
	dip := figures[len(figures)-1]
	if build == d.news.Build && dip < 1.5 && d.dipAt == 0 && d.calm > 1.1*d.level*d.speed() {
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

var sure = [kinds]float64{failing: 1.4, lagging: 1.7} // errors to clear it by: three reports do, not two

const enough = 20

// excess is a state for each outcome that it stands for, and its standard error.
func (d *decider) excess(k int) (mean, err float64) {
	n := d.count[k] * (1 - forgetting)
	if n < 1e-6 || d.even[k].n < 1e-6 {
		return 0, 1
	}
	// failures of the earlier build are few; hosts of one build differ in speed by a quarter (of four times);
	// however many routers there are, what one holds of the last ticks is that of some hundred and fifty
	some := (1/max(d.count[k], 0.1) + float64(k)/max(d.beside[k], 0.1)) * max(1, 0.5+0.006*d.company) / d.company
	return d.even[k].bad / d.even[k].n, math.Sqrt(d.spread[k]/n*some + float64(k)*0.0036/d.warm)
}

// quicker is how much quicker the trial's hosts surely are than the earlier ones, by what all routers
// measured; 1 for not. Earlier hosts may fail or turn slow too, and the good ones then stand by idle.
func (d *decider) quicker() float64 {
	n := max(0.1, d.fresh.n*d.company)                      // of the last second; each varies by about its mean
	took := func(m mean) float64 { return 1 + 4*m.share() } // over the expected, as weigh counts it, 4 at most
	return min(4, max(1, took(d.past[lagging])/max(0.1, took(d.fresh)*(1+1.5/math.Sqrt(n)))))
}

// A build may slow all hosts, in step with its traffic. Where the earlier ones stay and are much slower than
// before, the trial's commands are kept back; if their return slows them, it is the build. Costs seconds.
const (
	dragged = 1.35
	dipFor  = 3 * second // a second for the backlog to go, and two to measure
	proven  = 0.36       // mixed: what most routers find passes, also diluted; what one of three finds does not
)

// dip starts, ends and reads such a test.
func (d *decider) dip() {
	pulse := d.calm / max(d.speed(), 1e-3)
	if d.now-d.dipAt < dipFor {
		d.without = pulse
	}
	if d.slowed++; pulse < dragged*d.level {
		d.slowed = 0
	}
	if d.news.Standing != OnTrial {
		d.dipAt = 0
	} else if d.dipAt == 0 && d.slowed > mixing && d.news.Stage > 0 && d.set.Beside &&
		d.quicker() < dragged && // else the earlier hosts are slow by themselves
		d.set.Rank < 8 { // among hundreds some router is always wrong; eight find it as soon
		d.startDip(0)
	} else if d.dipAt > 0 && d.now-d.dipAt > 2*dipFor {
		d.out.Note(fmt.Sprintf("kept the trial back: times %.2f, then %.2f", d.without, pulse))
		if d.proof, d.dipAt = 1, 0; pulse/d.without < 1.3 {
			d.proof, d.level = 0, max(d.level, pulse)
		}
	}
}

func (d *decider) startDip(age int64) { d.dipAt, d.slowed = d.now-age, 0 }

const mixing = 16 // the ticks that doubt must last and more: a host that fails alone is spared by then

// judge sets the wanted vote.
func (d *decider) judge() {
	d.want = vote{}
	if !d.judged(d.news.Build) {
		d.doubtful, d.condemned, d.dipAt = 0, false, 0
		return
	}
	d.dip()
	doubt, worry := d.proof > proven, false
	// what one router saw must not pass for many: gossip takes longer to spread it among hundreds
	spreading := max(1, 3*math.Log2(float64(d.set.Routers))-8)
	for k := range d.state {
		d.even[k].n += (d.count[k]*(1-forgetting) - d.even[k].n) / spreading
		d.even[k].bad += (d.state[k] - d.even[k].bad) / spreading
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
	d.condemned = (d.pastAt > 0 || d.news.Standing == Released) && float64(d.doubtful) > mixing+spreading-1
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
	d.want = vote{verdict, d.news.Build, d.news.Stage}
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
	if !d.told && n.Standing == Released && (n.Age > 15*second || !d.young(n.Build)) { // some fail after 11 s
		d.base = n.Build
	} else if !d.told {
		d.base = n.Build - 1
	} else if n.Build != d.news.Build {
		if d.news.Standing == Released {
			d.base = d.news.Build
		}
		d.proof, d.level = 0, 1
		d.calm = d.usual.share()
		d.count, d.state, d.spread, d.even = [kinds]float64{}, [kinds]float64{}, [kinds]float64{}, [kinds]mean{}
		d.fresh = mean{}
	}
	d.news, d.told = n, true
	if n.Standing == GoingBack || n.Standing == Withdrawn {
		d.stuck.forget(n.Build)
	}
	d.survey()
}

func (d *decider) show(h *host, e Listed) {
	if e.Started != h.started || e.Build != h.build || h.listed == 0 {
		if h.listed = d.now; e.Started == 0 { // it has run for long
			h.listed = 1
		}
		h.budget, h.credited = bucket{d.chance(), 1}, d.credit // however many routers, each starts at its own time
		h.slow, h.strikes, h.aside = 1, 0, 0
	}
}

// listFailed asks again after a while: a call or the subscription is lost. Discovery serves all routers.
func (d *decider) listFailed() {
	d.unheard++
	d.watchAt = d.now + d.asking().Again(d.unheard, d.calls.Next())
}

func (d *decider) asking() pace.Calls {
	return pace.Calls{Every: d.set.AskEvery, Routers: d.set.Routers}
}

// woken takes the latest wake-up as come whatever the clock says: an early one must not stop the chain.
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
		c.answer, d.differ = scrap, append(d.differ, c)
		return
	}
	c.due = d.queue.Add(d.lastLook(c), c)
	if c.out == 1 && d.set.Copies && d.pressure < 0.5 && d.mayRepeat(c, false) && d.now < c.contract &&
		d.again.take() {
		if h := d.pick(c); h != nil && !c.met(h) {
			c.next, c.until, d.differ = h, c.cutOff, append(d.differ, c)
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

// sheds turns away the commands worth least for their work while answers come too late, by Little's law (some
// past 0.7 of the shortest contract, most past 1.15), or half of the room is taken. Own figures are newer.
func (d *decider) sheds(c *command) bool {
	over, contract, below, all := 0, math.Inf(1), 0.0, 0.0
	if d.beyond(c) || c.cutOff < c.contract { // clients that give up early have their work done for nothing
		over = 1
	}
	c.band.rate[over]++
	value := func(b *band, i int) float64 { return b.Importance / b.typical * [2]float64{1, d.set.OverShare}[i] }
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
	if d.pressure = 2*took/contract - 1.4; waiting*routers < 5 || d.now-d.began < 2*second {
		d.pressure = 0 // the pace is not known at once
	}
	d.pressure = min(0.9, max(d.pressure, 2*d.own[open]/float64(d.set.Most)-1))
	return d.pressure > 0 && d.chance() < (d.pressure*all-below)/c.band.rate[over]
}
