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
	set := testSettings()
	set.Hedging, set.KeyAffinity, set.CapPerClass = seed%2 == 0, seed%3 == 0, seed%5 == 0
	set.GuardedStages, set.Subscribe, set.Rank = int(seed%3), seed%4 == 0, int(seed%3)
	set.Gate, set.Classes[0].DedupScope = Gate(seed%3), DedupScope(seed%7%3)
	hosts := uint32(8)
	if seed%4 == 1 { // one of hundreds, among many hosts
		set.Routers, hosts = 400, 100
	}
	w := newWorld(t, set, seed)
	w.effects = effects
	for id := range hosts {
		w.changeHosts(Delta, Host{ID: id, Cell: int(id % 2), Build: 4, Capacity: 1})
	}
	w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
	w.newestBuild = 4
	id := uint32(100)
	for w.step = range steps {
		w.random(&id)
		w.advance(w.rnd.Int64N(15) * ms)
		for _, f := range w.engine.gossipedValues() { // once divided by nothing, and no peer took its messages any more
			w.failIf(math.IsNaN(*f) || math.IsInf(*f, 0), "shared figures %v %v", w.engine.state, w.engine.fleetLoad)
		}
	}
	w.advance(6000 * ms) // what is still out never ends: all must be answered in time all the same
}

func (w *world) random(id *uint32) {
	switch p := w.rnd.IntN(100); {
	case p < 45:
		for range 1 + w.rnd.IntN(3) {
			*id++
			band := w.rnd.IntN(len(w.settings.Classes))
			w.receive(Request{ID: *id, Class: band, Customer: w.rnd.IntN(3), Key: uint64(w.rnd.IntN(30)),
				Remaining: w.rnd.Int64N(w.settings.Classes[band].Timeout) + ms})
		}
	case p < 85:
		for range min(len(w.inFlight), 8) {
			e, at := Succeeded, w.rnd.IntN(len(w.inFlight))
			if w.rnd.IntN(4) == 0 {
				e = Result(w.rnd.IntN(int(InvalidAnswer) + 1))
			}
			s := w.inFlight[at]
			w.inFlight = slices.Delete(w.inFlight, at, at+1)
			w.endAttempt(s, e)
		}
	case p < 90:
		h := Host{ID: uint32(w.rnd.IntN(len(w.hosts) + 1)), Health: Health(w.rnd.IntN(3)), Capacity: 1, Build: 4}
		h.Cell = int(h.ID % 2)
		if w.rnd.IntN(2) == 0 {
			h.Health, h.Build, h.StartedAt = Ready, w.newestBuild-1+w.rnd.IntN(3), w.now-w.rnd.Int64N(3000)*ms
		}
		w.changeHosts(Delta, h)
	case p < 93:
		n := Rollout{Build: w.newestBuild, Stage: w.rnd.IntN(4), State: RolloutState(w.rnd.IntN(4)), Age: w.rnd.Int64N(1000) * ms}
		if w.rnd.IntN(8) == 0 {
			w.newestBuild++
			n = Rollout{Build: w.newestBuild}
		}
		n.ExposureCap = []float64{0.1, 0.4, 1, 1}[n.Stage]
		if n.State != OnTrial && n.State != Released {
			n.ExposureCap = 0
		}
		w.changeRollout(n)
	case p < 95:
		w.engine.RolloutChanged(w.now, Rollout{Build: w.newestBuild + 9, VoteReply: true, VoteResult: VoteResult(1 + w.rnd.IntN(4)), ExposureCap: 1})
	case p < 97:
		raw := make([]byte, w.rnd.IntN(2*len(w.engine.encodeGossip())))
		for i := range raw {
			raw[i] = byte(w.rnd.Uint32())
		}
		w.engine.GossipReceived(w.now, w.rnd.IntN(4), raw)
	case p < 98:
		w.engine.AnswerFlagged(w.now, uint32(w.rnd.IntN(12)), w.rnd.IntN(3), 0)
	case p < 99:
		w.engine.AttemptEnded(w.now, *id, 9, Succeeded, true, ms, nil)
		w.engine.ClientGone(w.now, *id+1)
		w.engine.HostsChanged(w.now, FetchFailed, nil)
	default:
		if c := w.requests[*id-uint32(w.rnd.IntN(5))]; c != nil {
			c.done = true
			w.engine.ClientGone(w.now, c.ID)
		}
	}
}

