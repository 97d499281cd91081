package decision

import (
	"slices"

	"portflow/internal/timerqueue"
)

// Request is a client's request as it comes in.
type Request struct {
	ID          uint32
	Class       int
	Customer    int
	Key         uint64     // for key affinity, 0 for none
	Remaining   int64      // nanoseconds until the client gives up
	Cost        int64      // expected work, 0 for unknown
	MaxAttempts int        // 0 for as many as the settings allow
	Filter      HostFilter // nil for none
}

// HostFilter says whether a request may go to a host now.
type HostFilter interface{ Allowed(host uint32) bool }

// Result is how an attempt ended.
type Result uint8

// The results, with what is known of whether the request ran.
const (
	Succeeded       Result = iota
	Failed                 // the host answered with an error: it may have run
	Rejected               // the host's queue was full: it never ran
	TimedOut               // no answer in time: it may have run
	ConnectFailed          // no connection: it never ran
	ConnectionReset        // the connection broke: it may have run
	Canceled               // canceled by this router: it may have run
	Unsent                 // nothing was sent: it never ran
	InvalidAnswer          // what came is no answer: it may have run
)

// neverRan says whether the result proves that the request did not run.
func (r Result) neverRan() bool { return r == Rejected || r == ConnectFailed || r == Unsent }

// request is an open request, or one of which an attempt is still in flight.
type request struct {
	id          uint32
	class       *class
	customer    int
	key         uint64
	cost        int64
	receivedAt  int64
	deadline    int64 // when the client gives up
	target      int64 // when its latency target is missed
	maxAttempts int
	filter      HostFilter

	attempts  []*attempt
	inFlight  int
	done      bool // no answer is owed any more
	streaming bool // its answer has begun to go to the client
	check     *timerqueue.Item[*request]

	// What is wanted and emitEffects has not emitted yet.
	next            *host // of the next attempt, nil for none
	attemptDeadline int64 // of the next attempt
	decidedAnswer   finalAnswer
}

// finalAnswer is an answer that this router gives itself.
type finalAnswer uint8

const (
	noAnswer finalAnswer = iota
	reject
	fail
)

type attempt struct {
	host      *host
	build     int
	startedAt int64
	deadline  int64
	number    int
	ended     bool
	notRun    bool // it is known that the request did not run
	canceled  bool
	binding   *binding // of its key to the build, nil for none
}

// firstPossibleRun is the first attempt that is in flight or may have run, nil if there is none.
func (r *request) firstPossibleRun() *attempt {
	for _, attempt := range r.attempts {
		if !attempt.notRun {
			return attempt
		}
	}
	return nil
}

func (r *request) triedOn(h *host) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.host == h })
}

// allows asks the request's filter, if it has one.
func (r *request) allows(h *host) bool { return r.filter == nil || r.filter.Allowed(h.id) }

// class is a request class with what was learned of it.
type class struct {
	RequestClass
	exposure *bucket    // attempts that it may send to the trial
	latency  float64    // mean latency of the earlier build, in nanoseconds
	cost     float64    // mean of the requests' expected work
	arrivals [2]float64 // decayed number of requests within quota, and over it
}
