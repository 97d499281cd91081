// Package attempt is what is known of a request's attempts at hosts: each attempt as a state machine over what the connection
// tells, and the request, that may be sent again or refused only while no attempt of it may have run. It is pure.
package attempt

// Execution is what is known of whether a host has run a request.
type Execution uint8

const (
	NotRun     Execution = iota // surely not, and it never will
	MayHaveRun                  // nobody can tell
	Ran                         // a host has answered it
)

func (e Execution) String() string {
	return [...]string{"surely not run", "may have run", "ran"}[e]
}

// Event is what a connection tells of an attempt.
type Event uint8

const (
	ConnectFailed   Event = iota // no connection: refused, not in time, or no room for one
	Connected                    // a connection is there, nothing is written
	WriteStarted                 // the first bytes are handed to the connection
	WroteNone                    // the connection took none of them, and has ended
	WrotePart                    // it took some
	WroteAll                     // it took all
	TurnedAway                   // an answer with the request's id and Request-Not-Run
	Misdirected                  // an answer with the request's id and 421
	Answered                     // any other whole answer with the request's id
	WrongID                      // an answer with another id, or with none
	Truncated                    // an answer that breaks off
	UnexpectedBytes              // bytes that are no answer
	ConnectionReset              // the connection broke
	TimedOut                     // the time is up
	Canceled                     // nobody wants it any more
	eventCount
)

var eventNames = [eventCount]string{"connect refused", "connected", "writing", "wrote none", "wrote part", "wrote all", "Request-Not-Run", "421",
	"answered", "wrong id", "cut body", "extra bytes", "reset", "silence", "cancel"}

func (e Event) String() string { return eventNames[min(e, eventCount-1)] }

// Events are all events.
func Events() (all []Event) {
	for e := range eventCount {
		all = append(all, e)
	}
	return all
}

// Phase is how far an attempt has come.
type Phase uint8

const (
	Connecting    Phase = iota // it has no connection
	Open                       // it has one, and nothing is written
	WriteBegun                 // its first bytes are being written
	PartlyWritten              // some are
	Written                    // all are
	Ended                      // nothing changes what is known any more
)

func (p Phase) String() string {
	return [...]string{"opening", "open", "begun", "partly", "written", "over"}[p]
}

// Attempt is one sending of a request to one host. The zero value is one that begins.
type Attempt struct {
	Phase     Phase
	Execution Execution
}

// Next is the attempt after an event: the one place where either changes. What can't follow changes nothing.
func (a Attempt) Next(e Event) Attempt {
	sent := a.Phase >= WriteBegun // from here on a host may have it, whole as far as the host can tell
	switch {
	case a.Phase == Ended:
		return a
	case e == Connected:
		if !sent {
			a.Phase = Open
		}
		return a
	case e == WriteStarted:
		if !sent {
			a = Attempt{WriteBegun, MayHaveRun}
		}
		return a
	case e == WrotePart, e == WroteAll:
		if sent {
			a.Phase = max(a.Phase, PartlyWritten+Phase(e-WrotePart))
		}
		return a
	case e == WroteNone:
		return Attempt{Ended, executionIf(a.Phase > WriteBegun, MayHaveRun)}
	case !sent && e >= TurnedAway && e <= UnexpectedBytes: // what comes before its bytes go is another's: it goes on to another connection
		return Attempt{}
	case e == TurnedAway, e == Misdirected:
		return Attempt{Ended, NotRun}
	case e == Answered:
		return Attempt{Ended, Ran}
	}
	return Attempt{Ended, executionIf(sent, MayHaveRun)} // refused, wrong id, cut, extra bytes, reset, silence, cancel
}

// executionIf is k where something was sent, and else that nothing has run.
func executionIf(sent bool, k Execution) Execution {
	if sent {
		return k
	}
	return NotRun
}

// Request is what is known of all attempts of one request. The zero value is one that was not sent yet, and is not
// idempotent.
type Request struct {
	Idempotent bool // it may run more than once
	Settled    bool // its final answer is given: nothing of it is written any more
	busy       bool
	ended      Execution // of the attempts that are over
	current    Attempt
}

// MayAttempt tells whether another attempt may begin: one at a time, and where it may run at most once only if none may have.
func (r Request) MayAttempt() bool {
	return !r.Settled && !r.busy && (r.Idempotent || r.ended == NotRun)
}

// Begin begins an attempt where that may be.
func (r Request) Begin() (Request, bool) {
	if !r.MayAttempt() {
		return r, false
	}
	r.busy, r.current = true, Attempt{}
	return r, true
}

// Apply is the request after an event of its present attempt. ok is false where bytes were to be written that must not be.
func (r Request) Apply(e Event) (after Request, ok bool) {
	if e == WriteStarted && (!r.busy || r.Settled || r.current.Phase >= WriteBegun) {
		return r, false
	}
	if !r.busy {
		return r, true
	}
	if r.current = r.current.Next(e); r.current.Phase == Ended {
		r.ended, r.busy = max(r.ended, r.current.Execution), false
	}
	return r, true
}

// Current is the present attempt, or the one that ended last.
func (r Request) Current() Attempt { return r.current }

// Execution is what is known now.
func (r Request) Execution() Execution {
	if r.busy {
		return max(r.ended, r.current.Execution)
	}
	return r.ended
}

// Settle closes the request, as its final answer is given: what is known then is right for ever, as nothing of it is written
// later.
func (r Request) Settle() Request {
	r.Settled = true
	return r
}

// MayRefuse tells whether a final answer may promise that the request has not run and never will.
func (r Request) MayRefuse() bool {
	return r.Settled && (r.Idempotent || r.Execution() == NotRun)
}

// PromisesNotRun tells whether a status promises that the request has not run and never will.
func PromisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
