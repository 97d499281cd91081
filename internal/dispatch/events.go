package dispatch

import "portflow/internal/decision"

// Event is something that happened outside the dispatcher. Post brings it in.
type Event interface{ apply(*Dispatcher) }

type (
	// RequestReceived brings a request that was completely read.
	RequestReceived struct{ *Call }
	// ClientGone says that a call's client has disconnected.
	ClientGone struct{ *Call }
	// StreamStarted says that the latest attempt's answer has begun to go to the client: no other answer can be given any
	// more.
	StreamStarted struct{ *Call }
	// AttemptEnded brings an attempt's outcome.
	AttemptEnded struct {
		Call    *Call
		Number  int
		Outcome Outcome
	}
	// HostsChanged brings the list of hosts or its changes.
	HostsChanged struct {
		Kind  decision.ListKind
		Hosts []Host
	}
	// RolloutChanged brings the platform's present state of the rollout, pushed or in reply to a vote.
	RolloutChanged struct{ decision.Rollout }
	// ClassAdded adds a request class; its number is the next one.
	ClassAdded struct{ decision.RequestClass }
	// RankChanged brings this router's position among so many routers.
	RankChanged struct{ Rank, Routers int }
	// AnswerFlagged says that a host's answer was found wrong.
	AnswerFlagged struct {
		Host  string
		Class int
		Age   int64 // nanoseconds since the attempt was sent
	}
	// GossipReceived brings a peer's message.
	GossipReceived struct {
		Peer    int
		Message []byte
	}
)

// ReadyAddresses returns the addresses of the hosts that take requests.
func (e HostsChanged) ReadyAddresses() (addresses []string) {
	for _, host := range e.Hosts {
		if host.Health == decision.Ready {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}
