package attempt

// Event is something that happened to an attempt, as its connection or its caller reports it.
type Event uint8

// The events of an attempt. Those from RejectedByHost to UnexpectedBytes must stay consecutive, as isResponse tests for this range.
const (
	ConnectFailed   Event = iota // no connection: refused, timed out, or no free connection slot
	Connected                    // the attempt has a connection; nothing is written yet
	WriteStarted                 // the first bytes are being passed to the connection
	WroteNone                    // the connection failed before it accepted any byte
	WrotePart                    // the connection accepted part of the request
	WroteAll                     // the connection accepted the entire request
	RejectedByHost               // response with the request's ID and Request-Not-Run
	Misdirected                  // response with the request's ID and status 421
	Answered                     // any other complete response with the request's ID
	WrongID                      // response with a different ID, or with none
	Truncated                    // response that ended early
	UnexpectedBytes              // bytes that are not a valid response
	ConnectionReset              // the connection broke
	TimedOut                     // the attempt timed out
	Canceled                     // the attempt is no longer needed
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

// Events returns all events in ascending order.
func Events() (all []Event) {
	for e := range eventCount {
		all = append(all, e)
	}
	return all
}

// isResponse reports whether the event means that the host sent bytes.
func (e Event) isResponse() bool { return e >= RejectedByHost && e <= UnexpectedBytes }
