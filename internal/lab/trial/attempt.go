package trial

import (
	"fmt"
	"strings"
	"time"
)

// Outcome is how an attempt ended for its client.
type Outcome uint8

// The outcomes.
const (
	Complete        Outcome = iota // one complete answer came
	Truncated                      // the connection ended without a complete answer
	TimedOut                       // no complete answer came until the client's own deadline
	WriteFailed                    // the connection ended while the request was being written
	PipelinedBehind                // pipelined behind an answer that announced the connection's end, or behind a cut one
	Mismatched                     // an answer came that is not the one to this request
)

// Style is how a client uses its connections.
type Style string

// The styles, as reports name them.
const (
	KeepAlive  Style = "kept"      // one request after another on a connection
	Pipelined  Style = "pipelined" // several requests at once on a connection
	Idling     Style = "idle"      // requests with long pauses, some of about the idle timeout
	OneRequest Style = "fresh"     // a connection for each request
)

// Attempt is one request of a client as both its ends saw it. Times count from the start of the trial.
type Attempt struct {
	ID          string
	Proxy       int // the proxy that it was sent to
	Style       Style
	Idempotent  bool
	MaxAttempts int // hosts that it may be sent to
	Stream      bool
	Path        string
	IdleFor     time.Duration // how long its connection was idle before; 0 on a new one
	ConnectedAt time.Duration // when its connection was opened
	BeganAt     time.Duration // when its first byte was written

	SentAt   time.Duration // when its last byte was written
	EndedAt  time.Duration
	Deadline time.Duration // when its client gives up
	Timeout  time.Duration // the shortest timeout that its route may have had
	Outcome  Outcome
	Status   int    // 0 where no answer's head came
	Detail   string // the error, or what is wrong with the answer

	Host HostView
}

// String describes the attempt in one line, for violations.
func (a Attempt) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s safe=%v %s proxy %d: ", a.ID, a.Style, a.Idempotent, a.Path, a.Proxy)
	fmt.Fprintf(&b, "idle for %.3f s, began at %.3f s, sent at %.3f s, ended at %.3f s, ", a.IdleFor.Seconds(), a.BeganAt.Seconds(),
		a.SentAt.Seconds(), a.EndedAt.Seconds())
	fmt.Fprintf(&b, "deadline %.3f s, timeout %.1f s, ", a.Deadline.Seconds(), a.Timeout.Seconds())
	fmt.Fprintf(&b, "outcome %d, status %d, %q; hosts: %+v", a.Outcome, a.Status, a.Detail, a.Host)
	return b.String()
}

// HostView is what the hosts counted of one attempt.
type HostView struct {
	Arrivals  int           // requests that reached a host, also those that it rejected
	Ran       int           // of them, those that the host worked on
	BrokeOff  bool          // a host broke off by itself, or ended while it was at work
	Abandoned time.Duration // when a host's connection was closed while it was at work, 0 for never
	Garbled   bool          // the body that arrived was not the one that was sent
}

// SignalKind is a signal that the trial sends to processes.
type SignalKind uint8

// The signal kinds.
const (
	Hangup     SignalKind = iota // SIGHUP
	Terminated                   // SIGTERM
	Killed                       // SIGKILL
)

var signalNames = [...]string{Hangup: "SIGHUP", Terminated: "SIGTERM", Killed: "SIGKILL"}

// Signal is one signal that a process was sent.
type Signal struct {
	Proxy int // the proxy's number, -1 for a control process
	Kind  SignalKind
	At    time.Duration
	Until time.Duration // the process had ended by then; 0 where it goes on
}

// Interval is a span of time; both ends belong to it.
type Interval struct{ From, To time.Duration }

// contains reports whether a moment lies in the interval.
func (i Interval) contains(at time.Duration) bool { return i.From <= at && at <= i.To }