func newQuietWorld(t *testing.T, set Settings, trial bool) *world {
	w := newWorld(t, set, 7)
	w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
	w.listFourHosts(Ready)
	if trial {
		w.changeRollout(Rollout{Build: 5, ExposureCap: 1})
		w.changeHosts(Delta, Host{ID: 9, Build: 5, Capacity: 1})
	}
	return w
}

func (w *world) listFourHosts(h Health) {
	for id := range uint32(4) {
		w.changeHosts(Delta, Host{ID: id, Build: 4, Health: h, Capacity: 1})
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestStateAndGossip(t *testing.T) {
	w := newQuietWorld(t, testSettings(), true)
	d := w.engine.decider
	d.trial, d.baseline = sample{count: [statisticCount]float64{4}, badness: [statisticCount]float64{2}}, sample{count: [statisticCount]float64{10}, badness: [statisticCount]float64{1}}
	d.tick()
	w.failIf(!almostEqual(d.state[failures], (1-forgettingFactor)*4*(0.5-0.1)) || !almostEqual(d.count[failures], 4), "state %v, count %v", d.state, d.count)
	before := d.state[failures]
	d.tick() // no outcome: the paper's missing measurement counts as 0
	w.failIf(!almostEqual(d.state[failures], forgettingFactor*before) || !almostEqual(d.count[failures], 4*forgettingFactor), "empty tick: state %v, count %v", d.state, d.count)
	state, count := d.state[failures], d.count[failures]
	peer := newQuietWorld(t, testSettings(), true).engine.decider
	peer.state[failures], peer.count[failures], peer.fleetLoad[openRequests] = 0.25, 8, 4
	w.engine.GossipReceived(w.now, 1, peer.encodeGossip())
	if !almostEqual(d.state[failures], (1-consensusGain)*state+consensusGain*0.25) || !almostEqual(d.count[failures], (1-consensusGain)*count+consensusGain*8) ||
		!almostEqual(d.fleetLoad[openRequests], consensusGain*4) {
		t.Fatalf("state %v, count %v, load %v after gossip", d.state[failures], d.count[failures], d.fleetLoad)
	}
	state = d.state[failures]
	bad := [][]byte{nil, make([]byte, len(peer.encodeGossip())+2)}
	for _, f := range []func(){func() { peer.state[failures] = math.NaN() }, func() { peer.state[failures], peer.count[failures] = 9, -1 },
		func() { peer.count[failures], peer.state[lag] = 1, 1e30 }, func() { peer.state[lag], peer.rollout.Build = 0, 4 }} {
		f()
		bad = append(bad, peer.encodeGossip())
	}
	for _, raw := range bad {
		w.engine.GossipReceived(w.now, 1, raw)
		w.failIf(d.state[failures] != state, "the message %x moved the state", raw)
	}
	for range 60 { // a router that is cut off knows in some seconds that it is alone
		d.tick()
	}
	w.failIf(d.reachableRouters > 1.2, "%v routers though none is heard", d.reachableRouters)
}

// One voter among hundreds once sent a good build back by a few slow answers of its own that it had just seen.
func TestOwnOutcomesAmongMany(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		set := testSettings()
		set.Routers = 385
		w := newQuietWorld(t, set, true)
		d := w.engine.decider
		back := false
		for i := range 60 {
			d.baselineSentAt, d.reachableRouters, d.warmTrialHosts, d.baselineCount[lag] = d.now, 385, 10, 10
			d.count[lag], d.state[lag], d.meanSquare[lag] = 1.9, (1-forgettingFactor)*1.9*0.8, 0.002
			if !lasts {
				d.state[lag] *= math.Pow(0.84, float64(i)) // as gossip mixes it away
			}
			d.decide()
			back = back || d.buildRejected
		}
		w.failIf(back != lasts, "condemned %v, though it lasts: %v", back, lasts)
	}
}

func TestSingleUseAfterDoubt(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	a := w.receive(Request{ID: 1, Class: 2, Remaining: 4000 * ms})
	w.endAttempt(a.attempts[0], ConnectFailed)
	w.failIf(len(a.attempts) != 2, "not handed off again though it never ran")
	w.endAttempt(a.attempts[1], ConnectionReset)
	w.failIf(len(a.attempts) != 2 || !a.done, "%d hand-offs, over %v: it may have run", len(a.attempts), a.done)
}

func TestGuardedStageAndKeys(t *testing.T) {
	set := testSettings()
	set.GuardedStages = 1
	w := newQuietWorld(t, set, true)
	w.listFourHosts(Gone)
	a := w.receive(Request{ID: 1, Class: 0, Remaining: 3000 * ms})
	w.failIf(len(a.attempts) != 0, "a command with an effect went to a guarded stage")
	w.changeRollout(Rollout{Build: 5})
	a = w.receive(Request{ID: 3, Class: 1, Remaining: 3000 * ms})
	w.failIf(len(a.attempts) != 0, "sent to the trial at cap 0")
	w.changeRollout(Rollout{Build: 5, ExposureCap: 1})
	a = w.receive(Request{ID: 2, Class: 1, Key: 77, Remaining: 5000 * ms})
	w.endAttempt(a.attempts[0], Succeeded)
	w.listFourHosts(Ready)
	w.changeRollout(Rollout{Build: 5, State: Released, ExposureCap: 1}) // a released build keeps its keys too
	for id := range uint32(20) {
		a := w.receive(Request{ID: 10 + id, Class: 1, Key: 77, Remaining: 5000 * ms})
		w.failIf(len(a.attempts) == 1 && a.attempts[0].build != 5, "a key went back to an earlier build")
	}
}

type scriptedAnswer struct {
	took   int64
	result Result
	wrong  bool
}

type scriptedBuild func(w *world, i, build int) scriptedAnswer

// votesBackAlone plays a build on trial at one router: how long an answer takes, how it ends, whether it is reported wrong.
// It tells whether the router votes the build back.
func votesBackAlone(t *testing.T, play scriptedBuild) bool {
	set := testSettings()
	set.KeyAffinity, set.Hedging, set.SideBySide = false, false, true
	w := newQuietWorld(t, set, false)
	w.trialShare = []int{0}
	var due []func() bool
	for i := range 1600 {
		if i == 300 {
			w.changeRollout(Rollout{Build: 5, Stage: 1, ExposureCap: 1})
			w.changeHosts(Delta, Host{ID: 9, Build: 5, Capacity: 1}, Host{ID: 8, Build: 5, Capacity: 1})
		}
		a := w.receive(Request{ID: uint32(10 + i), Class: 1, Remaining: 5000 * ms})
		for _, s := range a.attempts {
			w.trialShare = append(w.trialShare, s.build-4)
			o := play(w, i, s.build)
			at := w.now + o.took
			due = append(due, func() bool {
				if at <= w.now && s.inFlight {
					if w.endAttempt(s, o.result); o.wrong {
						w.engine.AnswerFlagged(w.now, s.host.ID, 1, 0)
					}
				}
				return at <= w.now
			})
		}
		w.advance(15 * ms)
		due = slices.DeleteFunc(due, func(ends func() bool) bool { return ends() })
	}
	return slices.ContainsFunc(w.votes, func(v vote) bool { return v.choice == RollBack })
}

func TestTrialDecisions(t *testing.T) {
	usual := func(i int) int64 { return int64(60+i*37%80) * ms }
	for name, c := range map[string]struct {
		back bool
		play scriptedBuild
	}{
		"a good build": {false, func(w *world, i, build int) scriptedAnswer { return scriptedAnswer{usual(i), Succeeded, false} }},
		// one report, worth many failures, once sent good builds back before gossip had spread it
		"a lone report": {false, func(w *world, i, build int) scriptedAnswer {
			return scriptedAnswer{usual(i), Succeeded, build == 5 && i/5 == 80}
		}},
		"wrong answers": {true, func(w *world, i, build int) scriptedAnswer {
			return scriptedAnswer{usual(i), Succeeded, build == 5 && i%17 == 0}
		}},
		"failures": {true, func(w *world, i, build int) scriptedAnswer {
			return scriptedAnswer{usual(i), Result(1 - min(1, (5-build)+i%8)), false}
		}},
		"slow answers": {true, func(w *world, i, build int) scriptedAnswer {
			return scriptedAnswer{usual(i) * int64(1+2*(build-4)), Succeeded, false}
		}},
		// what is remembered of a busy build's good time must not hide that it turned bad
		"failures that begin late": {true, func(w *world, i, build int) scriptedAnswer {
			if i == 700 {
				w.changeRollout(Rollout{Build: 5, State: Released, ExposureCap: 1})
				w.listFourHosts(Gone)
			}
			return scriptedAnswer{usual(i), Result(min(1, i/1300) * (1 - min(1, i%14))), false}
		}},
		// nor may what broke on both builds, beside the earlier one, excuse what fails after the release
		"failures after resets": {true, func(w *world, i, build int) scriptedAnswer {
			if i == 900 {
				w.changeRollout(Rollout{Build: 5, State: Released, ExposureCap: 1})
				w.listFourHosts(Gone)
			}
			e := ConnectionReset * Result(max(0, 1-i%8))
			if i >= 1100 {
				e = Result(1 - min(1, i%12))
			}
			return scriptedAnswer{usual(i), e, false}
		}},
		// a shared slowdown and its time-outs once passed for the build's fault
		"all slow after the release": {false, func(w *world, i, build int) scriptedAnswer {
			if i == 700 {
				w.changeRollout(Rollout{Build: 5, State: Released, ExposureCap: 1})
				w.listFourHosts(Gone)
			}
			return scriptedAnswer{usual(i) * int64(1+3*min(1, i/800)), Succeeded, false}
		}},
		"all slow at once": {false, func(w *world, i, build int) scriptedAnswer {
			return scriptedAnswer{usual(i) * int64(1+min(1, i/800)), Succeeded, false}
		}},
		// resets on all hosts once passed for the build's, beside an earlier build's share of a minute
		"breaks on both builds": {false, func(w *world, i, build int) scriptedAnswer {
			return scriptedAnswer{usual(i), ConnectionReset * Result(min(1, i/800)*max(0, 1-i%8)), false}
		}},
		// no comparison of the builds shows this one
		"slows all with its traffic": {true, func(w *world, i, build int) scriptedAnswer {
			sum := 0
			for _, x := range w.trialShare[max(0, len(w.trialShare)-60):] {
				sum += x
			}
			return scriptedAnswer{usual(i) * int64(60+6*sum) / 60, Succeeded, false}
		}},
	} {
		if got := votesBackAlone(t, c.play); got != c.back {
			t.Errorf("%s: voted back %v", name, got)
		}
	}
}

// Earlier hosts that turned slow by themselves once kept two commands in three, and the test that keeps the trial back
// left its good hosts idle for six seconds at a time.
func TestEarlierHostsTurnSlow(t *testing.T) {
	var played *world
	pauses := 0
	votesBackAlone(t, func(w *world, i, build int) scriptedAnswer {
		if played = w; w.engine.pausedAt > 0 {
			pauses++
		}
		took := int64(60+i*37%80) * ms
		if build == 4 && i > 900 {
			took *= 4
		}
		return scriptedAnswer{took, Succeeded, false}
	})
	sum, last := 0, played.trialShare[len(played.trialShare)-300:]
	for _, x := range last {
		sum += x
	}
	if pauses > 0 || sum < 150 {
		t.Errorf("kept back at %d commands; %d of the last %d went to the quick third of the hosts", pauses, sum, len(last))
	}
}

// All voters once took back their votes on a stage that had passed, and the platform turned those for the next away.
func TestOutdatedVotes(t *testing.T) {
	w := newQuietWorld(t, testSettings(), true)
	w.advance(8000 * ms)
	last := func() vote { return w.votes[len(w.votes)-1] }
	w.failIf(last() != vote{Advance, 5, 0}, "votes %v", w.votes)
	w.changeRollout(Rollout{Build: 5, VoteReply: true, Stage: 0, ExposureCap: 1})
	w.changeRollout(Rollout{Build: 5, Stage: 1, ExposureCap: 1})
	w.advance(1000 * ms)
	w.failIf(last() != vote{Advance, 5, 0}, "taken back: %v", last())
	w.engine.castVote, w.engine.voteCastAt, w.engine.wantedVote = vote{RollBack, 5, 0}, w.now, vote{} // for going back a vote of any stage may count
	w.engine.updateVote()
	w.failIf(last().choice != NoVote, "not taken back: %v", last())
}

// Answers once came after the contract time of the band that is worth most, long before any was turned away, and
// hosts worked for clients that give up early and ask again.
func TestOverload(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	rejected := [3]int{}
	for i := range 1500 {
		a := w.receive(Request{ID: uint32(10 + i), Class: i % 3, Remaining: 3000 * ms})
		w.advance(5 * ms)
		if a.done && len(a.attempts) == 0 {
			rejected[a.Class]++
		}
		if i%4 == 0 && len(w.inFlight) > 0 { // a quarter of what comes can be done
			w.endAttempt(w.inFlight[0], Succeeded)
			w.inFlight = w.inFlight[1:]
		}
	}
	w.failIf(rejected[1] < 200 || rejected[1] < rejected[0], "dismissed by band: %v", rejected)
	d, shed := w.engine.decider, [2]int{}
	d.tickLoad[openRequests], d.ownLoad[answerCount], d.ownLoad[answerSeconds] = 100, 14.8, 1e3 // nine tenths of the shortest contract time
	for i := range 1200 {
		if b := d.classes[i%3]; d.shouldShed(&request{class: b, customer: 9, target: d.now + b.LatencyTarget,
			deadline: d.now + b.LatencyTarget/2 + int64(i%2)*b.LatencyTarget}) {
			shed[i%2]++
		}
	}
	w.failIf(shed[0] < 2*shed[1], "%d of those that give up early turned away, and %d others", shed[0], shed[1])
}

func TestDedupWindowAndDrain(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyTarget, set.Classes[0].Timeout = 4000*ms, 5000*ms
	w := newQuietWorld(t, set, false)
	a := w.receive(Request{ID: 1, Class: 0, Remaining: 5000 * ms})
	w.advance(2500 * ms)
	sent := len(a.attempts)
	for _, s := range a.attempts {
		w.endAttempt(s, ConnectionReset)
	}
	w.failIf(len(a.attempts) != sent || !a.done, "handed off again after its repeats are known")
	w.listFourHosts(Draining)
	b := w.receive(Request{ID: 2, Class: 1, Remaining: 5000 * ms})
	w.failIf(len(b.attempts) != 0, "sent to a host that drains")
	w.advance(1000 * ms)
	w.failIf(!w.requests[2].done, "what is given up must be answered at once")
}

// A host that failed at once held nothing, and so looked the best of any two.
func TestFastFailures(t *testing.T) {
	w, sent := newQuietWorld(t, testSettings(), false), [4]int{}
	for i := range uint32(400) {
		a := w.receive(Request{ID: 10 + i, Class: 1, Remaining: 5000 * ms})
		for _, s := range a.attempts {
			if sent[s.host.ID]++; s.host.ID == 2 {
				w.endAttempt(s, Failed)
			}
		}
		w.advance(10 * ms)
		for _, s := range w.inFlight[max(0, len(w.inFlight)-12):max(0, len(w.inFlight)-8)] {
			w.endAttempt(s, Succeeded)
		}
	}
	w.failIf(sent[2] > sent[0]/2, "sent by host: %v", sent)
}

// Hundreds of quiet routers each gave hosts that had all just started one command, and they fell over.
func TestColdHostsOfMany(t *testing.T) {
	sent, set := 0, testSettings()
	set.Routers = 300
	for seed := range uint64(300) {
		w := newWorld(t, set, seed)
		w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
		for id := range uint32(4) {
			w.changeHosts(Delta, Host{ID: id, Build: 4, Capacity: 1, StartedAt: w.now})
		}
		for i := range uint32(4) { // a command every half second
			a := w.receive(Request{ID: i, Class: 1, Remaining: 5000 * ms})
			w.advance(500 * ms)
			sent += len(a.attempts)
		}
	}
	if sent > 40 || sent < 8 {
		t.Fatalf("%d sent to four cold hosts in two seconds", sent)
	}
}

// Hosts that took few connections each refused half of all routers, whose idle ones filled them.
func TestFewConnections(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	for id := range uint32(50) {
		a := w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms})
		if id == 10 {
			w.endAttempt(a.attempts[0], ConnectFailed)
		}
		if was := w.closedIdle; len(a.attempts) > 0 {
			w.endAttempt(a.attempts[len(a.attempts)-1], Succeeded)
			w.failIf(w.closedIdle > was != (id >= 10 && id < 39), "command %d, a connection failed with the tenth", id)
		}
	}
}

