package trial

import (
	"fmt"
	"strings"
	"time"
)

// Outcome is the result of an attempt as its client saw it.
type Outcome uint8

// Values of Outcome.
const (
	Complete        Outcome = iota // the client received one complete response
	Truncated                      // the connection closed before the response was complete
	TimedOut                       // the response was incomplete at the client's own deadline
	WriteFailed                    // the connection closed while the request was being written
	PipelinedBehind                // pipelined behind a response that announced the close, or behind a request that failed
	Mismatched                     // the response does not belong to this request
)

// Style is how a client uses its connections.
type Style string

// Values of Style; reports contain them as they are.
const (
	KeepAlive  Style = "kept"      // one request after another on a connection, up to a maximum
	Persistent Style = "held"      // one request after another on a connection until the proxy closes it
	Pipelined  Style = "pipelined" // several requests on a connection without waiting for responses
	Idling     Style = "idle"      // long pauses between requests, some close to the idle timeout
	OneRequest Style = "fresh"     // a new connection for each request
)

// Attempt is one client request as seen by the client and by the hosts. Points in time are offsets from the start of the trial.
type Attempt struct {
	ID          string
	Proxy       int // index of the proxy
	Style       Style
	Idempotent  bool
	MaxAttempts int // maximum number of hosts that the proxy may try
	Stream      bool
	Path        string
	IdleFor     time.Duration // idle time of the connection before the request; 0 for a new connection
	ConnectedAt time.Duration // when the client began to open the connection
	BeganAt     time.Duration // when the client began to write the request

	SentAt    time.Duration // when the write of the request returned
	EndedAt   time.Duration
	Deadline  time.Duration // when the client gives up
	Remaining time.Duration // what the request's header says of that, from when the proxy reads it
	Timeout   time.Duration // the shortest timeout that the route may have had
	Outcome   Outcome
	Status    int    // 0 if no response header was read
	Detail    string // the error, or how the response differs from the expected one

	Host HostView
}

// String formats the attempt as one line, for the details of violations.
func (a Attempt) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s safe=%v %s proxy %d: ", a.ID, a.Style, a.Idempotent, a.Path, a.Proxy)
	fmt.Fprintf(&b, "idle for %.3f s, began at %.3f s, sent at %.3f s, ended at %.3f s, ", a.IdleFor.Seconds(), a.BeganAt.Seconds(),
		a.SentAt.Seconds(), a.EndedAt.Seconds())
	fmt.Fprintf(&b, "deadline %.3f s, remaining %.3f s, timeout %.1f s, ", a.Deadline.Seconds(), a.Remaining.Seconds(), a.Timeout.Seconds())
	fmt.Fprintf(&b, "outcome %d, status %d, %q; hosts: %+v", a.Outcome, a.Status, a.Detail, a.Host)
	return b.String()
}

// HostView is what all hosts together recorded of one attempt. Its field names appear in the details of violations.
type HostView struct {
	Arrivals  int           // requests that reached a host, including rejected ones
	Ran       int           // arrivals that a host processed
	BrokeOff  bool          // a host aborted the request, or shut down while processing it
	Abandoned time.Duration // when the proxy closed the connection to a host that was processing the request; 0 for never
	Garbled   bool          // a host received a body that differs from the one sent

	ShuttingDown bool // a host processed it while it was shutting down
}

// SignalKind is the kind of a signal that a process receives.
type SignalKind uint8

// Values of SignalKind.
const (
	Hangup     SignalKind = iota // SIGHUP
	Terminated                   // SIGTERM
	Killed                       // SIGKILL
	Stopped                      // SIGSTOP
	Continued                    // SIGCONT
	Started                      // no signal: the process was started
)

var signalNames = [...]string{
	Hangup:     "SIGHUP",
	Terminated: "SIGTERM",
	Killed:     "SIGKILL",
	Stopped:    "SIGSTOP",
	Continued:  "SIGCONT",
	Started:    "start",
}

// ends reports whether a process that receives the signal is to exit.
func (k SignalKind) ends() bool { return k == Terminated || k == Killed }

// disturbs reports whether a process that receives the signal is out of touch for some time.
func (k SignalKind) disturbs() bool { return k != Hangup }

// Signal records one signal that was sent to a process.
type Signal struct {
	Proxy int // index of the proxy, or controlProcess
	Kind  SignalKind
	At    time.Duration
	Until time.Duration // when delivery returned, by which time a terminated or killed process had exited
}

// controlProcess stands for the index of a proxy if a signal was sent to a control process.
const controlProcess = -1

// Interval is a closed interval of time, as offsets from the start of the trial.
type Interval struct{ From, To time.Duration }

func (i Interval) contains(at time.Duration) bool { return i.From <= at && at <= i.To }
