package decision

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"portflow/internal/testing/digest"
)

const ms = int64(1e6)

// Which effect follows in the digest.
const (
	effectHandOff = iota
	effectDismiss
	effectScrap
	effectRecall
	effectVote
	effectTell
	effectWake
	effectClose
	effectWatch
	effectNote
)

// world plays everything around one router, and checks the five rules at each effect and after each step.
type world struct {
	t           *testing.T
	engine      *Engine
	settings    Settings
	rnd         *rand.Rand
	now         int64
	step        int
	requests    map[uint32]*testRequest
	hosts       map[uint32]*testHost
	sent        []*testAttempt // of the last window
	inFlight    []*testAttempt // that may still be out
	unanswered  []*testRequest // that may still need an answer
	arrivals    []arrival
	answers     []sampledAnswer // of the last window
	timers      map[uint64]int64
	votes       []vote
	closedIdle  int
	rollout     Rollout
	capSince    int64 // when the last lower cap was told
	newestBuild int   // the newest there is
	keyBuilds   map[uint64]int
	trialShare  []int          // for each hand-off, 1 for the trial
	effects     *digest.Digest // of the router, where they are recorded
}

type testRequest struct {
	Request
	receivedAt, deadline int64
	done                 bool
	attempts             []*testAttempt
}

type testAttempt struct {
	request          *testRequest
	host             *testHost
	build, number    int
	startedAt        int64
	inFlight, notRun bool
}

type testHost struct {
	Host
	changedAt int64 // when it was told to be draining or gone, or of its start
}

type arrival struct{ at, class int64 }

const grace, window, answerGrace = 500 * ms, 3000 * ms, 20 * ms

func newWorld(t *testing.T, set Settings, seed uint64) *world {
	w := &world{t: t, settings: set, rnd: rand.New(rand.NewPCG(seed, 1)), now: 1e12, requests: map[uint32]*testRequest{},
		hosts: map[uint32]*testHost{}, timers: map[uint64]int64{}, keyBuilds: map[uint64]int{}}
	w.engine = New(set, seed, w.now, w)
	return w
}

func testSettings() Settings {
	return Settings{Routers: 3, TimerResolution: 5 * ms, MaxAttempts: 4, Hedging: true, Cancellation: true, Gossip: true,
		MaxRetryAfter: 1000 * ms, AdvanceVotes: 2, RollBackVotes: 1, VoteLifetime: 4000 * ms, VoteTimeout: 800 * ms, Gate: MajorityVote, TrialBurst: 2,
		FirstStageCap: 0.1, KeyAffinity: true, ReportedShare: 0.15, ColdCapacity: 0.33, WarmUpTime: 4000 * ms, CollapseFactor: 2, OverQuotaValue: 0.1,
		Customers: []Customer{{30}, {20}}, Classes: []RequestClass{
			{LatencyTarget: 750 * ms, Timeout: 3000 * ms, Idempotency: IdempotentByKey, DedupWindow: 2000 * ms, Value: 5},
			{LatencyTarget: 1500 * ms, Timeout: 5000 * ms, Value: 1, LateValue: 0.2},
			{LatencyTarget: 1200 * ms, Timeout: 4000 * ms, Idempotency: NonIdempotent, Value: 3}}}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("step %d: "+format, append([]any{w.step}, args...)...)
}

func (w *world) failIf(wrong bool, format string, args ...any) {
	if w.t.Helper(); wrong {
		w.fail(format, args...)
	}
}

func (w *world) trialState(build int) (stage int, cap float64, yes bool) {
	if build > w.rollout.Build {
		return 0, w.settings.FirstStageCap, true
	}
	return w.rollout.Stage, w.rollout.ExposureCap, build == w.rollout.Build && w.rollout.State != Released
}

