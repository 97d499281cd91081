// Package decision implements a router's decision engine: it selects the host of each attempt, decides which requests to
// retry or reject, and votes on the rollout of a new build. The engine is deterministic and does no I/O: it reads no clock
// and starts no goroutine. Events and the current time come in through the methods of Engine, random numbers are derived
// from a seed, and actions go out through Effects. The same sequence of calls produces the same effects.
//
// Distributed change detection decides whether the new build is worse than the earlier one, see statistics.go. Host
// selection is in selection.go, retries are in retry.go, load shedding is in shedding.go. Start reading at Engine, which has
// one method for each kind of event.
package decision

import (
	"cmp"
	"slices"
)

// Engine makes one router's decisions. It is not safe for concurrent use.
type Engine struct {
	*decider
	requestsByID map[uint32]*request
	hostsByID    map[uint32]*host
}

// New returns an engine. It calls effects before it returns: it sets the first timer, and may request the host list.
func New(s Settings, seed uint64, now int64, effects Effects) *Engine {
	e := &Engine{
		decider:      newDecider(s, seed, effects),
		requestsByID: map[uint32]*request{},
		hostsByID:    map[uint32]*host{},
	}
	e.now = now
	e.start()
	e.emitEffects()
	return e
}

// RequestReceived handles a new request. It ignores a request whose ID is already in use, and rejects one of an unknown
// class, whose latency target and idempotency are unknown too.
func (e *Engine) RequestReceived(now int64, in Request) {
	if _, known := e.requestsByID[in.ID]; known {
		return
	}
	if in.Class < 0 || in.Class >= len(e.classes) {
		e.effects.Reject(in.ID, e.retryAfter())
		return
	}
	e.now = now
	class := e.classes[in.Class]
	req := &request{
		id:          in.ID,
		class:       class,
		customer:    in.Customer,
		key:         in.Key,
		cost:        in.Cost,
		receivedAt:  now,
		deadline:    now + in.Remaining,
		target:      now + class.LatencyTarget,
		maxAttempts: cmp.Or(in.MaxAttempts, e.settings.MaxAttempts),
		filter:      in.Filter,
	}
	e.requestsByID[in.ID] = req
	e.requestReceived(req)
	e.emitEffects()
	e.removeIfDone(req)
}

// AttemptEnded handles the end of an attempt. done means that the request needs no further answer, took is the attempt's
// duration in nanoseconds, and report holds the values of the host's load report in the order of Settings.LoadFields. Unknown
// attempts and those that have already ended are ignored.
func (e *Engine) AttemptEnded(now int64, id uint32, number int, result Result, done bool, took int64, report []float64) {
	req := e.requestsByID[id]
	if req == nil || number < 0 || number >= len(req.attempts) || req.attempts[number].ended {
		return
	}
	e.now = now
	req.attempts[number].ended = true
	req.inFlight--
	e.attemptEnded(req, req.attempts[number], result, done, took, report)
	e.emitEffects()
	e.removeIfDone(req)
}

// StreamStarted handles the start of streaming an attempt's answer to the client. From then on the request's deadline is no
// longer enforced.
func (e *Engine) StreamStarted(now int64, id uint32, number int) {
	req := e.requestsByID[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return
	}
	e.now = now
	req.streaming = true
	e.queue.Remove(req.check)
	req.attempts[number].host.silentSince = now
}

// ClientGone handles the disconnection of a request's client: the request needs no answer, and its attempts in flight
// are canceled if Settings.Cancellation is set, unless the answer is already being streamed.
func (e *Engine) ClientGone(now int64, id uint32) {
	req := e.requestsByID[id]
	if req == nil {
		return
	}
	e.now = now
	e.finish(req)
	e.emitEffects()
	e.removeIfDone(req)
}

// removeIfDone deletes a request that needs no answer and has no attempt in flight.
func (e *Engine) removeIfDone(req *request) {
	if req.done && req.inFlight == 0 {
		delete(e.requestsByID, req.id)
	}
}

// HostsChanged applies a host list or an update of it, or handles a failed fetch, for which entries is ignored.
func (e *Engine) HostsChanged(now int64, kind ListKind, entries []Host) {
	e.now = now
	if kind == FetchFailed {
		e.fetchFailed()
		e.emitEffects()
		return
	}
	e.fetchFailures = 0
	if kind != Delta {
		entries = e.addUnlisted(entries)
	}
	for _, entry := range entries {
		e.applyEntry(entry)
	}
	e.dropGoneHosts()
	e.raiseMinBuild()
	e.updateHosts()
	e.emitEffects()
}

