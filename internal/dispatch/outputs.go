package dispatch

import (
	"time"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Attempt is an attempt that has been started with Upstream.Forward.
type Attempt interface {
	Cancel()       // cancels the attempt, even if it has been sent
	CancelUnsent() // cancels the attempt if nothing of it has been sent yet
}

// Upstream forwards requests to hosts. None of its methods may block.
type Upstream interface {
	// Forward starts an attempt. It calls done exactly once, on any goroutine, with the outcome.
	Forward(to Host, r *Request, timeout time.Duration, done func(Outcome)) Attempt
	// CloseIdle closes the idle connections to an address.
	CloseIdle(address string)
	// Forget releases the state kept for an address whose host was removed. Attempts in flight continue.
	Forget(address string)
}

// RolloutPlatform receives the votes on a rollout and replies to each with a RolloutChanged event. It must not block.
type RolloutPlatform interface {
	Vote(v decision.Verdict, build, stage int)
}

// Peers sends gossip messages to other routers. It must not block.
type Peers interface {
	SendGossip(peer int, message []byte)
}

// HostWatcher subscribes to the host list, if decision.Settings.Subscribe is set. It must not block.
type HostWatcher interface{ Watch(on bool) }

// Guard admits or rejects each request before the decision engine sees it, and is notified of the further course of requests.
// It is implemented by *retryguard.Guard. Times are on the dispatcher's Clock, durations in nanoseconds.
type Guard interface {
	// Admit reports whether a request is passed to the engine. If not, the client is asked to wait for retryAfter, if positive.
	Admit(now int64, r *retryguard.Request) (admitted bool, retryAfter int64)
	// AttemptStarted is called for each attempt; number counts the attempts of a request from 0.
	AttemptStarted(now int64, r *retryguard.Request, number int)
	// Rejected is called when the engine rejects a request. It gets the engine's retryAfter and returns the one to send to the client.
	Rejected(now int64, r *retryguard.Request, retryAfter int64) int64
	// Abandoned is called when a request fails, when its client disconnects, and when its response starts to be streamed.
	Abandoned(now int64, r *retryguard.Request)
	// AttemptEnded is called when an attempt ends; signal is what its result says about the host.
	AttemptEnded(now int64, r *retryguard.Request, host uint32, signal retryguard.Signal, succeeded bool, latency int64)
	// HostsChanged is called with a complete host list, or with changes to it.
	HostsChanged(now int64, complete bool, hosts []retryguard.Host)
}

var _ Guard = (*retryguard.Guard)(nil)

// Outputs receive the engine's effects, on the dispatcher's goroutine.
type Outputs struct {
	Upstream    Upstream
	Platform    RolloutPlatform
	Peers       Peers
	HostWatcher HostWatcher
}
