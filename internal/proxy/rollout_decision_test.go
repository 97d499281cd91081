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

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// trial simulates a rollout with the decision engines of several proxies, hosts of two builds, and the decision of the control processes.
type trial struct {
	now     int64
	queue   events
	draw    *rand.Rand
	kind    string
	routers []*trialRouter
	hosts   []*trialHost
	order   rollout.Rollout
	votes   map[string]update.Vote
	lastID  uint32
	sent    int // requests sent to the new build during the rollout
	bad     int // bad responses among them
	taken   int // requests received during the rollout
}

type trialHost struct {
	id     uint32
	build  int
	slots  int
	queued []func()
}

type trialRouter struct {
	*trial
	rank  int
	rules *decision.Engine
	asked map[uint32]*trialRequest
}

type trialRequest struct {
	band, number int
	over         bool
}

func (t *trial) after(d int64, do func()) { heap.Push(&t.queue, event{t.now + d, do}) }

func (r *trialRouter) StartAttempt(command, host uint32, until int64) {
	q := r.asked[command]
	number := q.number
	q.number++
	h, at := r.hosts[host-1], r.now
	if h.build > 0 && r.order.State == rollout.Running {
		r.sent++
	}
	run := func() {
		work := 0.22e9 * math.Exp(0.3*r.draw.NormFloat64()-0.045)
		if r.draw.Float64() < 0.01 {
			work *= 4
		}
		fails := r.draw.Float64() < 0.001
		if h.build > 0 {
			hit := r.draw.Float64() < 0.4
			bad := false
			switch r.kind {
			case "errors":
				bad = hit
			case "slow":
				if bad = hit; bad {
					work *= 8
				}
			case "under load":
				bad = hit && 3-h.slots >= 2
			case "one class":
				bad = hit && q.band == 1
			case "late":
				bad = hit && r.now-r.order.StartedAt > 3e9
			}
			if bad && r.order.State == rollout.Running {
				r.bad++
			}
			fails = fails || bad && r.kind != "slow"
		}
		r.after(int64(work), func() {
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
			over := q.over || e == decision.Succeeded
			q.over = over
			r.rules.AttemptEnded(r.now, command, number, e, over, r.now-at, nil)
			if q.over {
				delete(r.asked, command)
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

func (r *trialRouter) Reject(command uint32, _ int64) { r.asked[command].over = true }
func (r *trialRouter) Fail(command uint32)            { r.asked[command].over = true }
func (r *trialRouter) CancelAttempt(uint32, int)      {}
func (r *trialRouter) CloseIdle(uint32)               {}
func (r *trialRouter) WatchHosts(bool)                {}
func (r *trialRouter) Log(string)                     {}
func (r *trialRouter) SetTimer(after int64, mark uint64) {
	r.after(after, func() { r.rules.TimerFired(r.now, mark) })
}

func (r *trialRouter) Vote(v decision.Verdict, build, _ int) {
	name := fmt.Sprint("r", r.rank)
	r.after(40e6, func() {
		r.votes[name] = update.Vote{Proxy: name, Number: uint64(build), Verdict: uint8(v), ReceivedAt: r.now}
		n := r.order.DecisionInput(r.now, 0.08)
		n.VoteReply = true
		r.rules.RolloutChanged(r.now, n)
	})
}

func (r *trialRouter) SendGossip(_ int, message []byte) {
	if r.order.State != rollout.Running || r.draw.Float64() < 0.02 {
		return
	}
	to := r.routers[(r.rank+1+r.draw.IntN(len(r.routers)-1))%len(r.routers)]
	raw := append([]byte(nil), message...)
	r.after(int64(1e6+r.draw.Float64()*35e6), func() { to.rules.GossipReceived(r.now, (to.rank+1)%len(r.routers), raw) })
}

// play simulates a rollout until it ends and returns it with its final state. perSecond is the request rate of all proxies together.
func play(kind string, seed uint64, routers int, perSecond float64) (*trial, rollout.State) {
	t := &trial{draw: rand.New(rand.NewPCG(seed, 3)), kind: kind, votes: map[string]update.Vote{}, now: 1e15}
	var bounds settings.Terms
	bounds.BudgetSlack, bounds.ExposureSlack, bounds.ExposureShare = 64, 50, 0.1
	var listed []decision.Host
	for i := range 16 {
		t.hosts = append(t.hosts, &trialHost{id: uint32(i + 1), slots: 3})
		listed = append(listed, decision.Host{ID: uint32(i + 1), Capacity: 3})
	}
	var proxies []update.Proxy
	for i := range routers {
		r := &trialRouter{trial: t, rank: i, asked: map[uint32]*trialRequest{}}
		t.routers = append(t.routers, r)
		proxies = append(proxies, update.Proxy{Name: fmt.Sprint("r", i)})
	}
	each := func(do func(r *trialRouter)) {
		for _, r := range t.routers {
			do(r)
		}
	}
	each(func(r *trialRouter) {
		r.rules = decision.New(decisionSettings(bounds), seed*100+uint64(r.rank), t.now, r)
		r.rules.RolloutChanged(t.now, t.order.DecisionInput(t.now, 0))
		r.rules.AddClass(decision.RequestClass{LatencyTarget: 800e6, Timeout: 5e9, Value: 0.25, LateValue: 0.3})
		r.rules.AddClass(decision.RequestClass{LatencyTarget: 1e9, Timeout: 6e9, Idempotency: decision.NonIdempotent, Value: 0.5, LateValue: 0.3})
		r.rules.RankChanged(t.now, r.rank, routers)
		r.rules.HostsChanged(t.now, decision.Delta, listed)
	})
	var arrive func()
	arrive = func() {
		t.lastID++
		r := t.routers[t.draw.IntN(routers)]
		q := &trialRequest{}
		if t.draw.Float64() < 0.23 {
			q.band = 1
		}
		r.asked[t.lastID] = q
		if t.order.State == rollout.Running {
			t.taken++
		}
		r.rules.RequestReceived(t.now, decision.Request{ID: t.lastID, Class: q.band, Remaining: int64(5e9), MaxAttempts: 2})
		t.after(int64(t.draw.ExpFloat64()/perSecond*1e9), arrive)
	}
	arrive()
	t.after(8e9, func() { // the hosts of the new build are added, and the rollout starts
		for i := range 16 {
			id := uint32(17 + i)
			t.hosts = append(t.hosts, &trialHost{id: id, slots: 3, build: 1})
			listed = append(listed, decision.Host{ID: id, Capacity: 3, Build: 1})
		}
		t.order = rollout.Rollout{Service: "desk", Number: 1, From: "v1", Target: "v2", StartedAt: t.now, Duration: 15e9, State: rollout.Running}
		each(func(r *trialRouter) {
			r.rules.RolloutChanged(t.now, t.order.DecisionInput(t.now, 0.08))
			r.rules.HostsChanged(t.now, decision.Delta, listed)
		})
	})
	var judge func()
	judge = func() {
		if t.order.State == rollout.Running {
			var votes []update.Vote
			for _, p := range t.votes {
				votes = append(votes, p)
			}
			t.order.State = rollout.Decide(t.now, t.order, votes, proxies, 0)
		}
		t.after(200e6, judge)
	}
	judge()
	for t.order.State <= rollout.Running {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
	return t, t.order.State
}

// Guards against wrong rollout decisions with the production settings: a good build that isn't completed in time, or a bad one that is. It also
// checks the exposure of the new build. -args -trials 1000 simulates 1000 rollouts of each kind.
func TestVerdicts(t *testing.T) {
	for _, kind := range []string{"good", "errors", "slow", "under load", "one class", "late"} {
		wrong, over, slow, most := 0, 0, 0, 0
		var ended float64
		for seed := range *trials {
			x, state := play(kind, uint64(seed+1), 13, 81.5)
			if (state == rollout.Completed) != (kind == "good") {
				wrong++
				if kind != "good" {
					t.Logf("%s, seed %d: completed, with %d bad responses of %d", kind, seed+1, x.bad, x.sent)
				}
			}
			if float64(x.sent) > 0.1*float64(x.taken)+50 {
				over++
			}
			if x.bad > 50+30 {
				slow++ // the limit is rollback-s after the 50th bad response
			}
			most = max(most, x.sent)
			ended += float64(x.now-x.order.StartedAt) / 1e9 / float64(*trials)
		}
		t.Logf("%s: %d of %d decisions wrong, ended after %.1f s (mean), at most %d requests to the new build, %d over the exposure limit, %d with more than 80 bad responses",
			kind, wrong, *trials, ended, most, over, slow)
		if over > 0 || wrong*8 > *trials {
			t.Errorf("%s: %d decisions wrong and %d over the exposure limit, of %d", kind, wrong, over, *trials)
		}
	}
}