func (w *world) StartAttempt(id, hostID uint32, until int64) {
	w.effects.Add(effectHandOff, w.now, id, hostID, until)
	req, h := w.requests[id], w.hosts[hostID]
	w.failIf(req == nil || req.done || h == nil, "hand-off of %d to %d: ended, or a host that was not listed", id, hostID)
	w.failIf(h.Health != Ready && w.now-h.changedAt > grace, "rule 3: hand-off to a host that was told to drain")
	class := w.settings.Classes[req.Class]
	for _, attempt := range req.attempts {
		switch {
		case attempt.inFlight && !w.settings.Hedging:
			w.fail("two hand-offs at once")
		case attempt.notRun:
		case class.Idempotency == NonIdempotent:
			w.fail("rule 2: a single-use command again")
		case class.Idempotency == IdempotentByKey && (w.now > attempt.startedAt+class.DedupWindow || class.DedupScope == SameCell && attempt.host.Cell != h.Cell):
			w.fail("rule 2: a referenced command outside its window or group")
		}
	}
	w.failIf(len(req.attempts) >= w.settings.MaxAttempts, "too many hand-offs")
	attempt := &testAttempt{request: req, host: h, build: h.Build, startedAt: w.now, number: len(req.attempts), inFlight: true}
	w.sent = append(w.sent, attempt)
	w.inFlight = append(w.inFlight, attempt)
	req.attempts = append(req.attempts, attempt)
	w.checkExposure(attempt, class)
	w.checkColdHost(h)
}

func (w *world) checkExposure(attempt *testAttempt, class RequestClass) {
	w.failIf(attempt.request.Key != 0 && w.settings.KeyAffinity && attempt.build < w.keyBuilds[attempt.request.Key], "rule 5: a key goes back to an earlier build")
	stage, cap, yes := w.trialState(attempt.build)
	if !yes {
		return
	}
	w.failIf(cap == 0 && w.now-w.capSince > grace || stage < w.settings.GuardedStages && class.Idempotency != Idempotent,
		"rule 5: cap %v stage %d band %d", cap, stage, attempt.request.Class)
	from, sent, taken := max(w.now-window, w.capSince), 0, 0
	for _, x := range w.sent {
		if x.startedAt > from && x.build == attempt.build && (!w.settings.CapPerClass || x.request.Class == attempt.request.Class) {
			sent++
		}
	}
	for _, x := range w.arrivals {
		if x.at > w.now-window && (!w.settings.CapPerClass || x.class == int64(attempt.request.Class)) {
			taken++
		}
	}
	w.failIf(float64(sent) > w.settings.TrialBurst+cap*float64(taken)+1e-6, "rule 5: %d sent of %d taken, cap %v", sent, taken, cap)
}

func (w *world) warmShare(h *testHost) float64 {
	age := float64(w.now-h.StartedAt) / float64(w.settings.WarmUpTime)
	if h.StartedAt == 0 || age >= 1 {
		return 1
	}
	return w.settings.ColdCapacity + (1-w.settings.ColdCapacity)*age
}

// checkColdHost is rule 4: with this router as all the traffic, what is sent must fit twice the host's part of what
// the fleet was seen to carry, but for a few at the start.
func (w *world) checkColdHost(h *testHost) {
	sent, room := 0.0, 5.0
	for _, x := range w.sent {
		if x.host == h && x.startedAt > max(w.now-window, h.changedAt) {
			sent++
		}
	}
	for _, x := range w.answers {
		room += 2 * h.Capacity * w.warmShare(h) / x.capacity
	}
	w.failIf(w.warmShare(h) < 1 && sent > room, "rule 4: %v sent to a cold host that can do %v", sent, room)
}

type sampledAnswer struct{ at, capacity float64 } // a fulfilled command, and the fleet's capacity at the time

func (w *world) finish(id uint32) *testRequest {
	c := w.requests[id]
	w.failIf(c == nil || c.done, "rule 1: a second answer to %d", id)
	c.done = true
	return c
}

func (w *world) Reject(id uint32, wait int64) {
	w.effects.Add(effectDismiss, w.now, id, wait)
	req := w.finish(id)
	class := w.settings.Classes[req.Class]
	for _, s := range req.attempts {
		w.failIf(!s.notRun && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != AllHosts),
			"rule 2: dismissed though it may have run")
	}
}
func (w *world) Fail(id uint32) {
	w.effects.Add(effectScrap, w.now, id)
	w.finish(id)
}
func (w *world) CancelAttempt(id uint32, number int) {
	w.effects.Add(effectRecall, w.now, id, number)
	w.failIf(w.requests[id] == nil || number >= len(w.requests[id].attempts), "recall of nothing")
}
func (w *world) Vote(v Verdict, build, stage int) {
	w.effects.Add(effectVote, w.now, v, build, stage)
	w.votes = append(w.votes, vote{v, build, stage})
}
func (w *world) SendGossip(peer int, message []byte) { w.effects.Add(effectTell, w.now, peer, message) }
func (w *world) SetTimer(after int64, mark uint64) {
	w.effects.Add(effectWake, w.now, after, mark)
	w.timers[mark] = w.now + after
}
func (w *world) CloseIdle(host uint32) {
	w.effects.Add(effectClose, w.now, host)
	w.closedIdle++
}
func (w *world) WatchHosts(on bool) { w.effects.Add(effectWatch, w.now, on) }
func (w *world) Log(text string)    { w.effects.Add(effectNote, w.now) } // the text is for people

