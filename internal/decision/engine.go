// Package decision decides what a router does with its commands and how it votes on builds.
// This file is its interface: what comes in, what goes out, and the tables from ids to objects.
package decision

import (
	"cmp"
	"slices"
)

// Idempotency tells whether a band's commands may run again.
type Idempotency uint8

const (
	Idempotent      Idempotency = iota // may run again
	IdempotentByKey                    // carries a mark by which its group of hosts knows a repeat
	NonIdempotent                      // must never run twice
)

// DedupScope is the set of hosts that drops a referenced command's repeats.
type DedupScope uint8

const (
	AllHosts DedupScope = iota
	SameZone
	SameCell
)

// Gate is how votes move a build.
type Gate uint8

const (
	SingleVote   Gate = iota // one vote is enough
	MajorityVote             // a share of the routers must stand for it
	Timed                    // stages move on by themselves unless held
)

// Verdict is what a vote says.
type Verdict uint8

const (
	NoVote Verdict = iota
	Advance
	Hold
	RollBack
)

func (v Verdict) String() string { return [...]string{"none", "on", "hold", "back"}[v] }

// RolloutState is where a build is.
type RolloutState uint8

const (
	OnTrial RolloutState = iota
	RollingBack
	Released
	RolledBack
)

// Result is how a hand-off or a call ended.
type Result uint8

const (
	Succeeded       Result = iota
	Failed                 // the host answered with an error: it may have run
	Rejected               // the host's queue was full: it never ran
	TimedOut               // no answer in time: it may have run
	ConnectFailed          // no connection: it never ran
	ConnectionReset        // the connection broke: it may have run
	Canceled               // called off: it may have run
	Unsent                 // never left: it never ran
	InvalidAnswer          // what came is no answer: it may have run
)

// Health is a host's state on the list.
type Health uint8

const (
	Ready Health = iota
	Draining
	Gone
)

// ListKind is how a list of hosts is to be read.
type ListKind uint8

const (
	Delta ListKind = iota
	Snapshot
	CachedSnapshot
	FetchFailed
)

// RequestClass is one band of commands.
type RequestClass struct {
	LatencyTarget, Timeout int64 // times from the client's first try
	Idempotency            Idempotency
	DedupScope             DedupScope
	DedupWindow            int64 // how long repeats are dropped, from the first sending
	Value, LateValue       float64
}

// InitialLatency is how long its answers are taken to need before any has come, nanoseconds.
func (c RequestClass) InitialLatency() float64 { return float64(c.LatencyTarget) / 5 }

// Customer is one customer and the rate that it may ask for.
type Customer struct{ PerSecond float64 }

// Settings are what a router is told when it starts.
type Settings struct {
	Rank, Routers    int
	Classes          []RequestClass
	Customers        []Customer
	OverQuotaValue   float64 // what a command beyond its carrier's share is worth
	TimerResolution  int64   // the shortest time between two calls
	Subscribe        bool    // the list must be asked for
	FetchInterval    int64   // within so long discovery expects one call of each router
	MaxOpen          int     // commands that can be open at once, 0 for any number
	MaxAttempts      int
	Hedging          bool // two hand-offs at once are allowed
	Cancellation     bool
	Gossip           bool
	MixedTargets     bool    // bands' contracts differ widely: the pressure goes by their mean over the commands
	RequireCertainty bool    // waiting is cheap: a build is let on only once its states are surely under the threshold
	NoEarlyRetry     bool    // a host that works is left to it until the cut-off
	FleetRetryBurst  float64 // what all routers may hand off again at once, 0 for a usual number at each
	MaxRetryAfter    int64
	Gate             Gate
	AdvanceVotes     int
	RollBackVotes    int
	HoldVotes        int
	VoteLifetime     int64
	VoteTimeout      int64
	TrialBurst       float64 // exposure: hand-offs beyond the cap
	FleetTrialBurst  float64 // the same for all routers together, 0 where Free says it for each
	FirstStageCap    float64
	CapPerClass      bool
	SideBySide       bool // the earlier hosts stay until the release
	GuardedStages    int  // so many first stages take replayable commands only
	KeyAffinity      bool
	ReportedShare    float64 // part of the wrong answers that is reported
	ColdCapacity     float64
	WarmUpTime       int64
	CollapseFactor   float64     // what topples a cold host, over what it can do
	LoadFields       []LoadField // what the values of a load report are
}

// LoadField is one value of a host's load report.
type LoadField uint8

const (
	UnknownField    LoadField = iota
	InFlight                  // commands in work
	QueueLength               // commands that wait
	Utilization               // part of the cores in use
	MeanServiceTime           // recent time of service, milliseconds
)

// Request is a client's command as it comes in.
type Request struct {
	ID          uint32
	Class       int
	Customer    int
	Key         uint64
	Remaining   int64      // until the client gives up this try
	Cost        int64      // expected work, 0 for none
	MaxAttempts int        // hand-offs that it may have, 0 for as many as the settings say
	Filter      HostFilter // asked about each host that it might go to, nil for none
}

