package decision

import (
	"math"
	"slices"
	"testing"

	"portflow/internal/testing/digest"
)

// FuzzRules plays seeded days with every kind of event, lost, late, repeated and out of order, and unlike
// settings.
func FuzzRules(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { playDay(t, seed, 1500, nil) })
}

// playDay plays one seeded day of so many steps; the effects are recorded where there is a digest.
func playDay(t *testing.T, seed uint64, steps int, effects *digest.Digest) {
	set := plain()
	set.Copies, set.KeysStay, set.CapByBand = seed%2 == 0, seed%3 == 0, seed%5 == 0
	set.Guarded, set.Subscribe, set.Rank = int(seed%3), seed%4 == 0, int(seed%3)
	set.Gate, set.Bands[0].Group = Gate(seed%3), Group(seed%7%3)
	hosts := uint32(8)
	if seed%4 == 1 { // one of hundreds, among many hosts
		set.Routers, hosts = 400, 100
	}
	w := newWorld(t, set, seed)
	w.effects = effects
	for id := range hosts {
		w.list(Changes, Listed{ID: id, Cell: int(id % 2), Build: 4, Size: 1})
	}
	w.hear(News{Build: 4, Standing: Released, Cap: 1})
	w.build = 4
	id := uint32(100)
	for w.step = range steps {
		w.random(&id)
		w.pass(w.rnd.Int64N(15) * ms)
		for _, f := range w.r.shared() { // once divided by nothing, and no peer took its messages any more
			w.failIf(math.IsNaN(*f) || math.IsInf(*f, 0), "shared figures %v %v", w.r.state, w.r.load)
		}
	}
	w.pass(6000 * ms) // what is still out never ends: all must be answered in time all the same
}

func (w *world) random(id *uint32) {
	switch p := w.rnd.IntN(100); {
	case p < 45:
		for range 1 + w.rnd.IntN(3) {
			*id++
			band := w.rnd.IntN(len(w.set.Bands))
			w.take(Command{ID: *id, Band: band, Carrier: w.rnd.IntN(3), Key: uint64(w.rnd.IntN(30)),
				Left: w.rnd.Int64N(w.set.Bands[band].CutOff) + ms})
		}
	case p < 85:
		for range min(len(w.outs), 8) {
			e, at := Fulfilled, w.rnd.IntN(len(w.outs))
			if w.rnd.IntN(4) == 0 {
				e = Ending(w.rnd.IntN(int(Spoilt) + 1))
			}
			s := w.outs[at]
			w.outs = slices.Delete(w.outs, at, at+1)
			w.finish(s, e)
		}
	case p < 90:
		h := Listed{ID: uint32(w.rnd.IntN(len(w.listed) + 1)), Health: Health(w.rnd.IntN(3)), Size: 1, Build: 4}
		h.Cell = int(h.ID % 2)
		if w.rnd.IntN(2) == 0 {
			h.Health, h.Build, h.Started = Ready, w.build-1+w.rnd.IntN(3), w.now-w.rnd.Int64N(3000)*ms
		}
		w.list(Changes, h)
	case p < 93:
		n := News{Build: w.build, Stage: w.rnd.IntN(4), Standing: Standing(w.rnd.IntN(4)), Age: w.rnd.Int64N(1000) * ms}
		if w.rnd.IntN(8) == 0 {
			w.build++
			n = News{Build: w.build}
		}
		n.Cap = []float64{0.1, 0.4, 1, 1}[n.Stage]
		if n.Standing != OnTrial && n.Standing != Released {
			n.Cap = 0
		}
		w.hear(n)
	case p < 95:
		w.r.Hear(w.now, News{Build: w.build + 9, Reply: true, Ending: CallEnding(1 + w.rnd.IntN(4)), Cap: 1})
	case p < 97:
		raw := make([]byte, w.rnd.IntN(2*len(w.r.encode())))
		for i := range raw {
			raw[i] = byte(w.rnd.Uint32())
		}
		w.r.Heard(w.now, w.rnd.IntN(4), raw)
	case p < 98:
		w.r.Flagged(w.now, uint32(w.rnd.IntN(12)), w.rnd.IntN(3), 0)
	case p < 99:
		w.r.Ended(w.now, *id, 9, Fulfilled, true, ms, nil)
		w.r.Left(w.now, *id+1)
		w.r.List(w.now, CallFailed, nil)
	default:
		if c := w.commands[*id-uint32(w.rnd.IntN(5))]; c != nil {
			c.over = true
			w.r.Left(w.now, c.ID)
		}
	}
}