// advance lets time go by, and delivers the wake-ups that fall due: late, at times again, and a little early, as the
// clock of their source is coarser, which once stopped all time-outs.
func (w *world) advance(by int64) {
	for end := w.now + by; w.now < end; {
		w.now = min(end, w.now+w.settings.TimerResolution)
		for _, id := range slices.Sorted(maps.Keys(w.timers)) {
			if at := w.timers[id]; at <= w.now+w.rnd.Int64N(2)*ms {
				if w.rnd.IntN(4) > 0 || at < w.now-w.settings.TimerResolution {
					delete(w.timers, id)
				}
				w.engine.TimerFired(w.now, id)
			}
		}
		for _, c := range w.unanswered {
			w.failIf(!c.done && w.now > c.deadline+answerGrace, "rule 1: no answer to %d", c.ID)
		}
	}
	w.unanswered = slices.DeleteFunc(w.unanswered, func(c *testRequest) bool { return c.done })
	w.sent = slices.DeleteFunc(w.sent, func(s *testAttempt) bool { return s.startedAt < w.now-window })
	w.arrivals = slices.DeleteFunc(w.arrivals, func(x arrival) bool { return x.at < w.now-window })
	w.answers = slices.DeleteFunc(w.answers, func(x sampledAnswer) bool { return x.at < float64(w.now-window) })
}

func (w *world) changeHosts(kind ListKind, entries ...Host) {
	for _, entry := range entries {
		h := w.hosts[entry.ID]
		if h == nil {
			h = &testHost{}
			w.hosts[entry.ID] = h
		}
		if h.Health == Ready || entry.Health == Ready {
			h.changedAt = w.now
		}
		h.Host = entry
	}
	w.engine.HostsChanged(w.now, kind, entries)
}

func (w *world) changeRollout(rollout Rollout) {
	if rollout.ExposureCap < w.rollout.ExposureCap || rollout.Build != w.rollout.Build || w.rollout.State == Released {
		w.capSince = w.now
	}
	if rollout.State == RollingBack || rollout.State == RolledBack {
		maps.DeleteFunc(w.keyBuilds, func(_ uint64, b int) bool { return b >= rollout.Build })
	}
	w.rollout = rollout
	w.engine.RolloutChanged(w.now, rollout)
}

func (w *world) receive(c Request) *testRequest {
	a := &testRequest{Request: c, receivedAt: w.now, deadline: w.now + c.Remaining}
	w.requests[c.ID] = a
	w.unanswered = append(w.unanswered, a)
	w.arrivals = append(w.arrivals, arrival{w.now, int64(c.Class)})
	w.engine.RequestReceived(w.now, c)
	return a
}

func (w *world) endAttempt(attempt *testAttempt, result Result) {
	if !attempt.inFlight {
		return
	}
	attempt.inFlight = false
	attempt.notRun = result == Rejected || result == ConnectFailed || result == Unsent
	done := attempt.request.done || result == Succeeded
	if result == Succeeded {
		attempt.request.done = true
		capacity := 0.0
		for _, h := range w.hosts {
			if h.Health == Ready {
				capacity += h.Capacity * w.warmShare(h)
			}
		}
		w.answers = append(w.answers, sampledAnswer{float64(w.now), capacity})
	}
	w.engine.AttemptEnded(w.now, attempt.request.ID, attempt.number, result, done, w.now-attempt.startedAt, nil)
	if _, _, yes := w.trialState(attempt.build); result == Succeeded && attempt.request.Key != 0 && (yes || attempt.build == w.rollout.Build) {
		w.keyBuilds[attempt.request.Key] = max(w.keyBuilds[attempt.request.Key], attempt.build)
	}
}