// HostFilter tells whether a command may go to a host now.
type HostFilter interface{ Allowed(host uint32) bool }

// Host is a host as the list shows it.
type Host struct {
	ID        uint32
	Zone      int
	Kind      int
	Cell      int
	Health    Health
	Build     int
	Capacity  float64
	StartedAt int64
	Distance  int // how far it is from this router: nearer hosts that have room go first
}

// Rollout is what the platform says about the newest build.
type Rollout struct {
	Build       int
	Stage       int
	State       RolloutState
	VoteReply   bool // it answers a vote
	VoteResult  VoteResult
	ExposureCap float64
	Age         int64
}

// VoteResult is how a vote's call ended.
type VoteResult uint8

const (
	VoteCounted VoteResult = iota
	VoteConflict
	VoteThrottled
	VoteFailed
	VoteUnanswered // no answer: it may count
)

// Effects is what a router can do.
type Effects interface {
	StartAttempt(command, host uint32, until int64)
	Reject(command uint32, wait int64)
	Fail(command uint32)
	CancelAttempt(command uint32, number int)
	Vote(v Verdict, build, stage int)
	SendGossip(peer int, message []byte)
	SetTimer(after int64, mark uint64)
	CloseIdle(host uint32) // its idle connections
	WatchHosts(on bool)
	Log(text string)
}

// Engine is one instance. It is not safe for use by two goroutines.
type Engine struct {
	*decider
	requestsByID map[uint32]*request
	hostsByID    map[uint32]*host
}

// New makes a router; nothing is decided before the first call.
func New(s Settings, seed uint64, now int64, out Effects) *Engine {
	e := &Engine{decider: newDecider(s, seed, out), requestsByID: map[uint32]*request{}, hostsByID: map[uint32]*host{}}
	e.now = now
	e.start()
	e.emitEffects()
	return e
}

// RequestReceived hands in a command. One of a band that is not known is dismissed: what nobody looks at again must not be held.
func (e *Engine) RequestReceived(now int64, in Request) {
	if _, held := e.requestsByID[in.ID]; held {
		return
	}
	if in.Class < 0 || in.Class >= len(e.classes) {
		e.effects.Reject(in.ID, e.retryAfter())
		return
	}
	class := e.classes[in.Class]
	req := &request{id: in.ID, class: class, customer: in.Customer, key: in.Key, cost: in.Cost, receivedAt: now, filter: in.Filter, maxAttempts: cmp.Or(in.MaxAttempts, e.settings.MaxAttempts),
		deadline: now + in.Remaining, target: now + class.LatencyTarget}
	e.requestsByID[in.ID] = req
	e.now = now
	e.requestReceived(req)
	e.emitEffects()
	e.removeIfDone(req)
}

// AttemptEnded tells how a hand-off ended; over says that the command needs no answer any more.
func (e *Engine) AttemptEnded(now int64, id uint32, number int, result Result, over bool, took int64, report []float64) {
	req := e.requestsByID[id]
	if req == nil || number < 0 || number >= len(req.attempts) || req.attempts[number].ended {
		return
	}
	e.now = now
	req.attempts[number].ended = true
	req.inFlight--
	e.attemptEnded(req, req.attempts[number], result, over, took, report)
	e.emitEffects()
	e.removeIfDone(req)
}

// StreamStarted tells that a streamed answer has begun.
func (e *Engine) StreamStarted(now int64, id uint32, number int) {
	if req := e.requestsByID[id]; req != nil && number >= 0 && number < len(req.attempts) {
		e.now = now
		req.streaming = true // the client's now, without a cut-off
		e.queue.Remove(req.check)
		req.attempts[number].host.silentSince = now
	}
}

// ClientGone tells that the client has gone.
func (e *Engine) ClientGone(now int64, id uint32) {
	if req := e.requestsByID[id]; req != nil {
		e.now = now
		e.finish(req)
		e.emitEffects()
		e.removeIfDone(req)
	}
}

// retryAfter is after how long a command that is dismissed may come again: about as long as a queue takes to drain.
func (d *decider) retryAfter() int64 { return min(d.settings.MaxRetryAfter, second/4) }

// removeIfDone drops a command once nothing is owed or out.
func (e *Engine) removeIfDone(req *request) {
	if req.done && req.inFlight == 0 {
		delete(e.requestsByID, req.id)
	}
}

