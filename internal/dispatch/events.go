package dispatch

import (
	"time"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Request is a client's command as it goes on to hosts.
type Request struct {
	Method, Target string // the path with its query, as it came
	Trace, Mark    string // the id of this try, and the reference of a referenced command
	Body           []byte
	Band, Carrier  int // by position, for those who count
	Cargo          any // what the carriers of another protocol need besides
}

// Answer is the final answer to a command.
type Answer struct {
	Kind  Kind
	Body  []byte        // of a fulfilled command
	Wait  time.Duration // when a dismissed one may come again
	Reply any           // the last hand-off's, where its carrier gave one
}

// Kind tells the three final answers apart.
type Kind uint8

const (
	Fulfilled Kind = iota
	Dismissed
	Scrapped
)

// Answers takes a command's final answer, and must not make the reducer wait.
type Answers interface{ Give(Answer) }

// Chan is an Answers with room for one.
type Chan chan Answer

func (c Chan) Give(a Answer) { c <- a }

// Command is an open command. Its maker sets the exported fields; the rest is the reducer's.
type Command struct {
	Band, Carrier int
	Key           uint64
	CutOff        int64 // on the Clock
	Again         bool  // its client says that it has asked before
	Request       *Request
	Answer        Answers         // gets one
	Most          int             // hand-offs that it may have, 0 for as many as the settings say
	May           func(Host) bool // whether it may go to a host now, nil for any

	reply    any
	try      retryguard.Try
	id       uint32
	over     bool
	handOffs []handOff
	out      int
}

type handOff struct {
	sent HandOff
	at   int64
	host uint32
}

// Outcome is how a hand-off ended.
type Outcome struct {
	Ending decision.Ending
	Body   []byte    // of a host's good answer, whole
	Report []float64 // a load report that came with the answer
	Reply  any       // what else the carrier has for the command's maker
}

// Host is a host as the list shows it.
type Host struct {
	Name, Address    string
	Zone, Kind, Cell int
	Health           decision.Health
	Build            int
	Size             float64
	Started          int64 // Unix nanoseconds, 0 for long ago
	Ring             int   // how far it is, 0 for near
}

// Event is what the reducer can be told.
type Event interface{ apply(*Router) }

type (
	// Taken brings a command that was wholly read.
	Taken struct{ *Command }
	// Left tells that a client has gone.
	Left struct{ *Command }
	// Streams tells that the latest hand-off's answer has begun to go to the client: nothing else can be given any more.
	Streams struct{ *Command }
	// Ended brings a hand-off's outcome.
	Ended struct {
		Command *Command
		Number  int
		Outcome Outcome
	}
	// List brings the list of hosts or its changes.
	List struct {
		Form  decision.Form
		Hosts []Host
	}
	// News brings what the platform says, unasked or in reply to a vote.
	News struct{ decision.News }
	// Band adds a band; its number is the next one.
	Band struct{ decision.Band }
	// Number tells how many routers there are, and which of them this one is.
	Number struct{ Rank, Routers int }
	// Flagged tells that a host's answer was found wrong.
	Flagged struct {
		Host string
		Band int
		Age  int64
	}
	// Heard brings a peer's datagram.
	Heard struct {
		Peer    int
		Message []byte
	}
)

// Ready tells the addresses of the hosts that take commands.
func (e List) Ready() (addresses []string) {
	for _, h := range e.Hosts {
		if h.Health == decision.Ready {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}