// addUnlisted returns a complete list with an entry of health Gone appended for each known host that is missing from it.
func (e *Engine) addUnlisted(entries []Host) []Host {
	entries = slices.Clip(entries) // so that append does not write to the caller's array
	for _, h := range e.hosts {
		isListed := slices.ContainsFunc(entries, func(entry Host) bool { return entry.ID == h.id })
		if isListed {
			continue
		}
		entries = append(entries, Host{ID: h.id, Health: Gone, Build: h.build, Capacity: h.capacity, StartedAt: h.startedAt})
	}
	return entries
}

func (e *Engine) applyEntry(entry Host) {
	h := e.hostsByID[entry.ID]
	if h == nil {
		h = &host{id: entry.ID, health: Gone}
		e.hostsByID[entry.ID] = h
	}
	e.resetIfRestarted(h, entry)
	h.zone = entry.Zone
	h.kind = entry.Kind
	h.cell = entry.Cell
	h.health = entry.Health
	h.build = entry.Build
	h.startedAt = entry.StartedAt
	h.distance = entry.Distance
	h.capacity = entry.Capacity
	isUsable := h.capacity > minCapacity && h.capacity < maxCapacity // false for NaN
	if !isUsable {
		h.capacity = 1
	}
}

// dropGoneHosts removes the hosts with health Gone. Their attempts in flight keep a reference to them.
func (e *Engine) dropGoneHosts() {
	e.hosts = e.hosts[:0]
	for id, h := range e.hostsByID {
		if h.health == Gone {
			delete(e.hostsByID, id)
			continue
		}
		e.hosts = append(e.hosts, h)
	}
	slices.SortFunc(e.hosts, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
}

// RankChanged sets the number of routers and the rank of this router among them. It ignores ranks outside of
// 0 <= rank < routers.
func (e *Engine) RankChanged(now int64, rank, routers int) {
	if rank < 0 || rank >= routers {
		return
	}
	e.now = now
	e.settings.Rank = rank
	e.settings.Routers = routers
	if e.settings.FleetRetryBurst > 0 {
		e.retryBudget.setLimit(e.settings.FleetRetryBurst / float64(routers))
	}
	if e.settings.FleetTrialBurst > 0 {
		e.sharedExposure.setLimit(e.settings.FleetTrialBurst / float64(routers))
	}
}

// AddClass adds a request class to a running engine and returns its index for Request.Class.
func (e *Engine) AddClass(c RequestClass) int {
	e.classes = append(e.classes, e.newClass(c))
	if e.meanLatency == 0 { // this is the first class
		e.meanLatency = c.InitialLatency()
	}
	return len(e.classes) - 1
}

// RolloutChanged applies the current state of the rollout, or the reply to a vote.
func (e *Engine) RolloutChanged(now int64, rollout Rollout) {
	e.now = now
	e.rolloutChanged(rollout)
	e.raiseMinBuild()
	e.emitEffects()
}

// AnswerFlagged handles a client's report of a wrong answer from host id. It ignores unknown hosts and classes. age is the time
// since the attempt was sent, in nanoseconds; it is not used.
func (e *Engine) AnswerFlagged(now int64, id uint32, class int, age int64) {
	h := e.hostsByID[id]
	if h == nil || class < 0 || class >= len(e.classes) {
		return
	}
	e.now = now
	e.answerFlagged(h)
	e.emitEffects()
}

// TimerFired handles the firing of the timer with this id, which may be late, early or repeated.
func (e *Engine) TimerFired(now int64, id uint64) {
	e.now = now
	e.timerFired(id)
	e.emitEffects()
	for _, req := range e.finished {
		e.removeIfDone(req)
	}
	e.finished = e.finished[:0]
}

// GossipReceived handles a gossip message from the router with rank peer. It ignores messages with a wrong length or with
// values out of range.
func (e *Engine) GossipReceived(now int64, peer int, raw []byte) {
	build, values, ok := e.decodeGossip(raw)
	if !ok || peer < 0 || peer >= e.settings.Routers || peer == e.settings.Rank {
		return
	}
	e.now = now
	e.gossipReceived(build, values)
	e.emitEffects()
}

// TrialStatistics returns the statistics by which this router currently judges the build on trial.
func (e *Engine) TrialStatistics() (s TrialStatistics) {
	for k := range e.state {
		s.Outcomes[k] = e.count[k] * e.reachableRouters
		s.Threshold[k] = threshold[k]
		s.Excess[k], s.StandardError[k] = e.excess(k)
	}
	s.RemainingBurst = e.sharedExposure.tokens
	return s
}
