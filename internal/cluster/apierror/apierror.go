// Package apierror is the closed list of what can go wrong between the system and those who call it, and what each kind is
// answered with.
package apierror

import (
	"errors"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Kind is a kind of error.
type Kind uint8

const (
	None    Kind = iota
	NoRoute      // no route has this place
	UnknownCall
	Malformed        // can't be read, or in two ways
	BodyTooLarge     // a body over the limit
	HeaderTooLarge   // a head over the limit
	Invalid          // a configuration or an order that is wrong in itself
	Outdated         // a configuration behind what stands
	InProgress       // the same order is being carried out
	Conflict         // the number has another content, for ever
	NotFound         // what was asked after is not known
	Unavailable      // this process doesn't know enough yet, or hears too few others
	Overloaded       // no host has room, or the request is worth less than those that have it
	QuotaExceeded    // its caller is over its share, and others need what is there
	NoService        // no host of the service may be used at all
	UpstreamBroken   // the host broke off, and the request may have run
	UpstreamTimeout  // time is up, and the request may have run
	DeadlineExceeded // time is up, and the request has not run
	ShuttingDown     // this process ends
	NotImplemented   // this part doesn't exist yet
	Incomplete       // a body that came too slowly or broke off: it was not run
	kindCount
)

// Response is what a kind is answered with.
type Response struct {
	Name            string // of its counter
	Status          int
	RetryAfter      time.Duration // Retry-After, 0 for none
	NotExecuted     bool          // the status promises that the request has not run and never will
	CloseConnection bool          // the connection ends, as where its bytes end is not sure
}

// responses is the table. 429, 503, 408 and 421 promise that nothing has run: only kinds that know so may have them.
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

// Response looks a kind up.
func (k Kind) Response() Response { return responses[min(k, kindCount-1)] }

func (k Kind) String() string { return k.Response().Name }

// All are the kinds, in the order of the list.
func All() (all []Kind) {
	for k := None; k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}

// RetryAfter is the header's value in seconds, fractions included.
func RetryAfter(wait time.Duration) string { return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) }

// New makes an error of a kind.
func New(k Kind, format string, args ...any) error { return oops.Code(k).Errorf(format, args...) }

// Wrap gives an error a kind.
func Wrap(k Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return oops.Code(k).Wrapf(err, format, args...)
}

// KindOf is an error's kind; one without is malformed input.
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