func still(t *testing.T, set Settings, trial bool) *world {
	w := newWorld(t, set, 7)
	w.hear(News{Build: 4, Standing: Released, Cap: 1})
	w.four(Ready)
	if trial {
		w.hear(News{Build: 5, Cap: 1})
		w.list(Changes, Listed{ID: 9, Build: 5, Size: 1})
	}
	return w
}

func (w *world) four(h Health) {
	for id := range uint32(4) {
		w.list(Changes, Listed{ID: id, Build: 4, Health: h, Size: 1})
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestStateAndGossip(t *testing.T) {
	w := still(t, plain(), true)
	d := w.r.decider
	d.trial, d.earlier = sample{n: [kinds]float64{4}, bad: [kinds]float64{2}}, sample{n: [kinds]float64{10}, bad: [kinds]float64{1}}
	d.tick()
	w.failIf(!near(d.state[failing], (1-forgetting)*4*(0.5-0.1)) || !near(d.count[failing], 4), "state %v, count %v", d.state, d.count)
	before := d.state[failing]
	d.tick() // no outcome: the paper's missing measurement counts as 0
	w.failIf(!near(d.state[failing], forgetting*before) || !near(d.count[failing], 4*forgetting), "empty tick: state %v, count %v", d.state, d.count)
	state, count := d.state[failing], d.count[failing]
	peer := still(t, plain(), true).r.decider
	peer.state[failing], peer.count[failing], peer.load[open] = 0.25, 8, 4
	w.r.Heard(w.now, 1, peer.encode())
	if !near(d.state[failing], (1-gain)*state+gain*0.25) || !near(d.count[failing], (1-gain)*count+gain*8) ||
		!near(d.load[open], gain*4) {
		t.Fatalf("state %v, count %v, load %v after gossip", d.state[failing], d.count[failing], d.load)
	}
	state = d.state[failing]
	bad := [][]byte{nil, make([]byte, len(peer.encode())+2)}
	for _, f := range []func(){func() { peer.state[failing] = math.NaN() }, func() { peer.state[failing], peer.count[failing] = 9, -1 },
		func() { peer.count[failing], peer.state[lagging] = 1, 1e30 }, func() { peer.state[lagging], peer.news.Build = 0, 4 }} {
		f()
		bad = append(bad, peer.encode())
	}
	for _, raw := range bad {
		w.r.Heard(w.now, 1, raw)
		w.failIf(d.state[failing] != state, "the message %x moved the state", raw)
	}
	for range 60 { // a router that is cut off knows in some seconds that it is alone
		d.tick()
	}
	w.failIf(d.company > 1.2, "%v routers though none is heard", d.company)
}

// One voter among hundreds once sent a good build back by a few slow answers of its own that it had just seen.
func TestOwnOutcomesAmongMany(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		set := plain()
		set.Routers = 385
		w := still(t, set, true)
		d := w.r.decider
		back := false
		for i := range 60 {
			d.pastAt, d.company, d.warm, d.beside[lagging] = d.now, 385, 10, 10
			d.count[lagging], d.state[lagging], d.spread[lagging] = 1.9, (1-forgetting)*1.9*0.8, 0.002
			if !lasts {
				d.state[lagging] *= math.Pow(0.84, float64(i)) // as gossip mixes it away
			}
			d.judge()
			back = back || d.condemned
		}
		w.failIf(back != lasts, "condemned %v, though it lasts: %v", back, lasts)
	}
}

func TestSingleUseAfterDoubt(t *testing.T) {
	w := still(t, plain(), false)
	a := w.take(Command{ID: 1, Band: 2, Left: 4000 * ms})
	w.finish(a.sent[0], NoConnect)
	w.failIf(len(a.sent) != 2, "not handed off again though it never ran")
	w.finish(a.sent[1], Reset)
	w.failIf(len(a.sent) != 2 || !a.over, "%d hand-offs, over %v: it may have run", len(a.sent), a.over)
}

func TestGuardedStageAndKeys(t *testing.T) {
	set := plain()
	set.Guarded = 1
	w := still(t, set, true)
	w.four(Gone)
	a := w.take(Command{ID: 1, Band: 0, Left: 3000 * ms})
	w.failIf(len(a.sent) != 0, "a command with an effect went to a guarded stage")
	w.hear(News{Build: 5})
	a = w.take(Command{ID: 3, Band: 1, Left: 3000 * ms})
	w.failIf(len(a.sent) != 0, "sent to the trial at cap 0")
	w.hear(News{Build: 5, Cap: 1})
	a = w.take(Command{ID: 2, Band: 1, Key: 77, Left: 5000 * ms})
	w.finish(a.sent[0], Fulfilled)
	w.four(Ready)
	w.hear(News{Build: 5, Standing: Released, Cap: 1}) // a released build keeps its keys too
	for id := range uint32(20) {
		a := w.take(Command{ID: 10 + id, Band: 1, Key: 77, Left: 5000 * ms})
		w.failIf(len(a.sent) == 1 && a.sent[0].build != 5, "a key went back to an earlier build")
	}
}

type out struct {
	took  int64
	e     Ending
	wrong bool
}

type play func(w *world, i, build int) out

// lone plays a build on trial at one router: how long an answer takes, how it ends, whether it is reported wrong.
// It tells whether the router votes the build back.
func lone(t *testing.T, play play) bool {
	set := plain()
	set.KeysStay, set.Copies, set.Beside = false, false, true
	w := still(t, set, false)
	w.trialShare = []int{0}
	var due []func() bool
	for i := range 1600 {
		if i == 300 {
			w.hear(News{Build: 5, Stage: 1, Cap: 1})
			w.list(Changes, Listed{ID: 9, Build: 5, Size: 1}, Listed{ID: 8, Build: 5, Size: 1})
		}
		a := w.take(Command{ID: uint32(10 + i), Band: 1, Left: 5000 * ms})
		for _, s := range a.sent {
			w.trialShare = append(w.trialShare, s.build-4)
			o := play(w, i, s.build)
			at := w.now + o.took
			due = append(due, func() bool {
				if at <= w.now && s.out {
					if w.finish(s, o.e); o.wrong {
						w.r.Flagged(w.now, s.host.ID, 1, 0)
					}
				}
				return at <= w.now
			})
		}
		w.pass(15 * ms)
		due = slices.DeleteFunc(due, func(ends func() bool) bool { return ends() })
	}
	return slices.ContainsFunc(w.votes, func(v vote) bool { return v.verdict == Back })
}

func TestJudging(t *testing.T) {
	usual := func(i int) int64 { return int64(60+i*37%80) * ms }
	for name, c := range map[string]struct {
		back bool
		play play
	}{
		"a good build": {false, func(w *world, i, build int) out { return out{usual(i), Fulfilled, false} }},
		// one report, worth many failures, once sent good builds back before gossip had spread it
		"a lone report": {false, func(w *world, i, build int) out { return out{usual(i), Fulfilled, build == 5 && i/5 == 80} }},
		"wrong answers": {true, func(w *world, i, build int) out { return out{usual(i), Fulfilled, build == 5 && i%17 == 0} }},
		"failures":      {true, func(w *world, i, build int) out { return out{usual(i), Ending(1 - min(1, (5-build)+i%8)), false} }},
		"slow answers":  {true, func(w *world, i, build int) out { return out{usual(i) * int64(1+2*(build-4)), Fulfilled, false} }},
		// what is remembered of a busy build's good time must not hide that it turned bad
		"failures that begin late": {true, func(w *world, i, build int) out {
			if i == 700 {
				w.hear(News{Build: 5, Standing: Released, Cap: 1})
				w.four(Gone)
			}
			return out{usual(i), Ending(min(1, i/1300) * (1 - min(1, i%14))), false}
		}},
		// nor may what broke on both builds, beside the earlier one, excuse what fails after the release
		"failures after resets": {true, func(w *world, i, build int) out {
			if i == 900 {
				w.hear(News{Build: 5, Standing: Released, Cap: 1})
				w.four(Gone)
			}
			e := Reset * Ending(max(0, 1-i%8))
			if i >= 1100 {
				e = Ending(1 - min(1, i%12))
			}
			return out{usual(i), e, false}
		}},
		// a shared slowdown and its time-outs once passed for the build's fault
		"all slow after the release": {false, func(w *world, i, build int) out {
			if i == 700 {
				w.hear(News{Build: 5, Standing: Released, Cap: 1})
				w.four(Gone)
			}
			return out{usual(i) * int64(1+3*min(1, i/800)), Fulfilled, false}
		}},
		"all slow at once": {false, func(w *world, i, build int) out { return out{usual(i) * int64(1+min(1, i/800)), Fulfilled, false} }},
		// resets on all hosts once passed for the build's, beside an earlier build's share of a minute
		"breaks on both builds": {false, func(w *world, i, build int) out {
			return out{usual(i), Reset * Ending(min(1, i/800)*max(0, 1-i%8)), false}
		}},
		// no comparison of the builds shows this one
		"slows all with its traffic": {true, func(w *world, i, build int) out {
			sum := 0
			for _, x := range w.trialShare[max(0, len(w.trialShare)-60):] {
				sum += x
			}
			return out{usual(i) * int64(60+6*sum) / 60, Fulfilled, false}
		}},
	} {
		if got := lone(t, c.play); got != c.back {
			t.Errorf("%s: voted back %v", name, got)
		}
	}
}

// Earlier hosts that turned slow by themselves once kept two commands in three, and the test that keeps the trial back
// left its good hosts idle for six seconds at a time.
func TestEarlierHostsTurnSlow(t *testing.T) {
	var played *world
	dips := 0
	lone(t, func(w *world, i, build int) out {
		if played = w; w.r.dipAt > 0 {
			dips++
		}
		took := int64(60+i*37%80) * ms
		if build == 4 && i > 900 {
			took *= 4
		}
		return out{took, Fulfilled, false}
	})
	sum, last := 0, played.trialShare[len(played.trialShare)-300:]
	for _, x := range last {
		sum += x
	}
	if dips > 0 || sum < 150 {
		t.Errorf("kept back at %d commands; %d of the last %d went to the quick third of the hosts", dips, sum, len(last))
	}
}

// All voters once took back their votes on a stage that had passed, and the platform turned those for the next away.
func TestBygoneVotes(t *testing.T) {
	w := still(t, plain(), true)
	w.pass(8000 * ms)
	last := func() vote { return w.votes[len(w.votes)-1] }
	w.failIf(last() != vote{On, 5, 0}, "votes %v", w.votes)
	w.hear(News{Build: 5, Reply: true, Stage: 0, Cap: 1})
	w.hear(News{Build: 5, Stage: 1, Cap: 1})
	w.pass(1000 * ms)
	w.failIf(last() != vote{On, 5, 0}, "taken back: %v", last())
	w.r.cast, w.r.castAt, w.r.want = vote{Back, 5, 0}, w.now, vote{} // for going back a vote of any stage may count
	w.r.settleVote()
	w.failIf(last().verdict != NoVote, "not taken back: %v", last())
}

// Answers once came after the contract time of the band that is worth most, long before any was turned away, and
// hosts worked for clients that give up early and ask again.
func TestOverload(t *testing.T) {
	w := still(t, plain(), false)
	dismissed := [3]int{}
	for i := range 1500 {
		a := w.take(Command{ID: uint32(10 + i), Band: i % 3, Left: 3000 * ms})
		w.pass(5 * ms)
		if a.over && len(a.sent) == 0 {
			dismissed[a.Band]++
		}
		if i%4 == 0 && len(w.outs) > 0 { // a quarter of what comes can be done
			w.finish(w.outs[0], Fulfilled)
			w.outs = w.outs[1:]
		}
	}
	w.failIf(dismissed[1] < 200 || dismissed[1] < dismissed[0], "dismissed by band: %v", dismissed)
	d, shed := w.r.decider, [2]int{}
	d.own[open], d.mine[answers], d.mine[times] = 100, 14.8, 1e3 // nine tenths of the shortest contract time
	for i := range 1200 {
		if b := d.bands[i%3]; d.sheds(&command{band: b, carrier: 9, contract: d.now + b.Contract,
			cutOff: d.now + b.Contract/2 + int64(i%2)*b.Contract}) {
			shed[i%2]++
		}
	}
	w.failIf(shed[0] < 2*shed[1], "%d of those that give up early turned away, and %d others", shed[0], shed[1])
}

func TestReferencedWindowAndDrain(t *testing.T) {
	set := plain()
	set.Bands[0].Contract, set.Bands[0].CutOff = 4000*ms, 5000*ms
	w := still(t, set, false)
	a := w.take(Command{ID: 1, Band: 0, Left: 5000 * ms})
	w.pass(2500 * ms)
	sent := len(a.sent)
	for _, s := range a.sent {
		w.finish(s, Reset)
	}
	w.failIf(len(a.sent) != sent || !a.over, "handed off again after its repeats are known")
	w.four(Draining)
	b := w.take(Command{ID: 2, Band: 1, Left: 5000 * ms})
	w.failIf(len(b.sent) != 0, "sent to a host that drains")
	w.pass(1000 * ms)
	w.failIf(!w.commands[2].over, "what is given up must be answered at once")
}

// A host that failed at once held nothing, and so looked the best of any two.
func TestFastFailures(t *testing.T) {
	w, sent := still(t, plain(), false), [4]int{}
	for i := range uint32(400) {
		a := w.take(Command{ID: 10 + i, Band: 1, Left: 5000 * ms})
		for _, s := range a.sent {
			if sent[s.host.ID]++; s.host.ID == 2 {
				w.finish(s, Failed)
			}
		}
		w.pass(10 * ms)
		for _, s := range w.outs[max(0, len(w.outs)-12):max(0, len(w.outs)-8)] {
			w.finish(s, Fulfilled)
		}
	}
	w.failIf(sent[2] > sent[0]/2, "sent by host: %v", sent)
}

// Hundreds of quiet routers each gave hosts that had all just started one command, and they fell over.
func TestColdHostsOfMany(t *testing.T) {
	sent, set := 0, plain()
	set.Routers = 300
	for seed := range uint64(300) {
		w := newWorld(t, set, seed)
		w.hear(News{Build: 4, Standing: Released, Cap: 1})
		for id := range uint32(4) {
			w.list(Changes, Listed{ID: id, Build: 4, Size: 1, Started: w.now})
		}
		for i := range uint32(4) { // a command every half second
			a := w.take(Command{ID: i, Band: 1, Left: 5000 * ms})
			w.pass(500 * ms)
			sent += len(a.sent)
		}
	}
	if sent > 40 || sent < 8 {
		t.Fatalf("%d sent to four cold hosts in two seconds", sent)
	}
}

// Hosts that took few connections each refused half of all routers, whose idle ones filled them.
func TestFewConnections(t *testing.T) {
	w := still(t, plain(), false)
	for id := range uint32(50) {
		a := w.take(Command{ID: id, Band: 1, Left: 5000 * ms})
		if id == 10 {
			w.finish(a.sent[0], NoConnect)
		}
		if was := w.closed; len(a.sent) > 0 {
			w.finish(a.sent[len(a.sent)-1], Fulfilled)
			w.failIf(w.closed > was != (id >= 10 && id < 39), "command %d, a connection failed with the tenth", id)
		}
	}
}

// On sockets an answer counts for its key also where it is recalled, times out or breaks: the key must not go back.
func TestKeyIsTiedFromTheHandOff(t *testing.T) {
	for _, e := range []Ending{Recalled, TimedOut, Reset, Fulfilled, Failed, NoConnect} {
		d := newDecider(Settings{Routers: 1, Tick: ms, MaxHandOffs: 3, KeysStay: true, Bands: []Band{{Contract: 1000 * ms}}}, 1, nil)
		d.told, d.news = true, News{Build: 5}
		c := &command{band: d.bands[0], key: 7, over: true}
		o := &handOff{host: &host{build: 5, size: 1}, build: 5, tie: d.tie(c, 5)}
		if d.stuck.build(7) != 5 {
			t.Fatal("not tied while the hand-off is out")
		}
		d.ended(c, o, e, true, ms, nil)
		if tied := d.stuck.build(7) == 5; tied == (e == Failed || e == NoConnect) {
			t.Errorf("ending %d: tied %v", e, tied)
		}
	}
}

// A router once let open commands run up to its last descriptor before it shed any: answers came soon enough.
func TestShedsByRoom(t *testing.T) {
	turned := 0
	for _, open := range []float64{10, 90} {
		d := newDecider(Settings{Routers: 1, Most: 100, Bands: []Band{{Contract: 1000 * ms, Importance: 1}}}, 1, nil)
		d.own[0] = open
		for range 100 {
			if d.sheds(&command{band: d.bands[0], cutOff: 1000 * ms, contract: 1000 * ms}) {
				turned++
			}
		}
		if open == 10 && turned > 0 || open == 90 && turned < 50 {
			t.Errorf("%d turned away with %v of 100 open", turned, open)
		}
	}
}

type nowhere struct{ votes *[]Verdict }

func (nowhere) HandOff(uint32, uint32, int64) {}
func (nowhere) Dismiss(uint32, int64)         {}
func (nowhere) Scrap(uint32)                  {}
func (nowhere) Recall(uint32, int)            {}
func (n nowhere) Vote(v Verdict, _, _ int)    { *n.votes = append(*n.votes, v) }
func (nowhere) Tell(int, []byte)              {}
func (nowhere) Wake(int64, uint64)            {}
func (nowhere) Close(uint32)                  {}
func (nowhere) Watch(bool)                    {}
func (nowhere) Note(string)                   {}

// A router that starts anew took a build that was just released for the one before, and never sent it back: some fail
// first 11 s after their hosts' start.
func TestStartsAfterTheRelease(t *testing.T) {
	for _, x := range []struct {
		age  int64
		e    Ending
		back bool
	}{{second, Failed, true}, {60 * second, Failed, false}, {second, Spoilt, false}, {second, Fulfilled, false}, {0, Failed, false}} {
		now, votes := int64(1e12), []Verdict{}
		r := New(plain(), 1, now, nowhere{&votes})
		var all []Listed
		for n := range 4 {
			all = append(all, Listed{ID: uint32(n), Build: 7, Size: 1, Started: min(x.age, 1) * (now - 10*second)})
		}
		r.List(now, Cached, all)
		r.Hear(now, News{Build: 7, Standing: Released, Cap: 1, Age: x.age})
		for id := range uint32(500) {
			now += 10 * ms
			r.Woken(now, r.wakes)
			r.Take(now, Command{ID: id, Band: 2, Left: 1000 * ms})
			if c := r.commands[id]; c != nil {
				e := Fulfilled
				if id%8 == 0 {
					e = x.e
				}
				r.Ended(now, id, 0, e, true, ms, nil)
			}
		}
		if slices.Contains(votes, Back) != x.back {
			t.Error(x, votes)
		}
	}
}

// However many keys, hosts and builds come and go, what is held is that of the build on trial and the last seconds.
func TestHeldLevelsOff(t *testing.T) {
	now, id := int64(1e12), uint32(0)
	r := New(plain(), 1, now, nowhere{new([]Verdict)})
	for build := 1; build <= 40; build++ {
		list := func(health Health, build int) (all []Listed) {
			for n := range 4 {
				all = append(all, Listed{ID: uint32(10*build + n), Build: build, Size: 1, Health: health})
			}
			return all
		}
		r.List(now, Changes, list(Ready, build))
		for _, s := range []Standing{OnTrial, Released} {
			r.Hear(now, News{Build: build, Standing: s, Cap: 1})
			if s == Released {
				r.List(now, Changes, list(Gone, build-1))
			}
			for range 500 {
				now += 10 * ms
				r.Woken(now, r.wakes)
				id++
				r.Take(now, Command{ID: id, Band: 1, Key: uint64(id), Left: 1000 * ms})
				if c := r.commands[id]; c != nil {
					r.Ended(now, id, 0, Fulfilled, true, ms, nil)
				}
			}
		}
		if build == 20 { // sent back after its release: what went there goes to the earlier one again
			r.Hear(now, News{Build: build, Standing: GoingBack})
			r.List(now, Changes, append(list(Ready, build-1), list(Gone, build)...))
			if id++; r.floor != build-1 {
				t.Error(r.floor)
			}
			if r.Take(now, Command{ID: id, Band: 1, Key: uint64(id - 1), Left: 1000 * ms}); len(r.commands[id].handOffs) != 1 {
				t.Error("no host for a key that was answered by a build sent back")
			}
			r.Hear(now, News{Build: build, Standing: Withdrawn})
			r.List(now, Changes, list(Gone, build-1))
			r.List(now, Changes, list(Ready, build))
		}
		if len(r.stuck) > 1 || len(r.seenKey) > 400 || len(r.hosts) != 4 {
			t.Fatal(build, len(r.stuck), len(r.seenKey), len(r.hosts))
		}
	}
}

// room is a question that has room for so many hand-offs of all commands.
type room struct {
	w    *world
	most int
}

func (r room) May(uint32) bool { return len(r.w.sent) < r.most }

// Commands that were held are placed in one step, as when the hosts of a service come back cold together: each is asked about
// again when it goes, as those before it have taken what room there was.
func TestAsksAgainWhereManyGoAtOnce(t *testing.T) {
	for _, most := range []int{0, 1, 2, 5} {
		w := newWorld(t, plain(), 7)
		w.hear(News{Build: 4, Standing: Released, Cap: 1})
		for id := range uint32(6) {
			w.take(Command{ID: id, Band: 1, Left: 5000 * ms, May: room{w, most}})
		}
		w.failIf(len(w.sent) > 0, "%d sent with no host", len(w.sent))
		w.four(Ready)
		w.pass(20 * ms)
		w.failIf(len(w.sent) != most, "%d sent, there was room for %d", len(w.sent), most)
	}
}
