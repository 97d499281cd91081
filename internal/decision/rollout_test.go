package decision

import (
	"math"
	"slices"
	"testing"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// The state follows equation (5): each tick applies the forgetting factor, each message the consensus gain.
func TestStateAndGossip(t *testing.T) {
	w := newQuietWorld(t, testSettings(), true)
	d := w.engine.decider
	d.trial = sample{count: [statisticCount]float64{4}, penalty: [statisticCount]float64{2}}
	d.baseline = sample{count: [statisticCount]float64{10}, penalty: [statisticCount]float64{1}}
	d.tick()
	w.failIf(!almostEqual(d.state[failures], (1-forgettingFactor)*4*(0.5-0.1)) || !almostEqual(d.count[failures], 4), "state %v, count %v", d.state, d.count)
	before := d.state[failures]
	d.tick() // a tick without outcomes has reading 0
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
	for _, corrupt := range []func(){
		func() { peer.state[failures] = math.NaN() },
		func() { peer.state[failures], peer.count[failures] = 9, -1 },
		func() { peer.count[failures], peer.state[excessLatency] = 1, 1e30 },
		func() { peer.state[excessLatency], peer.rollout.Build = 0, 4 },
	} {
		corrupt()
		bad = append(bad, peer.encodeGossip())
	}
	for _, raw := range bad {
		w.engine.GossipReceived(w.now, 1, raw)
		w.failIf(d.state[failures] != state, "the message %x changed the state", raw)
	}
	for range 60 { // a partitioned router notices within some seconds
		d.tick()
	}
	w.failIf(d.reachableRouters > 1.2, "%v reachable routers although no message was received, want about 1", d.reachableRouters)
}

// Guards against one voter among hundreds rejecting a good build for a few slow answers that only it has measured. An excess that
// persists must be rejected.
func TestTransientExcessIsIgnored(t *testing.T) {
	for _, persists := range []bool{false, true} {
		set := testSettings()
		set.Routers = 385
		w := newQuietWorld(t, set, true)
		d := w.engine.decider
		rejected := false
		for i := range 60 {
			d.baselineSentAt = d.now
			d.reachableRouters = 385
			d.warmTrialHosts = 10
			d.baselineCount[excessLatency] = 10
			d.count[excessLatency] = 1.9
			d.state[excessLatency] = (1 - forgettingFactor) * 1.9 * 0.8
			d.meanSquare[excessLatency] = 0.002
			if !persists {
				d.state[excessLatency] *= math.Pow(0.84, float64(i)) // decays as gossip averages it
			}
			d.decide()
			rejected = rejected || d.buildRejected
		}
		w.failIf(rejected != persists, "rejected: got %v, want %v", rejected, persists)
	}
}

// scriptedAnswer is the end of an attempt; wrong means that the client reports the answer as wrong.
type scriptedAnswer struct {
	took   int64
	result Result
	wrong  bool
}

// scriptedBuild returns the answer of a build to the i-th request.
type scriptedBuild func(w *world, i, build int) scriptedAnswer

// singleRouterRollsBack plays a trial with one router, and reports whether the router votes to roll back the build.
func singleRouterRollsBack(t *testing.T, play scriptedBuild) bool {
	set := testSettings()
	set.KeyAffinity, set.Hedging, set.SideBySide = false, false, true
	w := newQuietWorld(t, set, false)
	w.sentToTrial = []int{0}
	var due []func() bool
	for i := range 1600 {
		if i == 300 {
			w.changeRollout(Rollout{Build: 5, Stage: 1, ExposureCap: 1})
			w.changeHosts(Delta, Host{ID: 9, Build: 5, Capacity: 1}, Host{ID: 8, Build: 5, Capacity: 1})
		}
		a := w.receive(Request{ID: uint32(10 + i), Class: 1, Remaining: 5000 * ms})
		for _, s := range a.attempts {
			w.sentToTrial = append(w.sentToTrial, s.build-4)
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
		rollsBack bool
		play      scriptedBuild
	}{
		"a good build": {false, func(w *world, i, build int) scriptedAnswer { return scriptedAnswer{usual(i), Succeeded, false} }},
		// one report counts as several failures, which must not suffice before gossip has spread it
		"one report": {false, func(w *world, i, build int) scriptedAnswer {
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
		// earlier good outcomes must not hide that a build has begun to fail
		"failures that begin late": {true, func(w *world, i, build int) scriptedAnswer {
			if i == 700 {
				w.changeRollout(Rollout{Build: 5, State: Released, ExposureCap: 1})
				w.listFourHosts(Gone)
			}
			return scriptedAnswer{usual(i), Result(min(1, i/1300) * (1 - min(1, i%14))), false}
		}},
		// resets of both builds during the trial must not excuse failures after the release
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
		// a slowdown of all hosts and its timeouts must not be attributed to the build
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
		// the failure rate of the earlier build must follow fast enough to excuse resets at all hosts
		"resets of both builds": {false, func(w *world, i, build int) scriptedAnswer {
			return scriptedAnswer{usual(i), ConnectionReset * Result(min(1, i/800)*max(0, 1-i%8)), false}
		}},
		// a comparison of the two builds does not show this fault, only an interference test does
		"slows all with its traffic": {true, func(w *world, i, build int) scriptedAnswer {
			sum := 0
			for _, x := range w.sentToTrial[max(0, len(w.sentToTrial)-60):] {
				sum += x
			}
			return scriptedAnswer{usual(i) * int64(60+6*sum) / 60, Succeeded, false}
		}},
	} {
		if got := singleRouterRollsBack(t, c.play); got != c.rollsBack {
			t.Errorf("%s: voted to roll back: %v", name, got)
		}
	}
}

// Guards against hosts of the earlier build that become slow keeping most of the requests, and against interference tests that
// leave the good hosts of the trial idle.
func TestSlowBaselineHostsLoseTraffic(t *testing.T) {
	var played *world
	pauses := 0
	singleRouterRollsBack(t, func(w *world, i, build int) scriptedAnswer {
		played = w
		if w.engine.pausedAt > 0 {
			pauses++
		}
		took := int64(60+i*37%80) * ms
		if build == 4 && i > 900 {
			took *= 4
		}
		return scriptedAnswer{took, Succeeded, false}
	})
	sum, last := 0, played.sentToTrial[len(played.sentToTrial)-300:]
	for _, x := range last {
		sum += x
	}
	if pauses > 0 || sum < 150 {
		t.Errorf("paused during %d requests, want 0; %d of the last %d requests were sent to the fast hosts, want at least half", pauses, sum, len(last))
	}
}

// Guards against withdrawing votes to advance a stage that has passed: the calls would use up the platform's rate limit.
func TestOutdatedVotes(t *testing.T) {
	w := newQuietWorld(t, testSettings(), true)
	w.advance(8000 * ms)
	last := func() vote { return w.votes[len(w.votes)-1] }
	w.failIf(last() != vote{Advance, 5, 0}, "votes %v", w.votes)
	w.changeRollout(Rollout{Build: 5, VoteReply: true, Stage: 0, ExposureCap: 1})
	w.changeRollout(Rollout{Build: 5, Stage: 1, ExposureCap: 1})
	w.advance(1000 * ms)
	w.failIf(last() != vote{Advance, 5, 0}, "a vote on a passed stage was withdrawn: %v", last())
	w.engine.castVote = vote{RollBack, 5, 0} // a vote to roll back counts in any stage
	w.engine.voteCastAt = w.now
	w.engine.desiredVote = vote{}
	w.engine.updateVote()
	w.failIf(last().choice != NoVote, "a vote to roll back was not withdrawn: %v", last())
}

// voteRecorder records the choices of votes and ignores all other effects.
type voteRecorder struct{ votes *[]Verdict }

var _ Effects = voteRecorder{}

func (voteRecorder) StartAttempt(uint32, uint32, int64) {}
func (voteRecorder) Reject(uint32, int64)               {}
func (voteRecorder) Fail(uint32)                        {}
func (voteRecorder) CancelAttempt(uint32, int)          {}
func (e voteRecorder) Vote(v Verdict, _, _ int)         { *e.votes = append(*e.votes, v) }
func (voteRecorder) SendGossip(int, []byte)             {}
func (voteRecorder) SetTimer(int64, uint64)             {}
func (voteRecorder) CloseIdle(uint32)                   {}
func (voteRecorder) WatchHosts(bool)                    {}
func (voteRecorder) Log(string)                         {}

// Guards against a restarted router that takes a build released a moment ago for settled and never votes to roll it back.
func TestRouterRestartAfterRelease(t *testing.T) {
	for _, test := range []struct {
		age       int64
		result    Result
		rollsBack bool
	}{
		{second, Failed, true},
		{60 * second, Failed, false},
		{second, InvalidAnswer, false},
		{second, Succeeded, false},
		{0, Failed, false},
	} {
		now, votes := int64(1e12), []Verdict{}
		e := New(testSettings(), 1, now, voteRecorder{&votes})
		var all []Host
		for n := range 4 {
			all = append(all, Host{ID: uint32(n), Build: 7, Capacity: 1, StartedAt: min(test.age, 1) * (now - 10*second)})
		}
		e.HostsChanged(now, CachedSnapshot, all)
		e.RolloutChanged(now, Rollout{Build: 7, State: Released, ExposureCap: 1, Age: test.age})
		for id := range uint32(500) {
			now += 10 * ms
			e.TimerFired(now, e.timerID)
			e.RequestReceived(now, Request{ID: id, Class: 2, Remaining: 1000 * ms})
			if c := e.requestsByID[id]; c != nil {
				result := Succeeded
				if id%8 == 0 {
					result = test.result
				}
				e.AttemptEnded(now, id, 0, result, true, ms, nil)
			}
		}
		if slices.Contains(votes, RollBack) != test.rollsBack {
			t.Error(test, votes)
		}
	}
}

// Guards against memory growing with the number of keys, hosts and builds seen.
func TestMemoryIsBounded(t *testing.T) {
	now, id := int64(1e12), uint32(0)
	e := New(testSettings(), 1, now, voteRecorder{new([]Verdict)})
	for build := 1; build <= 40; build++ {
		list := func(health Health, build int) (all []Host) {
			for n := range 4 {
				all = append(all, Host{ID: uint32(10*build + n), Build: build, Capacity: 1, Health: health})
			}
			return all
		}
		e.HostsChanged(now, Delta, list(Ready, build))
		for _, s := range []RolloutState{OnTrial, Released} {
			e.RolloutChanged(now, Rollout{Build: build, State: s, ExposureCap: 1})
			if s == Released {
				e.HostsChanged(now, Delta, list(Gone, build-1))
			}
			for range 500 {
				now += 10 * ms
				e.TimerFired(now, e.timerID)
				id++
				e.RequestReceived(now, Request{ID: id, Class: 1, Key: uint64(id), Remaining: 1000 * ms})
				if c := e.requestsByID[id]; c != nil {
					e.AttemptEnded(now, id, 0, Succeeded, true, ms, nil)
				}
			}
		}
		if build == 20 { // after a rollback of the release, its keys may go to the earlier build again
			e.RolloutChanged(now, Rollout{Build: build, State: RollingBack})
			e.HostsChanged(now, Delta, append(list(Ready, build-1), list(Gone, build)...))
			id++
			if e.minBuild != build-1 {
				t.Error(e.minBuild)
			}
			e.RequestReceived(now, Request{ID: id, Class: 1, Key: uint64(id - 1), Remaining: 1000 * ms})
			if len(e.requestsByID[id].attempts) != 1 {
				t.Error("no host for a key bound to a build that was rolled back")
			}
			e.RolloutChanged(now, Rollout{Build: build, State: RolledBack})
			e.HostsChanged(now, Delta, list(Gone, build-1))
			e.HostsChanged(now, Delta, list(Ready, build))
		}
		if len(e.bindings) > 1 || len(e.keySeenAt) > 400 || len(e.hostsByID) != 4 {
			t.Fatal(build, len(e.bindings), len(e.keySeenAt), len(e.hostsByID))
		}
	}
}
