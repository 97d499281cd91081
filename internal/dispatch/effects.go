package dispatch

import (
	"time"

	"portflow/internal/decision"
)

// effects implements decision.Effects. The engine calls it on the dispatcher's goroutine.
type effects struct{ *Dispatcher }

var _ decision.Effects = effects{}

// StartAttempt implements decision.Effects.
func (e effects) StartAttempt(callID, host uint32, deadline int64) {
	call := e.calls[callID]
	now := e.clock()
	number := len(call.attempts)
	if e.guard != nil {
		e.guard.AttemptStarted(now, &call.guardRequest, number)
	}
	call.inFlight++
	call.attempts = append(call.attempts, callAttempt{startedAt: now, host: host})
	done := func(o Outcome) { e.Post(AttemptEnded{call, number, o}) }
	call.attempts[number].handle = e.outputs.Upstream.Forward(e.hosts[host], call.Request, time.Duration(deadline-now), done)
}

// Reject implements decision.Effects.
func (e effects) Reject(callID uint32, retryAfter int64) {
	if e.guard != nil {
		retryAfter = e.guard.Rejected(e.clock(), &e.calls[callID].guardRequest, retryAfter)
	}
	e.sendAnswer(callID, Answer{Kind: Rejected, RetryAfter: time.Duration(retryAfter)})
}

// Fail implements decision.Effects.
func (e effects) Fail(callID uint32) {
	if e.guard != nil {
		e.guard.Abandoned(e.clock(), &e.calls[callID].guardRequest)
	}
	e.sendAnswer(callID, Answer{Kind: Failed, Reply: e.calls[callID].lastReply})
}

// sendAnswer answers a call and removes it if it has no attempt in flight. The engine may request this during any event, not
// only during events of this call.
func (e effects) sendAnswer(callID uint32, a Answer) {
	call := e.calls[callID]
	call.respond(a)
	e.removeIfDone(call)
}

// CancelAttempt implements decision.Effects.
func (e effects) CancelAttempt(callID uint32, number int) {
	e.calls[callID].attempts[number].handle.Cancel()
}

// Vote implements decision.Effects.
func (e effects) Vote(v decision.Verdict, build, stage int) { e.outputs.Platform.Vote(v, build, stage) }

// SendGossip implements decision.Effects.
func (e effects) SendGossip(peer int, message []byte) { e.outputs.Peers.SendGossip(peer, message) }

// SetTimer implements decision.Effects.
func (e effects) SetTimer(after int64, id uint64) {
	e.timerAt = e.clock() + after
	e.timerID = id
}

// CloseIdle implements decision.Effects. For a removed host the address is empty, which matches no connections.
func (e effects) CloseIdle(host uint32) { e.outputs.Upstream.CloseIdle(e.hosts[host].Address) }

// WatchHosts implements decision.Effects.
func (e effects) WatchHosts(on bool) { e.outputs.HostWatcher.Watch(on) }

// Log implements decision.Effects.
func (e effects) Log(text string) { e.log.Info().Msg(text) }
