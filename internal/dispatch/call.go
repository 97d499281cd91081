package dispatch

import (
	"time"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Request is a client request in the form in which it is forwarded to hosts.
type Request struct {
	Method, Target          string // Target is the path with the query, as received
	TraceID, IdempotencyKey string // IdempotencyKey is set for requests that are idempotent by key
	Body                    []byte
	Class, Customer         int // indexes into the settings, for traffic counters
	Payload                 any // additional data for the upstream protocol
}

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Body       []byte        // the response body, if Kind is Succeeded
	RetryAfter time.Duration // if Kind is Rejected, the delay before the client may retry
	Reply      any           // Outcome.Reply of the attempt that succeeded or else of the last one that ended; may be nil
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of final answers.
const (
	Succeeded AnswerKind = iota // a host answered successfully
	Rejected                    // shed; the client may send the request again
	Failed                      // attempted, without a successful answer
)

// Responder receives the final answer to a request. Respond must not block.
type Responder interface{ Respond(Answer) }

// AnswerChan is a Responder that sends the answer to a channel. The channel must have a buffer for one answer.
type AnswerChan chan Answer

var _ Responder = AnswerChan(nil)

// Respond implements Responder.
func (c AnswerChan) Respond(a Answer) { c <- a }

// Call is a request and its state in the dispatcher, which keeps it until it is done and its attempts have ended. The creator
// sets the exported fields; the others belong to the dispatcher's goroutine.
type Call struct {
	Class, Customer int
	Key             uint64
	Deadline        int64 // on the dispatcher's Clock
	Retried         bool  // the client marked the request as a retry
	Request         *Request
	Responder       Responder       // receives one answer, or none after ClientGone or StreamStarted
	MaxAttempts     int             // 0 for the limit of the settings
	Allowed         func(Host) bool // reports whether the call may go to a host now; nil allows every host

	lastReply    any
	guardRequest retryguard.Request
	id           uint32 // 0 until the call is passed to the decision engine
	done         bool   // answered, or needs no answer anymore
	attempts     []callAttempt
	inFlight     int
}

type callAttempt struct {
	handle    Attempt
	startedAt int64
	host      uint32
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	Result     decision.Result
	Body       []byte    // the complete body of a successful response
	LoadReport []float64 // the load report in the response, if any
	Reply      any       // additional data of the upstream protocol for the creator of the call
}

// respond sends the final answer and cancels the attempts that have not been written yet.
func (c *Call) respond(a Answer) {
	c.finish()
	c.Responder.Respond(a)
}

// finish marks the call as done and cancels the attempts that have not been written yet.
func (c *Call) finish() {
	c.done = true
	for _, attempt := range c.attempts {
		attempt.handle.CancelUnsent()
	}
}
