// Package attempt is what is known of a request's attempts at hosts: each attempt as a state machine over what the connection
// tells, and the request, that may be sent again or refused only while no attempt of it may have run. It is pure.
package attempt

// Knowledge is what is known of whether a host has run a request.
type Knowledge uint8

const (
	NotRun     Knowledge = iota // surely not, and it never will
	MayHaveRun                  // nobody can tell
	Ran                         // a host has answered it
)

func (k Knowledge) String() string {
	return [...]string{"surely not run", "may have run", "ran"}[k]
}

// Event is what a connection tells of an attempt.
type Event uint8

const (
	Refused     Event = iota // no connection: refused, not in time, or no room for one
	Connected                // a connection is there, nothing is written
	Writing                  // the first bytes are handed to the connection
	WroteNone                // the connection took none of them, and has ended
	WrotePart                // it took some
	WroteAll                 // it took all
	TurnedAway               // an answer with the request's id and Request-Not-Run
	Misdirected              // an answer with the request's id and 421
	Answered                 // any other whole answer with the request's id
	WrongID                  // an answer with another id, or with none
	Cut                      // an answer that breaks off
	Extra                    // bytes that are no answer
	Reset                    // the connection broke
	Silence                  // the time is up
	Cancel                   // nobody wants it any more
	events
)

var eventNames = [events]string{"connect refused", "connected", "writing", "wrote none", "wrote part", "wrote all", "Request-Not-Run", "421",
	"answered", "wrong id", "cut body", "extra bytes", "reset", "silence", "cancel"}

func (e Event) String() string { return eventNames[min(e, events-1)] }

// Events are all events.
func Events() (all []Event) {
	for e := range events {
		all = append(all, e)
	}
	return all
}

// Phase is how far an attempt has come.
type Phase uint8

const (
	Opening Phase = iota // it has no connection
	Open                 // it has one, and nothing is written
	Begun                // its first bytes are being written
	Partly               // some are
	Written              // all are
	Over                 // nothing changes what is known any more
)

func (p Phase) String() string {
	return [...]string{"opening", "open", "begun", "partly", "written", "over"}[p]
}

// Attempt is one sending of a request to one host. The zero value is one that begins.
type Attempt struct {
	Phase     Phase
	Knowledge Knowledge
}

// After is the attempt after an event: the one place where either changes. What can't follow changes nothing.
func (a Attempt) After(e Event) Attempt {
	sent := a.Phase >= Begun // from here on a host may have it, whole as far as the host can tell
	switch {
	case a.Phase == Over:
		return a
	case e == Connected:
		if !sent {
			a.Phase = Open
		}
		return a
	case e == Writing:
		if !sent {
			a = Attempt{Begun, MayHaveRun}
		}
		return a
	case e == WrotePart, e == WroteAll:
		if sent {
			a.Phase = max(a.Phase, Partly+Phase(e-WrotePart))
		}
		return a
	case e == WroteNone:
		return Attempt{Over, known(a.Phase > Begun, MayHaveRun)}
	case !sent && e >= TurnedAway && e <= Extra: // what comes before its bytes go is another's: it goes on to another connection
		return Attempt{}
	case e == TurnedAway, e == Misdirected:
		return Attempt{Over, NotRun}
	case e == Answered:
		return Attempt{Over, Ran}
	}
	return Attempt{Over, known(sent, MayHaveRun)} // refused, wrong id, cut, extra bytes, reset, silence, cancel
}

// known is k where something was sent, and else that nothing has run.
func known(sent bool, k Knowledge) Knowledge {
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
	past       Knowledge // of the attempts that are over
	now        Attempt
}

// MaySend tells whether another attempt may begin: one at a time, and where it may run at most once only if none may have.
func (r Request) MaySend() bool {
	return !r.Settled && !r.busy && (r.Idempotent || r.past == NotRun)
}

// Begin begins an attempt where that may be.
func (r Request) Begin() (Request, bool) {
	if !r.MaySend() {
		return r, false
	}
	r.busy, r.now = true, Attempt{}
	return r, true
}

// On is the request after an event of its present attempt. ok is false where bytes were to be written that must not be.
func (r Request) On(e Event) (after Request, ok bool) {
	if e == Writing && (!r.busy || r.Settled || r.now.Phase >= Begun) {
		return r, false
	}
	if !r.busy {
		return r, true
	}
	if r.now = r.now.After(e); r.now.Phase == Over {
		r.past, r.busy = max(r.past, r.now.Knowledge), false
	}
	return r, true
}

// Last is the present attempt, or the one that ended last.
func (r Request) Last() Attempt { return r.now }

// Known is what is known now.
func (r Request) Known() Knowledge {
	if r.busy {
		return max(r.past, r.now.Knowledge)
	}
	return r.past
}

// Settle closes the request, as its final answer is given: what is known then is right for ever, as nothing of it is written
// later.
func (r Request) Settle() Request {
	r.Settled = true
	return r
}

// MayRefuse tells whether a final answer may promise that the request has not run and never will.
func (r Request) MayRefuse() bool {
	return r.Settled && (r.Idempotent || r.Known() == NotRun)
}

// Promises tells whether a status promises that the request has not run and never will.
func Promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
