// Package dispatch is the reducer of a router on sockets: one goroutine owns the decision module, the ids and the
// open commands. Typed events come in; the effects that the module asks for are carried out elsewhere and never
// make it wait.
package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Attempt is one that is on its way.
type Attempt interface {
	Cancel()       // ends it, also where it has been sent
	CancelUnsent() // ends it where it has not been sent yet
}

// Upstream carries out hand-offs.
type Upstream interface {
	Forward(to Host, r *Request, left time.Duration, done func(Outcome)) Attempt
	CloseIdle(address string) // its idle connections
	Forget(address string)    // it takes no further hand-offs
}

// RolloutPlatform takes votes; each gets a News in reply.
type RolloutPlatform interface {
	Vote(v decision.Verdict, build, stage int)
}

// Peers carries messages between routers.
type Peers interface {
	SendGossip(peer int, message []byte)
}

// HostWatcher asks for the list's changes where that is the router's to do.
type HostWatcher interface{ Watch(on bool) }

// Guard is asked before a command goes to the module; *storm.Guard is one. It is told all that became of commands.
type Guard interface {
	Admit(now int64, t *retryguard.Request) (in bool, wait int64)
	AttemptStarted(now int64, t *retryguard.Request, number int)
	Rejected(now int64, t *retryguard.Request, wait int64) int64
	Abandoned(now int64, t *retryguard.Request)
	AttemptEnded(now int64, t *retryguard.Request, host uint32, s retryguard.Signal, fulfilled bool, took int64)
	HostsChanged(now int64, whole bool, hosts []retryguard.Host)
}

// Outputs are those who carry out the effects.
type Outputs struct {
	Upstream    Upstream
	Platform    RolloutPlatform
	Peers       Peers
	HostWatcher HostWatcher
}

// Dispatcher is the reducer.
type Dispatcher struct {
	log     zerolog.Logger
	clock   Clock
	outputs Outputs
	engine  *decision.Engine
	guard   Guard // nil where that part is off

	calls      map[uint32]*Call
	lastCallID uint32
	hosts      map[uint32]Host // as they are listed now
	hostIDs    map[string]uint32
	lastHostID uint32

	ordinary, urgent chan Event
	timerAt          int64 // when the latest wake-up is due, 0 for none
	timerID          uint64
	stopped          chan struct{}
}

// queueCapacity bounds the events that wait: more than a router's open connections can bring at once.
const queueCapacity = 4096

// New makes a router that waits for Run; what is posted before then is kept.
func New(clock Clock, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{log: log, clock: clock, calls: map[uint32]*Call{}, hosts: map[uint32]Host{},
		hostIDs: map[string]uint32{}, ordinary: make(chan Event, queueCapacity), urgent: make(chan Event, queueCapacity),
		stopped: make(chan struct{})}
}

// Post tells an event. The list, news, reports and peers' messages do not queue behind commands. A band does: its own
// commands, posted after it, must not overtake it, and one that waits on another queue may be overtaken.
func (d *Dispatcher) Post(e Event) {
	queue := d.ordinary
	switch e.(type) {
	case HostsChanged, RolloutChanged, AnswerFlagged, GossipReceived, RankChanged:
		queue = d.urgent
	}
	select {
	case queue <- e:
	case <-d.stopped:
	}
}

// Config is what a router is told before its first event.
type Config struct {
	Settings decision.Settings
	Seed     uint64
	Hosts    HostsChanged
	Rollout  RolloutChanged
	Guard    Guard // nil for none
}

// Start starts the module. Run does it; who steps a router by hand does so once, before the first Step.
func (d *Dispatcher) Start(config Config, outputs Outputs) {
	d.outputs, d.guard = outputs, config.Guard
	d.engine = decision.New(config.Settings, config.Seed, d.clock(), effects{d})
	config.Hosts.apply(d)
	config.Rollout.apply(d)
}

// TrialStatistics is what the module goes by when it judges the newest build. It is for those who carry out an effect, in the midst
// of it: nobody else may ask while the router runs.
func (d *Dispatcher) TrialStatistics() decision.TrialStatistics { return d.engine.TrialStatistics() }

// NextTimer is when the router wants to be stepped though no event comes, 0 for never.
func (d *Dispatcher) NextTimer() int64 { return d.timerAt }

// Step plays the wake-up that is due, or else applies one event that waits; false says that there is neither.
func (d *Dispatcher) Step() bool {
	if now := d.clock(); d.timerAt != 0 && now >= d.timerAt {
		d.timerAt = 0
		d.engine.TimerFired(now, d.timerID)
		return true
	}
	select {
	case e := <-d.urgent:
		e.apply(d)
		return true
	default:
	}
	select {
	case e := <-d.urgent:
		e.apply(d)
	case e := <-d.ordinary:
		e.apply(d)
	default:
		return false
	}
	return true
}