// On sockets an answer counts for its key also where it is recalled, times out or breaks: the key must not go back.
func TestKeyIsBoundFromTheAttempt(t *testing.T) {
	for _, e := range []Result{Canceled, TimedOut, ConnectionReset, Succeeded, Failed, ConnectFailed} {
		d := newDecider(Settings{Routers: 1, TimerResolution: ms, MaxAttempts: 3, KeyAffinity: true, Classes: []RequestClass{{LatencyTarget: 1000 * ms}}}, 1, nil)
		d.hasRollout, d.rollout = true, Rollout{Build: 5}
		c := &request{class: d.classes[0], key: 7, done: true}
		o := &attempt{host: &host{build: 5, capacity: 1}, build: 5, binding: d.bindKey(c, 5)}
		if d.bindings.latest(7) != 5 {
			t.Fatal("not tied while the hand-off is out")
		}
		d.attemptEnded(c, o, e, true, ms, nil)
		if bound := d.bindings.latest(7) == 5; bound == (e == Failed || e == ConnectFailed) {
			t.Errorf("ending %d: tied %v", e, bound)
		}
	}
}

// A router once let open commands run up to its last descriptor before it shed any: answers came soon enough.
func TestShedsByOpenRequests(t *testing.T) {
	rejected := 0
	for _, open := range []float64{10, 90} {
		d := newDecider(Settings{Routers: 1, MaxOpen: 100, Classes: []RequestClass{{LatencyTarget: 1000 * ms, Value: 1}}}, 1, nil)
		d.tickLoad[0] = open
		for range 100 {
			if d.shouldShed(&request{class: d.classes[0], deadline: 1000 * ms, target: 1000 * ms}) {
				rejected++
			}
		}
		if open == 10 && rejected > 0 || open == 90 && rejected < 50 {
			t.Errorf("%d turned away with %v of 100 open", rejected, open)
		}
	}
}

