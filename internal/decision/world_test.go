package decision

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"portflow/internal/testing/digest"
)

const ms = int64(1e6)

// The kinds of effects, as recorded in the digest.
const (
	effectStartAttempt = iota
	effectReject
	effectFail
	effectCancelAttempt
	effectVote
	effectSendGossip
	effectSetTimer
	effectCloseIdle
	effectWatchHosts
	effectLog
)

// world simulates the environment of one router: clients, hosts, the platform and timers. It checks five rules at each effect and
// after each step:
//
//  1. Each request gets exactly one answer, by its deadline.
//  2. A request runs again only as far as the idempotency of its class allows.
//  3. No attempt is sent to a host that is draining or gone.
//  4. Cold hosts get no more attempts than they can serve.
//  5. A build on trial gets no more attempts than the exposure cap allows, and keys never return to an earlier build.
type world struct {
	t           *testing.T
	engine      *Engine
	settings    Settings
	rnd         *rand.Rand
	now         int64
	step        int
	requests    map[uint32]*testRequest
	hosts       map[uint32]*testHost
	sent        []*testAttempt // sent within the last window
	inFlight    []*testAttempt // attempts that may not have ended
	unanswered  []*testRequest // requests that may still need an answer
	arrivals    []arrival
	answers     []sampledAnswer // received within the last window
	timers      map[uint64]int64
	votes       []vote
	closedIdle  int
	rollout     Rollout
	capSince    int64 // when the exposure cap was last lowered or applied to a new build
	newestBuild int
	keyBuilds   map[uint64]int
	sentToTrial []int          // 1 for each attempt sent to the trial, 0 for others
	effects     *digest.Digest // digest of the effects, nil if they are not recorded
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
	changedAt int64 // when it was last listed as ready, or first as no longer ready
}

type arrival struct{ at, class int64 }

const (
	grace       = 500 * ms  // time after a change during which attempts that it forbids are tolerated
	window      = 3000 * ms // interval over which rates are checked
	answerGrace = 20 * ms   // time after the deadline during which an answer is tolerated
)

func newWorld(t *testing.T, set Settings, seed uint64) *world {
	w := &world{
		t:         t,
		settings:  set,
		rnd:       rand.New(rand.NewPCG(seed, 1)),
		now:       1e12,
		requests:  map[uint32]*testRequest{},
		hosts:     map[uint32]*testHost{},
		timers:    map[uint64]int64{},
		keyBuilds: map[uint64]int{},
	}
	w.engine = New(set, seed, w.now, w)
	return w
}

// testSettings returns settings with one class of each kind of idempotency.
func testSettings() Settings {
	return Settings{
		Routers:         3,
		TimerResolution: 5 * ms,
		MaxAttempts:     4,
		Hedging:         true,
		Cancellation:    true,
		Gossip:          true,
		MaxRetryAfter:   1000 * ms,
		AdvanceVotes:    2,
		RollBackVotes:   1,
		VoteLifetime:    4000 * ms,
		VoteTimeout:     800 * ms,
		Gate:            MajorityVote,
		TrialBurst:      2,
		FirstStageCap:   0.1,
		KeyAffinity:     true,
		ReportedShare:   0.15,
		ColdCapacity:    0.33,
		WarmUpTime:      4000 * ms,
		CollapseFactor:  2,
		OverQuotaValue:  0.1,
		Customers:       []Customer{{30}, {20}},
		Classes: []RequestClass{
			{LatencyTarget: 750 * ms, Timeout: 3000 * ms, Idempotency: IdempotentByKey, DedupWindow: 2000 * ms, Value: 5},
			{LatencyTarget: 1500 * ms, Timeout: 5000 * ms, Value: 1, LateValue: 0.2},
			{LatencyTarget: 1200 * ms, Timeout: 4000 * ms, Idempotency: NonIdempotent, Value: 3},
		},
	}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("step %d: "+format, append([]any{w.step}, args...)...)
}

func (w *world) failIf(wrong bool, format string, args ...any) {
	w.t.Helper()
	if wrong {
		w.fail(format, args...)
	}
}

func (w *world) trialState(build int) (stage int, exposureCap float64, isTrial bool) {
	if build > w.rollout.Build {
		return 0, w.settings.FirstStageCap, true
	}
	return w.rollout.Stage, w.rollout.ExposureCap, build == w.rollout.Build && w.rollout.State != Released
}

func (w *world) StartAttempt(id, hostID uint32, until int64) {
	w.effects.Add(effectStartAttempt, w.now, id, hostID, until)
	req, h := w.requests[id], w.hosts[hostID]
	w.failIf(req == nil || req.done || h == nil, "attempt of request %d at host %d: request is done or unknown, or the host was never listed", id, hostID)
	w.failIf(h.Health != Ready && w.now-h.changedAt > grace, "rule 3: attempt at a host that is not ready")
	class := w.settings.Classes[req.Class]
	for _, attempt := range req.attempts {
		switch {
		case attempt.inFlight && !w.settings.Hedging:
			w.fail("two attempts in flight without hedging")
		case attempt.notRun:
		case class.Idempotency == NonIdempotent:
			w.fail("rule 2: retry of a non-idempotent request that may have run")
		case class.Idempotency == IdempotentByKey && (w.now > attempt.startedAt+class.DedupWindow || class.DedupScope == SameCell && attempt.host.Cell != h.Cell):
			w.fail("rule 2: retry of a request that is idempotent by key outside its dedup window or scope")
		}
	}
	w.failIf(len(req.attempts) >= w.settings.MaxAttempts, "too many attempts")
	attempt := &testAttempt{request: req, host: h, build: h.Build, startedAt: w.now, number: len(req.attempts), inFlight: true}
	w.sent = append(w.sent, attempt)
	w.inFlight = append(w.inFlight, attempt)
	req.attempts = append(req.attempts, attempt)
	w.checkExposure(attempt, class)
	w.checkColdHost(h)
}

