package trial

import "time"

// Outcome is how an attempt ended for its client.
type Outcome uint8

const (
	Complete Outcome = iota // one whole answer came
	Cut                     // the connection ended without a whole answer
	Silent                  // no whole answer came until the client's own deadline
	Unsent                  // the connection ended while the request was being written
	Behind                  // pipelined behind an answer that announced the connection's end, or behind a cut
	Garbled                 // an answer came that is not the one to this request
)

// Style is how a client uses its connections.
type Style string

const (
	Kept      Style = "kept"
	Pipelined Style = "pipelined"
	Resting   Style = "idle"
	Fresh     Style = "fresh"
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
	Rested      time.Duration // its connection, before it was written; 0 on a new one
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

// HostView is what the hosts counted of one attempt.
type HostView struct {
	Arrivals  int           // requests that reached a host, also those that it rejected
	Ran       int           // of them, those that the host worked on
	BrokeOff  bool          // a host broke off by itself, or ended while it was at work
	Abandoned time.Duration // when a host's connection was closed while it was at work, 0 for never
	Garbled   bool          // the body that arrived was not the one that was sent
}

// Disturbance is what was done to a process.
type Disturbance uint8

const (
	Hangup Disturbance = iota
	Terminated
	Killed
)

var disturbanceNames = [...]string{Hangup: "SIGHUP", Terminated: "SIGTERM", Killed: "SIGKILL"}

// Signal is one signal that a proxy was sent.
type Signal struct {
	Proxy int
	Kind  Disturbance
	At    time.Duration
	Until time.Duration // the process had ended by then; 0 where it goes on
}

// Interval is a stretch of time.
type Interval struct{ From, To time.Duration }

// contains reports whether a moment lies in the interval.
func (i Interval) contains(at time.Duration) bool { return i.From <= at && at <= i.To }
