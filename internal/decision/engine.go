// Package decision decides where a router sends its requests, which it retries or rejects, and how it votes on the rollout
// of a new build. It is pure: no I/O, clock or goroutine; time, chance and all events come in by the methods of Engine, and
// what is to be done goes out by Effects. The same calls lead to the same effects.
//
// Whether the new build fails more than the earlier one is decided by distributed change detection, see statistics.go; host
// selection is in selection.go, retries are in retry.go, shedding is in shedding.go. Begin reading at Engine, whose methods
// are the events.
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

// New makes an engine. It emits effects already: its first timer, and the call for the list of hosts.
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

// RequestReceived brings a request. One of an unknown class is rejected: without a contract nothing would end it.
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

// AttemptEnded says how an attempt ended and how long it took; done says that the request needs no answer any more.
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

// StreamStarted says that an attempt's answer has begun to go to the client: the request has no deadline any more.
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

// ClientGone says that a request's client has disconnected.
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

// removeIfDone forgets a request once no answer is owed and no attempt is in flight.
func (e *Engine) removeIfDone(req *request) {
	if req.done && req.inFlight == 0 {
		delete(e.requestsByID, req.id)
	}
}

// HostsChanged brings the list of hosts, its changes, or the failure of a call for it.
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

// addUnlisted adds to a complete list the hosts that it does not name, as gone.
func (e *Engine) addUnlisted(entries []Host) []Host {
	entries = slices.Clip(entries) // the caller's array stays as it is
	for _, h := range e.hosts {
		isListed := slices.ContainsFunc(entries, func(entry Host) bool { return entry.ID == h.id })
		if isListed {
			continue
		}
		entries = append(entries, Host{ID: h.id, Health: Gone, Build: h.build, Capacity: h.capacity, StartedAt: h.startedAt})
	}
	return entries
}

// applyEntry takes one entry of the list over.
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

// dropGoneHosts forgets the hosts that are gone; their attempts keep them as long as they are in flight.
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

// RankChanged says how many routers there are now and which of them this one is: 0 <= rank < routers.
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

// AddClass adds a request class while the router runs, and returns its number.
func (e *Engine) AddClass(c RequestClass) int {
	e.classes = append(e.classes, e.newClass(c))
	if e.meanLatency == 0 { // there was no class before
		e.meanLatency = c.InitialLatency()
	}
	return len(e.classes) - 1
}

// RolloutChanged brings the present state of the rollout.
func (e *Engine) RolloutChanged(now int64, rollout Rollout) {
	e.now = now
	e.rolloutChanged(rollout)
	e.raiseMinBuild()
	e.emitEffects()
}

// AnswerFlagged says that a client found an answer of this host wrong, and how long ago the attempt was sent.
func (e *Engine) AnswerFlagged(now int64, id uint32, class int, age int64) {
	h := e.hostsByID[id]
	if h == nil || class < 0 || class >= len(e.classes) {
		return
	}
	e.now = now
	e.answerFlagged(h)
	e.emitEffects()
}

// TimerFired says that the timer with this id has fired. It may come late, early or more than once.
func (e *Engine) TimerFired(now int64, id uint64) {
	e.now = now
	e.timerFired(id)
	e.emitEffects()
	for _, req := range e.finished {
		e.removeIfDone(req)
	}
	e.finished = e.finished[:0]
}

// GossipReceived brings a peer's message. One of a wrong length or with impossible figures is ignored.
func (e *Engine) GossipReceived(now int64, peer int, raw []byte) {
	build, values, ok := e.decodeGossip(raw)
	if !ok || peer < 0 || peer >= e.settings.Routers || peer == e.settings.Rank {
		return
	}
	e.now = now
	e.gossipReceived(build, values)
	e.emitEffects()
}

// TrialStatistics returns the statistics that this router goes by now.
func (e *Engine) TrialStatistics() (s TrialStatistics) {
	for k := range e.state {
		s.Outcomes[k] = e.count[k] * e.reachableRouters
		s.Threshold[k] = threshold[k]
		s.Excess[k], s.StandardError[k] = e.excess(k)
	}
	s.RemainingBurst = e.sharedExposure.tokens
	return s
}
