// Package apierror defines the kinds of errors that proxies and control processes return to clients, and the HTTP response for each kind.
package apierror

import (
	"errors"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Kind classifies an error by its HTTP response. The zero value is None.
type Kind uint8

// The kinds of errors.
const (
	None    Kind = iota
	NoRoute      // no route matches the request
	UnknownCall
	Malformed        // the request can't be parsed, or is ambiguous
	BodyTooLarge     // the body exceeds its size limit
	HeaderTooLarge   // the header exceeds its size limit
	Invalid          // the request is well-formed, but its content is not valid
	Outdated         // the configuration is older than the current one
	InProgress       // an earlier operation on the same object is still in progress
	Conflict         // the version already exists with other content, so a retry can't succeed
	NotFound         // the object does not exist
	Unavailable      // this process is not ready, or is connected to too few others
	Overloaded       // no capacity for the request: it was shed, or there is no memory for its body
	QuotaExceeded    // the caller is over its quota, and other callers need the capacity
	NoService        // this proxy does not know the service that the route refers to
	UpstreamBroken   // the host failed, and the request may have been executed
	UpstreamTimeout  // the deadline has passed, and the request may have been executed
	DeadlineExceeded // the deadline has passed, and the request has not been executed
	ShuttingDown     // this process is shutting down
	NotImplemented   // the function is not implemented
	Incomplete       // the body was too slow or was truncated, and the request was not executed
	kindCount
)

// Response is the HTTP response for a kind of error.
type Response struct {
	Name            string // name in counters and in the error responses of control processes
	Status          int
	RetryAfter      time.Duration // value of the Retry-After header; 0 for no header
	NotExecuted     bool          // the status guarantees that the request has not been executed and never will be
	CloseConnection bool          // close the connection after the response, for example because the end of the request is unknown
}

// responses is indexed by Kind. The statuses 408, 421, 429 and 503 guarantee that the request has not been executed, so only kinds for
// which this is certain may use them.
var responses = [kindCount]Response{
	None:             {Name: "none", Status: 200},
	NoRoute:          {Name: "unroutable", Status: 404},
	UnknownCall:      {Name: "unknown_call", Status: 404},
	Malformed:        {Name: "malformed", Status: 400, CloseConnection: true},
	BodyTooLarge:     {Name: "oversized", Status: 413, CloseConnection: true},
	HeaderTooLarge:   {Name: "overhead", Status: 431, CloseConnection: true},
	Invalid:          {Name: "invalid", Status: 400},
	Outdated:         {Name: "outdated", Status: 409},
	Conflict:         {Name: "conflict", Status: 409},
	InProgress:       {Name: "under_way", Status: 409, RetryAfter: time.Second / 2},
	NotFound:         {Name: "missing", Status: 404},
	Unavailable:      {Name: "unready", Status: 503, RetryAfter: time.Second / 4, NotExecuted: true},
	Overloaded:       {Name: "crowded", Status: 503, RetryAfter: time.Second / 5, NotExecuted: true},
	QuotaExceeded:    {Name: "over_share", Status: 429, RetryAfter: time.Second, NotExecuted: true},
	NoService:        {Name: "unserved", Status: 503, RetryAfter: time.Second / 4, NotExecuted: true},
	UpstreamBroken:   {Name: "broken", Status: 502},
	UpstreamTimeout:  {Name: "late", Status: 504},
	DeadlineExceeded: {Name: "expired", Status: 503, NotExecuted: true},
	ShuttingDown:     {Name: "leaving", Status: 503, RetryAfter: time.Second / 5, NotExecuted: true, CloseConnection: true},
	NotImplemented:   {Name: "unbuilt", Status: 501},
	Incomplete:       {Name: "incomplete", Status: 408, NotExecuted: true, CloseConnection: true},
}

// Response returns the response for k, or for an undefined kind that of the last defined one.
func (k Kind) Response() Response { return responses[min(k, kindCount-1)] }

func (k Kind) String() string { return k.Response().Name }

// All returns all kinds in the order of their values, including None.
func All() (all []Kind) {
	for k := None; k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}

// RetryAfter formats a delay as the value of a Retry-After header, in seconds with three decimal places.
func RetryAfter(wait time.Duration) string { return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) }

// New returns a formatted error of kind k.
func New(k Kind, format string, args ...any) error { return oops.Code(k).Errorf(format, args...) }

// Wrap returns an error that wraps err, with a formatted message before that of err. Its kind is k, unless err has a kind already. Wrap
// returns nil if err is nil.
func Wrap(k Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return oops.Code(k).Wrapf(err, format, args...)
}

// KindOf returns the kind that New or Wrap gave to err or to an error that it wraps; the innermost kind if there are several. It is None
// for nil, and Malformed for an error without a kind.
func KindOf(err error) Kind {
	var o oops.OopsError
	if errors.As(err, &o) {
		if k, ok := o.Code().(Kind); ok {
			return k
		}
	}
	if err == nil {
		return None
	}
	return Malformed
}
