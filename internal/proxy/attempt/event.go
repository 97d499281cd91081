package attempt

// Event is what a connection tells of an attempt.
type Event uint8

// The events of an attempt. Next relies on the order of those from WrotePart to WroteAll, and from RejectedByHost to UnexpectedBytes.
const (
	ConnectFailed   Event = iota // no connection: refused, not in time, or no slot for one
	Connected                    // a connection is there, nothing is written
	WriteStarted                 // the first bytes are handed to the connection
	WroteNone                    // the connection accepted none of them, and has ended
	WrotePart                    // it accepted some
	WroteAll                     // it accepted all
	RejectedByHost               // an answer with the request's id and Request-Not-Run
	Misdirected                  // an answer with the request's id and 421
	Answered                     // any other complete answer with the request's id
	WrongID                      // an answer with another id, or with none
	Truncated                    // an answer that breaks off
	UnexpectedBytes              // bytes that are no answer
	ConnectionReset              // the connection broke
	TimedOut                     // the request's time is up
	Canceled                     // nobody wants it any more
	eventCount
)

var eventNames = [eventCount]string{
	ConnectFailed:   "connect refused",
	Connected:       "connected",
	WriteStarted:    "writing",
	WroteNone:       "wrote none",
	WrotePart:       "wrote part",
	WroteAll:        "wrote all",
	RejectedByHost:  "Request-Not-Run",
	Misdirected:     "421",
	Answered:        "answered",
	WrongID:         "wrong id",
	Truncated:       "cut body",
	UnexpectedBytes: "extra bytes",
	ConnectionReset: "reset",
	TimedOut:        "silence",
	Canceled:        "cancel",
}

func (e Event) String() string { return eventNames[min(e, eventCount-1)] }

// Events are all events, in their order.
func Events() (all []Event) {
	for e := range eventCount {
		all = append(all, e)
	}
	return all
}

// isResponse reports whether bytes came from the host.
func (e Event) isResponse() bool { return e >= RejectedByHost && e <= UnexpectedBytes }
