package decision

import (
	"math"
	"slices"
	"testing"
)

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
