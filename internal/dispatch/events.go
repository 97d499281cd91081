package dispatch

import "portflow/internal/decision"

// Event is an input of the dispatcher, passed to Post.
type Event interface{ apply(*Dispatcher) }

type (
	// RequestReceived passes in a request that has been read completely.
	RequestReceived struct{ *Call }
	// ClientGone reports that the client of a call has disconnected.
	ClientGone struct{ *Call }
	// StreamStarted reports that the response to the latest attempt is being streamed to the client, so that the call can
	// get no other answer.
	StreamStarted struct{ *Call }
	// AttemptEnded reports the outcome of an attempt; Number counts the attempts of the call from 0.
	AttemptEnded struct {
		Call    *Call
		Number  int
		Outcome Outcome
	}
	// HostsChanged passes in a host list or changes to it, depending on Kind.
	HostsChanged struct {
		Kind  decision.ListKind
		Hosts []Host
	}
	// RolloutChanged reports the platform's current state of the rollout, pushed or in reply to a vote.
	RolloutChanged struct{ decision.Rollout }
	// ClassAdded adds a request class, with the next free class index.
	ClassAdded struct{ decision.RequestClass }
	// RankChanged reports this router's rank, from 0, and the number of routers.
	RankChanged struct{ Rank, Routers int }
	// AnswerFlagged reports that an answer of a host was wrong.
	AnswerFlagged struct {
		Host  string
		Class int
		Age   int64 // nanoseconds since the attempt was sent
	}
	// GossipReceived passes in a gossip message of a peer.
	GossipReceived struct {
		Peer    int
		Message []byte
	}
)

// ReadyAddresses returns the addresses of the hosts that are ready for requests, in list order.
func (e HostsChanged) ReadyAddresses() (addresses []string) {
	for _, host := range e.Hosts {
		if host.Health == decision.Ready {
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}