// Run starts the module and applies events until the context ends.
func (d *Dispatcher) Run(ctx context.Context, config Config, outputs Outputs) {
	defer close(d.stopped)
	d.Start(config, outputs)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		if d.Step() {
			continue
		}
		if d.timerAt != 0 {
			timer.Reset(time.Duration(d.timerAt - d.clock()))
		}
		select {
		case e := <-d.urgent:
			e.apply(d)
		case e := <-d.ordinary:
			e.apply(d)
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

func (e RequestReceived) apply(d *Dispatcher) {
	call, now := e.Call, d.clock()
	if call.done { // its client left before
		return
	}
	if d.guard != nil {
		call.guarded = retryguard.Request{Class: call.Class, Customer: call.Customer, Retry: call.Retried, Remaining: call.Deadline - now,
			Fingerprint: retryguard.FingerprintOf(call.Class, call.Customer, call.Key, call.Request.IdempotencyKey)}
		if admitted, wait := d.guard.Admit(now, &call.guarded); !admitted { // the module never hears of it: nothing was handed off
			call.respond(Answer{Kind: Rejected, RetryAfter: time.Duration(wait)})
			return
		}
	}
	d.lastCallID++
	call.id = d.lastCallID
	d.calls[call.id] = call
	d.engine.RequestReceived(now, decision.Request{ID: call.id, Class: call.Class, Customer: call.Customer, Key: call.Key, Remaining: max(0, call.Deadline-now),
		MaxAttempts: call.MaxAttempts, Filter: d.hostFilter(call)})
	d.removeIfDone(call)
}

// hostFilter asks the command's maker about a host, where there is one to ask.
func (d *Dispatcher) hostFilter(call *Call) decision.HostFilter {
	if call.Allowed == nil {
		return nil
	}
	return callFilter{d, call}
}

type callFilter struct {
	dispatcher *Dispatcher
	call       *Call
}

func (q callFilter) Allowed(host uint32) bool { return q.call.Allowed(q.dispatcher.hosts[host]) }

func (e ClientGone) apply(d *Dispatcher) {
	call := e.Call
	if call.done {
		return
	}
	call.finish()
	now := d.clock()
	if d.guard != nil && call.id != 0 {
		d.guard.Abandoned(now, &call.guarded)
	}
	d.engine.ClientGone(now, call.id)
	d.removeIfDone(call)
}

func (e StreamStarted) apply(d *Dispatcher) {
	if !e.Call.done {
		d.engine.StreamStarted(d.clock(), e.Call.id, len(e.Call.attempts)-1)
		ClientGone(e).apply(d)
	}
}

func (e AttemptEnded) apply(d *Dispatcher) {
	call := e.Call
	call.inFlight--
	if e.Outcome.Result == decision.Succeeded && !call.done {
		call.respond(Answer{Kind: Succeeded, Body: e.Outcome.Body, Reply: e.Outcome.Reply})
	}
	call.lastReply = e.Outcome.Reply
	now, attempt := d.clock(), call.attempts[e.Number]
	if d.guard != nil {
		d.guard.AttemptEnded(now, &call.guarded, attempt.host, hostSignals[e.Outcome.Result], e.Outcome.Result == decision.Succeeded, now-attempt.startedAt)
	}
	d.engine.AttemptEnded(now, call.id, e.Number, e.Outcome.Result, call.done, now-attempt.startedAt, e.Outcome.LoadReport)
	d.removeIfDone(call)
}

// hostSignals are what hand-offs' endings say of their hosts.
var hostSignals = [...]retryguard.Signal{decision.Succeeded: retryguard.Answered, decision.Failed: retryguard.Answered, decision.InvalidAnswer: retryguard.Answered,
	decision.Rejected: retryguard.Overloaded, decision.ConnectFailed: retryguard.ConnectionFailed, decision.ConnectionReset: retryguard.ConnectionFailed,
	decision.TimedOut: retryguard.NoAnswer, decision.Canceled: retryguard.NotSent, decision.Unsent: retryguard.NotSent}

// respond gives the final answer; what has not been sent to a host by then never is.
func (c *Call) respond(a Answer) {
	c.finish()
	c.Responder.Respond(a)
}

func (c *Call) finish() {
	c.done = true
	for _, h := range c.attempts {
		h.handle.CancelUnsent()
	}
}

func (d *Dispatcher) removeIfDone(call *Call) {
	if call.done && call.inFlight == 0 {
		delete(d.calls, call.id)
	}
}

// apply gives each host that appears an id. One that returns with another address, start or build is a new host, and
// the one that it was is gone.
func (e HostsChanged) apply(d *Dispatcher) {
	entries := make([]decision.Host, 0, len(e.Hosts))
	listed := make(map[string]bool, len(e.Hosts))
	for _, host := range e.Hosts {
		listed[host.Name] = true
		id, known := d.hostIDs[host.Name]
		previous := d.hosts[id]
		if known && (host.Health == decision.Gone || previous.Address != host.Address || previous.Build != host.Build || previous.StartedAt != host.StartedAt) {
			entries = append(entries, d.removeHost(host.Name))
			known = false
		}
		if host.Health == decision.Gone {
			continue
		}
		if !known {
			d.lastHostID++
			id = d.lastHostID
			d.hostIDs[host.Name] = id
		}
		d.hosts[id] = host
		entries = append(entries, decision.Host{ID: id, Zone: host.Zone, Kind: host.Kind, Cell: host.Cell, Health: host.Health,
			Build: host.Build, Capacity: host.Capacity, StartedAt: host.StartedAt, Distance: host.Distance})
	}
	if e.Kind == decision.Snapshot {
		for name := range d.hostIDs {
			if !listed[name] {
				entries = append(entries, d.removeHost(name))
			}
		}
	}
	now := d.clock()
	if d.guard != nil {
		known := make([]retryguard.Host, len(entries))
		for i, entry := range entries {
			known[i] = retryguard.Host{ID: entry.ID, Ready: entry.Health == decision.Ready, Capacity: entry.Capacity, StartedAt: entry.StartedAt}
		}
		d.guard.HostsChanged(now, e.Kind == decision.Snapshot, known)
	}
	d.engine.HostsChanged(now, e.Kind, entries)
}

// removeHost forgets a host.
func (d *Dispatcher) removeHost(name string) decision.Host {
	id := d.hostIDs[name]
	h := d.hosts[id]
	d.outputs.Upstream.Forget(h.Address)
	delete(d.hostIDs, name)
	delete(d.hosts, id)
	return decision.Host{ID: id, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, Health: decision.Gone, Build: h.Build, Capacity: h.Capacity,
		StartedAt: h.StartedAt}
}

func (e RolloutChanged) apply(d *Dispatcher) { d.engine.RolloutChanged(d.clock(), e.Rollout) }

func (e ClassAdded) apply(d *Dispatcher) { d.engine.AddClass(e.RequestClass) }

func (e RankChanged) apply(d *Dispatcher) { d.engine.RankChanged(d.clock(), e.Rank, e.Routers) }

func (e AnswerFlagged) apply(d *Dispatcher) {
	if id, ok := d.hostIDs[e.Host]; ok {
		d.engine.AnswerFlagged(d.clock(), id, e.Class, e.Age)
	}
}

func (e GossipReceived) apply(d *Dispatcher) { d.engine.GossipReceived(d.clock(), e.Peer, e.Message) }

// effects are the module's; they are carried out at once where nothing can wait, and else by those in Out.
type effects struct{ *Dispatcher }

func (e effects) StartAttempt(callID, host uint32, deadline int64) {
	call, now := e.calls[callID], e.clock()
	number := len(call.attempts)
	if e.guard != nil {
		e.guard.AttemptStarted(now, &call.guarded, number)
	}
	call.inFlight++
	call.attempts = append(call.attempts, callAttempt{startedAt: now, host: host})
	call.attempts[number].handle = e.outputs.Upstream.Forward(e.hosts[host], call.Request, time.Duration(deadline-now),
		func(o Outcome) { e.Post(AttemptEnded{call, number, o}) })
}

func (e effects) Reject(callID uint32, retryAfter int64) {
	if e.guard != nil {
		retryAfter = e.guard.Rejected(e.clock(), &e.calls[callID].guarded, retryAfter)
	}
	e.finish(callID, Answer{Kind: Rejected, RetryAfter: time.Duration(retryAfter)})
}

func (e effects) Fail(callID uint32) {
	if e.guard != nil {
		e.guard.Abandoned(e.clock(), &e.calls[callID].guarded)
	}
	e.finish(callID, Answer{Kind: Failed, Reply: e.calls[callID].lastReply})
}

// finish may come with any event, and not only with the command's own.
func (e effects) finish(callID uint32, a Answer) {
	call := e.calls[callID]
	call.respond(a)
	e.removeIfDone(call)
}

func (e effects) CancelAttempt(callID uint32, number int) {
	e.calls[callID].attempts[number].handle.Cancel()
}

func (e effects) Vote(v decision.Verdict, build, stage int) { e.outputs.Platform.Vote(v, build, stage) }

func (e effects) SendGossip(peer int, message []byte) { e.outputs.Peers.SendGossip(peer, message) }

func (e effects) SetTimer(after int64, id uint64) { e.timerAt, e.timerID = e.clock()+after, id }

func (e effects) CloseIdle(host uint32) { e.outputs.Upstream.CloseIdle(e.hosts[host].Address) } // of none if it is gone

func (e effects) WatchHosts(on bool) { e.outputs.HostWatcher.Watch(on) }

func (e effects) Log(text string) { e.log.Info().Msg(text) }