// HostsChanged brings the list of hosts, or its changes.
func (e *Engine) HostsChanged(now int64, kind ListKind, entries []Host) {
	e.now = now
	if kind == FetchFailed {
		e.fetchFailed()
		e.emitEffects()
		return
	}
	e.fetchFailures = 0
	if kind != Delta { // what a whole list does not name is gone
		for _, h := range e.hosts {
			if !slices.ContainsFunc(entries, func(entry Host) bool { return entry.ID == h.id }) {
				entries = append(entries[:len(entries):len(entries)], Host{ID: h.id, Health: Gone, Build: h.build,
					Capacity: h.capacity, StartedAt: h.startedAt})
			}
		}
	}
	for _, entry := range entries {
		h := e.hostsByID[entry.ID]
		if h == nil {
			h = &host{id: entry.ID, health: Gone}
			e.hostsByID[entry.ID] = h
		}
		e.resetIfRestarted(h, entry)
		h.zone, h.kind, h.cell, h.health, h.build, h.startedAt, h.distance = entry.Zone, entry.Kind, entry.Cell, entry.Health, entry.Build, entry.StartedAt, entry.Distance
		if h.capacity = entry.Capacity; !(h.capacity > 1e-3 && h.capacity < 1e6) { // no size that can be reckoned with
			h.capacity = 1
		}
	}
	e.hosts = e.hosts[:0]
	for id, h := range e.hostsByID {
		if h.health == Gone { // its hand-offs keep it as long as they are out
			delete(e.hostsByID, id)
			continue
		}
		e.hosts = append(e.hosts, h)
	}
	slices.SortFunc(e.hosts, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
	e.raiseMinBuild()
	e.updateHosts()
	e.emitEffects()
}

// raiseMinBuild replaces single ties by one for all keys once a build is released and no host of an earlier one is left.
func (e *Engine) raiseMinBuild() {
	if e.rollout.State == RollingBack || e.rollout.State == RolledBack {
		e.minBuild = min(e.minBuild, e.rollout.Build-1)
	}
	if e.rollout.State != Released || !e.settings.KeyAffinity || len(e.hosts) == 0 {
		return
	}
	oldest := slices.MinFunc(e.hosts, func(a, b *host) int { return cmp.Compare(a.build, b.build) }).build
	minBuild := max(e.minBuild, min(oldest, e.rollout.Build))
	if e.rollout.Build < minBuild { // builds are counted anew
		minBuild = 0
	}
	if minBuild != e.minBuild { // none is added up to it
		e.minBuild = minBuild
		e.bindings.dropUpTo(minBuild)
	}
}

// RankChanged tells how many routers there are now and which of them this one is: 0 <= rank < routers.
func (e *Engine) RankChanged(now int64, rank, routers int) {
	if rank >= 0 && rank < routers {
		e.now = now
		e.settings.Rank, e.settings.Routers = rank, routers
		if e.settings.FleetRetryBurst > 0 {
			e.retryBudget.limit = e.settings.FleetRetryBurst / float64(routers)
			e.retryBudget.add(0)
		}
		if e.settings.FleetTrialBurst > 0 {
			e.sharedExposure.limit = e.settings.FleetTrialBurst / float64(routers)
			e.sharedExposure.add(0)
		}
	}
}

// AddClass adds a band while the router runs, as settings that change do, and tells its number.
func (e *Engine) AddClass(b RequestClass) int {
	e.classes = append(e.classes, e.newClass(b))
	if e.meanLatency == 0 { // none was known before
		e.meanLatency = b.InitialLatency()
	}
	return len(e.classes) - 1
}

// TrialStatistics is what a router goes by when it judges the newest build. The first of each pair is of failures, the second of
// times; all are pooled over the routers as far as gossip has brought them.
type TrialStatistics struct {
	Outcomes       [2]float64 // of the build's hand-offs, of the last seconds
	Excess         [2]float64 // the state for each outcome: how much worse than the earlier build
	StandardError  [2]float64 // its standard error
	Threshold      [2]float64 // over which, by more than some errors, a build goes back
	RemainingBurst float64    // hand-offs that this router may still give to the build at once
}

// TrialStatistics tells what this router goes by now.
func (e *Engine) TrialStatistics() (j TrialStatistics) {
	for k := range e.state {
		j.Outcomes[k], j.Threshold[k] = e.count[k]*e.reachableRouters, threshold[k]
		j.Excess[k], j.StandardError[k] = e.excess(k)
	}
	j.RemainingBurst = e.sharedExposure.tokens
	return j
}

// RolloutChanged brings news of the newest build.
func (e *Engine) RolloutChanged(now int64, n Rollout) {
	e.now = now
	e.rolloutChanged(n)
	e.raiseMinBuild()
	e.emitEffects()
}

// AnswerFlagged tells that a client found an answer of this host wrong, and how long ago it was handed off.
func (e *Engine) AnswerFlagged(now int64, id uint32, class int, age int64) {
	if h := e.hostsByID[id]; h != nil && class >= 0 && class < len(e.classes) {
		e.now = now
		e.answerFlagged(h)
		e.emitEffects()
	}
}

// TimerFired tells that the wake-up of this mark has come.
func (e *Engine) TimerFired(now int64, id uint64) {
	e.now = now
	e.timerFired(id)
	e.emitEffects()
	for _, req := range e.finished {
		e.removeIfDone(req)
	}
	e.finished = e.finished[:0]
}

// GossipReceived brings a peer's message; one that is not of the right length or holds impossible numbers is ignored.
func (e *Engine) GossipReceived(now int64, peer int, raw []byte) {
	if build, figures, ok := e.decodeGossip(raw); ok && peer >= 0 && peer < e.settings.Routers && peer != e.settings.Rank {
		e.now = now
		e.gossipReceived(build, figures)
		e.emitEffects()
	}
}
