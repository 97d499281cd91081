package dispatch

import (
	"time"

	"portflow/internal/decision"
	"portflow/internal/retryguard"
)

// Request is a client's request as it is forwarded to hosts.
type Request struct {
	Method, Target          string // the target is the path with its query, as it came
	TraceID, IdempotencyKey string // the id of this request, and the key of one that is idempotent by key
	Body                    []byte
	Class, Customer         int // by position, for what counts traffic
	Payload                 any // what upstream protocols need besides
}

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Body       []byte        // of a request that succeeded
	RetryAfter time.Duration // when a rejected request may be sent again
	Reply      any           // what the last attempt brought besides, nil for nothing
}

// AnswerKind tells the three final answers apart.
type AnswerKind uint8

// The final answers.
const (
	Succeeded AnswerKind = iota // a host answered
	Rejected                    // shed: the client may send it again
	Failed                      // it was attempted, and no good answer came
)

// Responder takes the final answer to a request. Respond must not block.
type Responder interface{ Respond(Answer) }

// AnswerChan is a Responder. It needs room for one answer.
type AnswerChan chan Answer

var _ Responder = AnswerChan(nil)

// Respond implements Responder.
func (c AnswerChan) Respond(a Answer) { c <- a }

// Call is a request with all that the dispatcher knows of it until it is answered and its attempts have ended. Its maker
// sets the exported fields; the others belong to the dispatcher's goroutine.
type Call struct {
	Class, Customer int
	Key             uint64
	Deadline        int64 // on the Clock
	Retried         bool  // the client says that it has sent the request before
	Request         *Request
	Responder       Responder       // is given one answer, or none if the client has gone
	MaxAttempts     int             // 0 for as many as the settings allow
	Allowed         func(Host) bool // whether it may go to a host now, nil for any

	lastReply    any
	guardRequest retryguard.Request
	id           uint32 // 0 until the decision engine has it
	done         bool   // it was answered, or needs no answer any more
	attempts     []callAttempt
	inFlight     int
}

type callAttempt struct {
	handle    Attempt
	startedAt int64
	host      uint32
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result     decision.Result
	Body       []byte    // the complete body of a host's good answer
	LoadReport []float64 // a load report that came with the answer
	Reply      any       // what else the upstream protocol has for the call's maker
}

// respond gives the final answer. An attempt of which nothing has been written by then never is.
func (c *Call) respond(a Answer) {
	c.finish()
	c.Responder.Respond(a)
}

// finish marks that no answer is owed any more.
func (c *Call) finish() {
	c.done = true
	for _, attempt := range c.attempts {
		attempt.handle.CancelUnsent()
	}
}
