package proxy

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/settings"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

var trials = flag.Int("trials", 8, "emulated rollouts of each kind")

// event calls do at the simulated time at, in nanoseconds.
type event struct {
	at int64
	do func()
}

type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// rolloutSim simulates a rollout with the decision engines of several proxies, hosts of two builds, and the decision of the control processes.
type rolloutSim struct {
	now           int64
	queue         eventQueue
	rng           *rand.Rand
	kind          string
	proxies       []*simProxy
	hosts         []*simHost
	activeRollout rollout.Rollout
	votes         map[string]update.Vote
	lastID        uint32
	sent          int // requests sent to the new build during the rollout
	bad           int // bad responses among them
	received      int // requests received during the rollout
}

type simHost struct {
	id     uint32
	build  int
	slots  int
	queued []func()
}

type simProxy struct {
	*rolloutSim
	rank     int
	engine   *decision.Engine
	requests map[uint32]*simRequest
}

type simRequest struct {
	class, number int
	done          bool
}

func (t *rolloutSim) after(d int64, do func()) { heap.Push(&t.queue, event{t.now + d, do}) }

func (r *simProxy) StartAttempt(requestID, host uint32, deadline int64) {
	q := r.requests[requestID]
	number := q.number
	q.number++
	h, at := r.hosts[host-1], r.now
	if h.build > 0 && r.activeRollout.State == rollout.Running {
		r.sent++
	}
	run := func() {
		duration := 0.22e9 * math.Exp(0.3*r.rng.NormFloat64()-0.045)
		if r.rng.Float64() < 0.01 {
			duration *= 4
		}
		fails := r.rng.Float64() < 0.001
		if h.build > 0 {
			hit := r.rng.Float64() < 0.4
			bad := false
			switch r.kind {
			case "errors":
				bad = hit
			case "slow":
				if bad = hit; bad {
					duration *= 8
				}
			case "under load":
				bad = hit && 3-h.slots >= 2
			case "one class":
				bad = hit && q.class == 1
			case "late":
				bad = hit && r.now-r.activeRollout.StartedAt > 3e9
			}
			if bad && r.activeRollout.State == rollout.Running {
				r.bad++
			}
			fails = fails || bad && r.kind != "slow"
		}
		r.after(int64(duration), func() {
			if h.slots++; len(h.queued) > 0 {
				next := h.queued[0]
				h.queued = h.queued[1:]
				h.slots--
				next()
			}
			e := decision.Succeeded
			if fails {
				e = decision.Failed
			}
			done := q.done || e == decision.Succeeded
			q.done = done
			r.engine.AttemptEnded(r.now, requestID, number, e, done, r.now-at, nil)
			if q.done {
				delete(r.requests, requestID)
			}
		})
	}
	if h.slots > 0 {
		h.slots--
		run()
	} else {
		h.queued = append(h.queued, run)
	}
}

func (r *simProxy) Reject(requestID uint32, _ int64) { r.requests[requestID].done = true }
func (r *simProxy) Fail(requestID uint32)            { r.requests[requestID].done = true }
func (r *simProxy) CancelAttempt(uint32, int)        {}
func (r *simProxy) CloseIdle(uint32)                 {}
func (r *simProxy) WatchHosts(bool)                  {}
func (r *simProxy) Log(string)                       {}
func (r *simProxy) SetTimer(after int64, id uint64) {
	r.after(after, func() { r.engine.TimerFired(r.now, id) })
}

func (r *simProxy) Vote(v decision.Verdict, build, _ int) {
	name := fmt.Sprint("r", r.rank)
	r.after(40e6, func() {
		r.votes[name] = update.Vote{Proxy: name, Number: uint64(build), Verdict: uint8(v), ReceivedAt: r.now}
		n := r.activeRollout.DecisionInput(r.now, 0.08)
		n.VoteReply = true
		r.engine.RolloutChanged(r.now, n)
	})
}

func (r *simProxy) SendGossip(_ int, message []byte) {
	if r.activeRollout.State != rollout.Running || r.rng.Float64() < 0.02 {
		return
	}
	to := r.proxies[(r.rank+1+r.rng.IntN(len(r.proxies)-1))%len(r.proxies)]
	raw := append([]byte(nil), message...)
	r.after(int64(1e6+r.rng.Float64()*35e6), func() { to.engine.GossipReceived(r.now, (to.rank+1)%len(r.proxies), raw) })
}

