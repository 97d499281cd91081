// The trial and its votes: the readings, the state, and the one threshold that designated voters test.

package decision

import (
	"fmt"
	"math"
)

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

// tie keeps a key on a build from the hand-off on: an answer counts also where it never comes or is not read.
func (d *decider) tie(c *command, build int) *tie {
	if build < d.news.Build || build <= d.floor || !d.set.KeysStay || c.key == 0 {
		return nil
	}
	return d.stuck.add(c.key, build)
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

const forgetting = 0.99 // the factor a tick: a memory of 10 s, so that the first stage's few commands add up

const longest = 130 // outcomes a router remembers: three see 5% of failures by them, in some 3 s

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
	doubt, worry, clear := d.proof > proven, false, true
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
		clear = clear && mean+err <= threshold[k]
	}
	if d.doubtful++; !doubt {
		d.doubtful = 0
	}
	some := d.count[failing]*d.company >= enough
	d.condemned = (d.pastAt > 0 || d.news.Standing == Released) && float64(d.doubtful) > mixing+spreading-1
	age := d.now - d.newest
	ready := !worry && (some && age >= 2*second || age >= 7*second/2) || age >= 6*second // the page's on-rule
	if d.set.Certain {
		ready = clear && some && age >= 3*second
	}
	voters := max(1, d.set.OnVotes, d.set.BackVotes, d.set.HoldVotes) + 1 // as one may be cut off
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
