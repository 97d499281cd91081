package dispatch

import (
	"time"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Attempt is a request's attempt at a host, which is under way.
type Attempt interface {
	Cancel()       // ends it, also where it has been sent
	CancelUnsent() // ends it where nothing of it has been sent yet
}

// Upstream forwards requests to hosts. None of its methods may block.
type Upstream interface {
	// Forward starts an attempt that has so long; done is called once, on any goroutine, with its outcome.
	Forward(to Host, r *Request, timeout time.Duration, done func(Outcome)) Attempt
	// CloseIdle closes the idle connections to an address.
	CloseIdle(address string)
	// Forget says that no further attempt goes to an address.
	Forget(address string)
}

// RolloutPlatform takes votes; each is answered by a RolloutChanged.
type RolloutPlatform interface {
	Vote(v decision.Verdict, build, stage int)
}

// Peers carries messages between routers.
type Peers interface {
	SendGossip(peer int, message []byte)
}

// HostWatcher subscribes to the list of hosts where that is left to the router.
type HostWatcher interface{ Watch(on bool) }

// Guard is asked about each request before the decision engine, and hears of all that becomes of requests.
// *retryguard.Guard is one. All times are on the dispatcher's Clock.
type Guard interface {
	// Admit decides whether a request goes on; if not, wait is after how long it may be sent again.
	Admit(now int64, r *retryguard.Request) (admitted bool, retryAfter int64)
	// AttemptStarted is called with each attempt's number, from 0.
	AttemptStarted(now int64, r *retryguard.Request, number int)
	// Rejected is called when the engine rejects a request; it returns after how long the client may send it again.
	Rejected(now int64, r *retryguard.Request, retryAfter int64) int64
	// Abandoned is called when a request ends without an answer of a host.
	Abandoned(now int64, r *retryguard.Request)
	// AttemptEnded is called with what an attempt's end says of its host.
	AttemptEnded(now int64, r *retryguard.Request, host uint32, signal retryguard.Signal, succeeded bool, latency int64)
	// HostsChanged is called with the complete list of hosts, or with changes.
	HostsChanged(now int64, complete bool, hosts []retryguard.Host)
}

var _ Guard = (*retryguard.Guard)(nil)

// Outputs are what carries the effects out.
type Outputs struct {
	Upstream    Upstream
	Platform    RolloutPlatform
	Peers       Peers
	HostWatcher HostWatcher
}
