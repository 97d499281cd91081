package dispatch

import (
	"time"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

func (e RequestReceived) apply(d *Dispatcher) {
	call := e.Call
	now := d.clock()
	if call.done { // the client has already disconnected
		return
	}
	if !d.admit(now, call) {
		return
	}
	d.lastCallID++
	call.id = d.lastCallID
	d.calls[call.id] = call
	d.engine.RequestReceived(now, decision.Request{
		ID:          call.id,
		Class:       call.Class,
		Customer:    call.Customer,
		Key:         call.Key,
		Remaining:   max(0, call.Deadline-now),
		MaxAttempts: call.MaxAttempts,
		Filter:      d.hostFilter(call),
	})
	d.removeIfDone(call)
}

// admit reports whether the guard, if any, admits the call. A rejected call is answered at once and never reaches the engine.
func (d *Dispatcher) admit(now int64, call *Call) bool {
	if d.guard == nil {
		return true
	}
	call.guardRequest = retryguard.Request{
		Class:       call.Class,
		Customer:    call.Customer,
		Retry:       call.Retried,
		Remaining:   call.Deadline - now,
		Fingerprint: retryguard.FingerprintOf(call.Class, call.Customer, call.Key, call.Request.IdempotencyKey),
	}
	admitted, retryAfter := d.guard.Admit(now, &call.guardRequest)
	if !admitted {
		call.respond(Answer{Kind: Rejected, RetryAfter: time.Duration(retryAfter)})
	}
	return admitted
}

// hostFilter returns the filter for call.Allowed, nil if the call may go to any host.
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

var _ decision.HostFilter = callFilter{}

// Allowed implements decision.HostFilter.
func (f callFilter) Allowed(host uint32) bool { return f.call.Allowed(f.dispatcher.hosts[host]) }

func (e ClientGone) apply(d *Dispatcher) {
	call := e.Call
	if call.done {
		return
	}
	call.finish()
	now := d.clock()
	if d.guard != nil && call.id != 0 {
		d.guard.Abandoned(now, &call.guardRequest)
	}
	d.engine.ClientGone(now, call.id)
	d.removeIfDone(call)
}

// apply ends the call without an Answer, since the client is already receiving the response as a stream.
func (e StreamStarted) apply(d *Dispatcher) {
	call := e.Call
	if call.done {
		return
	}
	d.engine.StreamStarted(d.clock(), call.id, len(call.attempts)-1)
	ClientGone(e).apply(d)
}

func (e AttemptEnded) apply(d *Dispatcher) {
	call := e.Call
	result := e.Outcome.Result
	call.inFlight--
	if result == decision.Succeeded && !call.done {
		call.respond(Answer{Kind: Succeeded, Body: e.Outcome.Body, Reply: e.Outcome.Reply})
	}
	call.lastReply = e.Outcome.Reply
	now := d.clock()
	attempt := call.attempts[e.Number]
	latency := now - attempt.startedAt
	if d.guard != nil {
		d.guard.AttemptEnded(now, &call.guardRequest, attempt.host, hostSignals[result], result == decision.Succeeded, latency)
	}
	d.engine.AttemptEnded(now, call.id, e.Number, result, call.done, latency, e.Outcome.LoadReport)
	d.removeIfDone(call)
}

// hostSignals maps the result of an attempt to the guard's signal about its host.
var hostSignals = [...]retryguard.Signal{
	decision.Succeeded:       retryguard.Answered,
	decision.Failed:          retryguard.Answered,
	decision.InvalidAnswer:   retryguard.Answered,
	decision.Rejected:        retryguard.Overloaded,
	decision.ConnectFailed:   retryguard.ConnectionFailed,
	decision.ConnectionReset: retryguard.ConnectionFailed,
	decision.TimedOut:        retryguard.NoAnswer,
	decision.Canceled:        retryguard.NotSent,
	decision.Unsent:          retryguard.NotSent,
}

// removeIfDone removes a call that needs no answer anymore and has no attempt in flight.
func (d *Dispatcher) removeIfDone(call *Call) {
	if call.done && call.inFlight == 0 {
		delete(d.calls, call.id)
	}
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