type discardEffects struct{ votes *[]Verdict }

func (discardEffects) StartAttempt(uint32, uint32, int64) {}
func (discardEffects) Reject(uint32, int64)               {}
func (discardEffects) Fail(uint32)                        {}
func (discardEffects) CancelAttempt(uint32, int)          {}
func (n discardEffects) Vote(v Verdict, _, _ int)         { *n.votes = append(*n.votes, v) }
func (discardEffects) SendGossip(int, []byte)             {}
func (discardEffects) SetTimer(int64, uint64)             {}
func (discardEffects) CloseIdle(uint32)                   {}
func (discardEffects) WatchHosts(bool)                    {}
func (discardEffects) Log(string)                         {}

// A router that starts anew took a build that was just released for the one before, and never sent it back: some fail
// first 11 s after their hosts' start.
func TestStartsAfterTheRelease(t *testing.T) {
	for _, x := range []struct {
		age  int64
		e    Result
		back bool
	}{{second, Failed, true}, {60 * second, Failed, false}, {second, InvalidAnswer, false}, {second, Succeeded, false}, {0, Failed, false}} {
		now, votes := int64(1e12), []Verdict{}
		r := New(testSettings(), 1, now, discardEffects{&votes})
		var all []Host
		for n := range 4 {
			all = append(all, Host{ID: uint32(n), Build: 7, Capacity: 1, StartedAt: min(x.age, 1) * (now - 10*second)})
		}
		r.HostsChanged(now, CachedSnapshot, all)
		r.RolloutChanged(now, Rollout{Build: 7, State: Released, ExposureCap: 1, Age: x.age})
		for id := range uint32(500) {
			now += 10 * ms
			r.TimerFired(now, r.timerID)
			r.RequestReceived(now, Request{ID: id, Class: 2, Remaining: 1000 * ms})
			if c := r.requestsByID[id]; c != nil {
				e := Succeeded
				if id%8 == 0 {
					e = x.e
				}
				r.AttemptEnded(now, id, 0, e, true, ms, nil)
			}
		}
		if slices.Contains(votes, RollBack) != x.back {
			t.Error(x, votes)
		}
	}
}

