// Package faults is the closed list of what can go wrong between the system and those who call it, and what each kind is
// answered with.
package faults

import (
	"errors"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Kind is a kind of error.
type Kind uint8

const (
	None       Kind = iota
	Unroutable      // no route has this place
	UnknownCall
	Malformed  // can't be read, or in two ways
	Oversized  // a body over the limit
	Overhead   // a head over the limit
	Invalid    // a configuration or an order that is wrong in itself
	Outdated   // a configuration behind what stands
	UnderWay   // the same order is being carried out
	Conflict   // the number has another content, for ever
	Missing    // what was asked after is not known
	Unready    // this process doesn't know enough yet, or hears too few others
	Crowded    // no host has room, or the request is worth less than those that have it
	OverShare  // its caller is over its share, and others need what is there
	Unserved   // no host of the service may be used at all
	Broken     // the host broke off, and the request may have run
	Late       // time is up, and the request may have run
	Expired    // time is up, and the request has not run
	Leaving    // this process ends
	Unbuilt    // this part doesn't exist yet
	Incomplete // a body that came too slowly or broke off: it was not run
	kinds
)

// Answer is what a kind is answered with.
type Answer struct {
	Name     string // of its counter
	Status   int
	Again    time.Duration // Retry-After, 0 for none
	Promised bool          // the status promises that the request has not run and never will
	Close    bool          // the connection ends, as where its bytes end is not sure
}

// answers is the table. 429, 503, 408 and 421 promise that nothing has run: only kinds that know so may have them.
var answers = [kinds]Answer{
	None:        {Name: "none", Status: 200},
	Unroutable:  {Name: "unroutable", Status: 404},
	UnknownCall: {Name: "unknown_call", Status: 404},
	Malformed:   {Name: "malformed", Status: 400, Close: true},
	Oversized:   {Name: "oversized", Status: 413, Close: true},
	Overhead:    {Name: "overhead", Status: 431, Close: true},
	Invalid:     {Name: "invalid", Status: 400},
	Outdated:    {Name: "outdated", Status: 409},
	Conflict:    {Name: "conflict", Status: 409},
	UnderWay:    {Name: "under_way", Status: 409, Again: time.Second / 2},
	Missing:     {Name: "missing", Status: 404},
	Unready:     {Name: "unready", Status: 503, Again: time.Second / 4, Promised: true},
	Crowded:     {Name: "crowded", Status: 503, Again: time.Second / 5, Promised: true},
	OverShare:   {Name: "over_share", Status: 429, Again: time.Second, Promised: true},
	Unserved:    {Name: "unserved", Status: 503, Again: time.Second / 4, Promised: true},
	Broken:      {Name: "broken", Status: 502},
	Late:        {Name: "late", Status: 504},
	Expired:     {Name: "expired", Status: 503, Promised: true},
	Leaving:     {Name: "leaving", Status: 503, Again: time.Second / 5, Promised: true, Close: true},
	Unbuilt:     {Name: "unbuilt", Status: 501},
	Incomplete:  {Name: "incomplete", Status: 408, Promised: true, Close: true},
}

// Answer looks a kind up.
func (k Kind) Answer() Answer { return answers[min(k, kinds-1)] }

func (k Kind) String() string { return k.Answer().Name }

// All are the kinds, in the order of the list.
func All() (all []Kind) {
	for k := None; k < kinds; k++ {
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

// Of is an error's kind; one without is malformed input.
func Of(err error) Kind {
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
