package dispatch

import (
	"time"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Request is a client's command as it goes on to hosts.
type Request struct {
	Method, Target          string // the path with its query, as it came
	TraceID, IdempotencyKey string // the id of this try, and the reference of a referenced command
	Body                    []byte
	Class, Customer         int // by position, for those who count
	Payload                 any // what the carriers of another protocol need besides
}

// Answer is the final answer to a command.
type Answer struct {
	Kind       AnswerKind
	Body       []byte        // of a fulfilled command
	RetryAfter time.Duration // when a dismissed one may come again
	Reply      any           // the last hand-off's, where its carrier gave one
}

// AnswerKind tells the three final answers apart.
type AnswerKind uint8

const (
	Succeeded AnswerKind = iota
	Rejected
	Failed
)

// Responder takes a command's final answer, and must not make the reducer wait.
type Responder interface{ Respond(Answer) }

// AnswerChan is an Answers with room for one.
type AnswerChan chan Answer

func (c AnswerChan) Respond(a Answer) { c <- a }

// Call is an open command. Its maker sets the exported fields; the rest is the reducer's.
type Call struct {
	Class, Customer int
	Key             uint64
	Deadline        int64 // on the Clock
	Retried         bool  // its client says that it has asked before
	Request         *Request
	Responder       Responder       // gets one
	MaxAttempts     int             // hand-offs that it may have, 0 for as many as the settings say
	Allowed         func(Host) bool // whether it may go to a host now, nil for any

	lastReply any
	guarded   retryguard.Request
	id        uint32
	done      bool
	attempts  []callAttempt
	inFlight  int
}

type callAttempt struct {
	handle    Attempt
	startedAt int64
	host      uint32
}

// Outcome is how a hand-off ended.
type Outcome struct {
	Result     decision.Result
	Body       []byte    // of a host's good answer, whole
	LoadReport []float64 // a load report that came with the answer
	Reply      any       // what else the carrier has for the command's maker
}

// Host is a host as the list shows it.
type Host struct {
	Name, Address    string
	Zone, Kind, Cell int
	Health           decision.Health
	Build            int
	Capacity         float64
	StartedAt        int64 // Unix nanoseconds, 0 for long ago
	Distance         int   // how far it is, 0 for near
}

// Event is what the reducer can be told.
type Event interface{ apply(*Dispatcher) }

type (
	// RequestReceived brings a command that was wholly read.
	RequestReceived struct{ *Call }
	// ClientGone tells that a client has gone.
	ClientGone struct{ *Call }
	// StreamStarted tells that the latest hand-off's answer has begun to go to the client: nothing else can be given any more.
	StreamStarted struct{ *Call }
	// AttemptEnded brings a hand-off's outcome.
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
	// RolloutChanged brings what the platform says, unasked or in reply to a vote.
	RolloutChanged struct{ decision.Rollout }
	// ClassAdded adds a band; its number is the next one.
	ClassAdded struct{ decision.RequestClass }
	// RankChanged tells how many routers there are, and which of them this one is.
	RankChanged struct{ Rank, Routers int }
	// AnswerFlagged tells that a host's answer was found wrong.
	AnswerFlagged struct {
		Host  string
		Class int
		Age   int64
	}
	// GossipReceived brings a peer's datagram.
	GossipReceived struct {
		Peer    int
		Message []byte
	}
)

// ReadyAddresses tells the addresses of the hosts that take commands.
func (e HostsChanged) ReadyAddresses() (addresses []string) {
	for _, h := range e.Hosts {
		if h.Health == decision.Ready {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}
