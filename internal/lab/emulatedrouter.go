package lab

import (
	"strconv"
	"time"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/retryguard"
)

// emulatedRouter is a router of an emulation. It implements the outputs of its own dispatcher.
type emulatedRouter struct {
	*emulation
	steppedRouter
	index int
	guard *retryguard.Guard // nil for policies other than "on"
}

// Forward models the attempt: 300 µs to the host, the host's queue and service time, and 300 µs back.
func (r *emulatedRouter) Forward(to dispatch.Host, req *dispatch.Request, remaining time.Duration, done func(dispatch.Outcome)) dispatch.Attempt {
	fwd := &forward{router: r, done: done}
	clientAttempt := r.attempts[req.TraceID]
	r.after(int64(remaining), func() { fwd.finishExternally(dispatch.Outcome{Result: decision.TimedOut}) })
	r.after(3e5, func() {
		if fwd.ended {
			return
		}
		i, err := strconv.Atoi(to.Address[min(1, len(to.Address)):])
		if err != nil || i >= len(r.hosts) || !r.hosts[i].Up {
			fwd.finishExternally(dispatch.Outcome{Result: decision.ConnectFailed})
			return
		}
		target := r.hosts[i]
		fwd.sent, fwd.host = true, target
		serviceTime := clientAttempt.drawWork(&r.rng)
		if target.inOutage || r.Kind != "half" {
			r.recorder.recordWork(r.now, serviceTime)
		}
		if clientAttempt.idempotencyKey != "" && !r.effects.Run(r.now, clientAttempt.idempotencyKey, req.TraceID) {
			serviceTime = 1e6 // a duplicate is answered without running again
		}
		finishAt, ok := target.Arrive(r.now, serviceTime)
		if !ok {
			fwd.finishExternally(dispatch.Outcome{Result: decision.Rejected})
			return
		}
		target.forwards = append(target.forwards, fwd)
		incarnation := target.incarnation
		r.after(finishAt-r.now+3e5, func() {
			if target.incarnation == incarnation {
				fwd.finishExternally(dispatch.Outcome{Result: decision.Succeeded})
			}
		})
	})
	return fwd
}

func (r *emulatedRouter) CloseIdle(string) {}

func (r *emulatedRouter) Forget(string) {}

func (r *emulatedRouter) Watch(bool) {}

// Vote counts votes to roll back and replies that the build is still on trial at the same stage.
func (r *emulatedRouter) Vote(vote decision.Verdict, build, stage int) {
	if vote == decision.RollBack {
		r.rollbackVotes++
	}
	r.post(2e6, dispatch.RolloutChanged{Rollout: decision.Rollout{Build: build, Stage: stage, State: decision.OnTrial, VoteReply: true, ExposureCap: 0.4}})
}

// SendGossip delivers a message to a peer after 2 ms, or drops it with a probability of 2 %.
func (r *emulatedRouter) SendGossip(peer int, message []byte) {
	if r.rng.Float64() < 0.02 {
		return
	}
	r.routers[peer].post(2e6, dispatch.GossipReceived{Peer: r.index, Message: message})
}

// forward is an attempt of a router at a host. host is nil until the request has reached the host.
type forward struct {
	router      *emulatedRouter
	done        func(dispatch.Outcome)
	sent, ended bool
	host        *host
}

func (f *forward) finish(outcome dispatch.Outcome) {
	if f.ended {
		return
	}
	f.ended = true
	if h := f.host; h != nil {
		for i, x := range h.forwards {
			if x == f {
				h.forwards[i] = h.forwards[len(h.forwards)-1]
				h.forwards = h.forwards[:len(h.forwards)-1]
				break
			}
		}
	}
	f.done(outcome)
}

// finishExternally finishes an attempt from a timeline event, where the router has to be pumped afterwards.
func (f *forward) finishExternally(outcome dispatch.Outcome) {
	if !f.ended {
		f.finish(outcome)
		f.router.pump()
	}
}

func (f *forward) Cancel() { f.finish(dispatch.Outcome{Result: decision.Canceled}) }

func (f *forward) CancelUnsent() {
	if !f.sent {
		f.finish(dispatch.Outcome{Result: decision.Unsent})
	}
}