func (w *world) checkExposure(attempt *testAttempt, class RequestClass) {
	w.failIf(attempt.request.Key != 0 && w.settings.KeyAffinity && attempt.build < w.keyBuilds[attempt.request.Key], "rule 5: a key was sent back to an earlier build")
	stage, exposureCap, isTrial := w.trialState(attempt.build)
	if !isTrial {
		return
	}
	w.failIf(exposureCap == 0 && w.now-w.capSince > grace || stage < w.settings.GuardedStages && class.Idempotency != Idempotent,
		"rule 5: attempt at the trial with exposure cap %v, stage %d, class %d", exposureCap, stage, attempt.request.Class)
	from, sent, received := max(w.now-window, w.capSince), 0, 0
	for _, x := range w.sent {
		if x.startedAt > from && x.build == attempt.build && (!w.settings.CapPerClass || x.request.Class == attempt.request.Class) {
			sent++
		}
	}
	for _, x := range w.arrivals {
		if x.at > w.now-window && (!w.settings.CapPerClass || x.class == int64(attempt.request.Class)) {
			received++
		}
	}
	w.failIf(float64(sent) > w.settings.TrialBurst+exposureCap*float64(received)+1e-6, "rule 5: %d attempts at the trial for %d requests received, exposure cap %v", sent, received, exposureCap)
}

func (w *world) warmUpFactor(h *testHost) float64 {
	age := float64(w.now-h.StartedAt) / float64(w.settings.WarmUpTime)
	if h.StartedAt == 0 || age >= 1 {
		return 1
	}
	return w.settings.ColdCapacity + (1-w.settings.ColdCapacity)*age
}

// checkColdHost checks rule 4: if all traffic comes from this router, the attempts at a cold host must stay within twice the
// host's share of the fleet's recent throughput, plus a few at the start.
func (w *world) checkColdHost(h *testHost) {
	sent, allowed := 0.0, 5.0
	for _, x := range w.sent {
		if x.host == h && x.startedAt > max(w.now-window, h.changedAt) {
			sent++
		}
	}
	for _, x := range w.answers {
		allowed += 2 * h.Capacity * w.warmUpFactor(h) / x.capacity
	}
	w.failIf(w.warmUpFactor(h) < 1 && sent > allowed, "rule 4: %v attempts sent to a cold host, at most %v allowed", sent, allowed)
}

// sampledAnswer is the time of a successful answer, with the capacity of the fleet at that time.
type sampledAnswer struct{ at, capacity float64 }

func (w *world) finish(id uint32) *testRequest {
	c := w.requests[id]
	w.failIf(c == nil || c.done, "rule 1: second answer to request %d, or the request is unknown", id)
	c.done = true
	return c
}

func (w *world) Reject(id uint32, wait int64) {
	w.effects.Add(effectReject, w.now, id, wait)
	req := w.finish(id)
	class := w.settings.Classes[req.Class]
	for _, s := range req.attempts {
		w.failIf(!s.notRun && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != AllHosts),
			"rule 2: rejected a request that may have run and must not be retried")
	}
}
func (w *world) Fail(id uint32) {
	w.effects.Add(effectFail, w.now, id)
	w.finish(id)
}
func (w *world) CancelAttempt(id uint32, number int) {
	w.effects.Add(effectCancelAttempt, w.now, id, number)
	w.failIf(w.requests[id] == nil || number >= len(w.requests[id].attempts), "cancellation of an unknown attempt")
}
func (w *world) Vote(v Verdict, build, stage int) {
	w.effects.Add(effectVote, w.now, v, build, stage)
	w.votes = append(w.votes, vote{v, build, stage})
}
func (w *world) SendGossip(peer int, message []byte) {
	w.effects.Add(effectSendGossip, w.now, peer, message)
}
func (w *world) SetTimer(after int64, id uint64) {
	w.effects.Add(effectSetTimer, w.now, after, id)
	w.timers[id] = w.now + after
}
func (w *world) CloseIdle(host uint32) {
	w.effects.Add(effectCloseIdle, w.now, host)
	w.closedIdle++
}
func (w *world) WatchHosts(on bool) { w.effects.Add(effectWatchHosts, w.now, on) }
func (w *world) Log(text string)    { w.effects.Add(effectLog, w.now) } // texts are not part of the digest

// advance lets time pass and fires the timers that are due: late, sometimes twice, and sometimes slightly early, as the clock
// of a timer may be coarser. An early timer must not stop later ones.
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
			w.failIf(!c.done && w.now > c.deadline+answerGrace, "rule 1: no answer to request %d by its deadline", c.ID)
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
				capacity += h.Capacity * w.warmUpFactor(h)
			}
		}
		w.answers = append(w.answers, sampledAnswer{float64(w.now), capacity})
	}
	w.engine.AttemptEnded(w.now, attempt.request.ID, attempt.number, result, done, w.now-attempt.startedAt, nil)
	if _, _, isTrial := w.trialState(attempt.build); result == Succeeded && attempt.request.Key != 0 && (isTrial || attempt.build == w.rollout.Build) {
		w.keyBuilds[attempt.request.Key] = max(w.keyBuilds[attempt.request.Key], attempt.build)
	}
}