// simulateRollout simulates a rollout until it ends and returns its final state. perSecond is the request rate of all proxies together.
func simulateRollout(kind string, seed uint64, proxies int, perSecond float64) (*rolloutSim, rollout.State) {
	t := &rolloutSim{rng: rand.New(rand.NewPCG(seed, 3)), kind: kind, votes: map[string]update.Vote{}, now: 1e15}
	var terms settings.Terms
	terms.BudgetSlack, terms.ExposureSlack, terms.ExposureShare = 64, 50, 0.1
	var engineHosts []decision.Host
	for i := range 16 {
		t.hosts = append(t.hosts, &simHost{id: uint32(i + 1), slots: 3})
		engineHosts = append(engineHosts, decision.Host{ID: uint32(i + 1), Capacity: 3})
	}
	var members []update.Proxy
	for i := range proxies {
		r := &simProxy{rolloutSim: t, rank: i, requests: map[uint32]*simRequest{}}
		t.proxies = append(t.proxies, r)
		members = append(members, update.Proxy{Name: fmt.Sprint("r", i)})
	}
	forEach := func(do func(r *simProxy)) {
		for _, r := range t.proxies {
			do(r)
		}
	}
	forEach(func(r *simProxy) {
		r.engine = decision.New(decisionSettings(terms), seed*100+uint64(r.rank), t.now, r)
		r.engine.RolloutChanged(t.now, t.activeRollout.DecisionInput(t.now, 0))
		r.engine.AddClass(decision.RequestClass{LatencyTarget: 800e6, Timeout: 5e9, Value: 0.25, LateValue: 0.3})
		r.engine.AddClass(decision.RequestClass{LatencyTarget: 1e9, Timeout: 6e9, Idempotency: decision.NonIdempotent, Value: 0.5, LateValue: 0.3})
		r.engine.RankChanged(t.now, r.rank, proxies)
		r.engine.HostsChanged(t.now, decision.Delta, engineHosts)
	})
	var nextRequest func()
	nextRequest = func() {
		t.lastID++
		r := t.proxies[t.rng.IntN(proxies)]
		q := &simRequest{}
		if t.rng.Float64() < 0.23 {
			q.class = 1
		}
		r.requests[t.lastID] = q
		if t.activeRollout.State == rollout.Running {
			t.received++
		}
		r.engine.RequestReceived(t.now, decision.Request{ID: t.lastID, Class: q.class, Remaining: int64(5e9), MaxAttempts: 2})
		t.after(int64(t.rng.ExpFloat64()/perSecond*1e9), nextRequest)
	}
	nextRequest()
	t.after(8e9, func() { // the hosts of the new build are added, and the rollout starts
		for i := range 16 {
			id := uint32(17 + i)
			t.hosts = append(t.hosts, &simHost{id: id, slots: 3, build: 1})
			engineHosts = append(engineHosts, decision.Host{ID: id, Capacity: 3, Build: 1})
		}
		t.activeRollout = rollout.Rollout{Service: "desk", Number: 1, From: "v1", Target: "v2", StartedAt: t.now, Duration: 15e9, State: rollout.Running}
		forEach(func(r *simProxy) {
			r.engine.RolloutChanged(t.now, t.activeRollout.DecisionInput(t.now, 0.08))
			r.engine.HostsChanged(t.now, decision.Delta, engineHosts)
		})
	})
	var decide func()
	decide = func() {
		if t.activeRollout.State == rollout.Running {
			var votes []update.Vote
			for _, p := range t.votes {
				votes = append(votes, p)
			}
			t.activeRollout.State = rollout.Decide(t.now, t.activeRollout, votes, members, 0)
		}
		t.after(200e6, decide)
	}
	decide()
	for t.activeRollout.State <= rollout.Running {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
	return t, t.activeRollout.State
}

// Guards against wrong rollout decisions: a good build that isn't completed in time, or a bad one that is completed. At most one in eight may be
// wrong, and no rollout may exceed the exposure limit. -args -trials 1000 simulates 1000 rollouts of each kind.
func TestRolloutDecisions(t *testing.T) {
	for _, kind := range []string{"good", "errors", "slow", "under load", "one class", "late"} {
		wrong, overExposed, slowRollbacks, maxSent := 0, 0, 0, 0
		var meanDuration float64
		for seed := range *trials {
			x, state := simulateRollout(kind, uint64(seed+1), 13, 81.5)
			if (state == rollout.Completed) != (kind == "good") {
				wrong++
				if kind != "good" {
					t.Logf("%s, seed %d: completed, with %d bad responses of %d", kind, seed+1, x.bad, x.sent)
				}
			}
			if float64(x.sent) > 0.1*float64(x.received)+50 {
				overExposed++
			}
			if x.bad > 50+30 {
				slowRollbacks++ // the limit is rollback-s after the 50th bad response
			}
			maxSent = max(maxSent, x.sent)
			meanDuration += float64(x.now-x.activeRollout.StartedAt) / 1e9 / float64(*trials)
		}
		t.Logf("%s: %d of %d decisions wrong, ended after %.1f s (mean), at most %d requests to the new build, %d over the exposure limit, %d with more than 80 bad responses",
			kind, wrong, *trials, meanDuration, maxSent, overExposed, slowRollbacks)
		if overExposed > 0 || wrong*8 > *trials {
			t.Errorf("%s: %d decisions wrong and %d over the exposure limit, of %d", kind, wrong, overExposed, *trials)
		}
	}
}