// However many keys, hosts and builds come and go, what is held is that of the build on trial and the last seconds.
func TestHeldRolloutLevelsOff(t *testing.T) {
	now, id := int64(1e12), uint32(0)
	r := New(testSettings(), 1, now, discardEffects{new([]Verdict)})
	for build := 1; build <= 40; build++ {
		list := func(health Health, build int) (all []Host) {
			for n := range 4 {
				all = append(all, Host{ID: uint32(10*build + n), Build: build, Capacity: 1, Health: health})
			}
			return all
		}
		r.HostsChanged(now, Delta, list(Ready, build))
		for _, s := range []RolloutState{OnTrial, Released} {
			r.RolloutChanged(now, Rollout{Build: build, State: s, ExposureCap: 1})
			if s == Released {
				r.HostsChanged(now, Delta, list(Gone, build-1))
			}
			for range 500 {
				now += 10 * ms
				r.TimerFired(now, r.timerID)
				id++
				r.RequestReceived(now, Request{ID: id, Class: 1, Key: uint64(id), Remaining: 1000 * ms})
				if c := r.requestsByID[id]; c != nil {
					r.AttemptEnded(now, id, 0, Succeeded, true, ms, nil)
				}
			}
		}
		if build == 20 { // sent back after its release: what went there goes to the earlier one again
			r.RolloutChanged(now, Rollout{Build: build, State: RollingBack})
			r.HostsChanged(now, Delta, append(list(Ready, build-1), list(Gone, build)...))
			if id++; r.minBuild != build-1 {
				t.Error(r.minBuild)
			}
			if r.RequestReceived(now, Request{ID: id, Class: 1, Key: uint64(id - 1), Remaining: 1000 * ms}); len(r.requestsByID[id].attempts) != 1 {
				t.Error("no host for a key that was answered by a build sent back")
			}
			r.RolloutChanged(now, Rollout{Build: build, State: RolledBack})
			r.HostsChanged(now, Delta, list(Gone, build-1))
			r.HostsChanged(now, Delta, list(Ready, build))
		}
		if len(r.bindings) > 1 || len(r.keySeenAt) > 400 || len(r.hostsByID) != 4 {
			t.Fatal(build, len(r.bindings), len(r.keySeenAt), len(r.hostsByID))
		}
	}
}

// attemptLimit is a question that has room for so many hand-offs of all commands.
type attemptLimit struct {
	w   *world
	max int
}

func (r attemptLimit) Allowed(uint32) bool { return len(r.w.sent) < r.max }

// Commands that were held are placed in one step, as when the hosts of a service come back cold together: each is asked about
// again when it goes, as those before it have taken what room there was.
func TestAsksAgainWhereManyGoAtOnce(t *testing.T) {
	for _, most := range []int{0, 1, 2, 5} {
		w := newWorld(t, testSettings(), 7)
		w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
		for id := range uint32(6) {
			w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms, Filter: attemptLimit{w, most}})
		}
		w.failIf(len(w.sent) > 0, "%d sent with no host", len(w.sent))
		w.listFourHosts(Ready)
		w.advance(20 * ms)
		w.failIf(len(w.sent) != most, "%d sent, there was room for %d", len(w.sent), most)
	}
}
