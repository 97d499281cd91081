package trial

import (
	"net/http"
	"time"
)

// Terms are the bounds that Judge applies.
type Terms struct {
	Grace         time.Duration // time from SIGTERM to SIGKILL
	LossSlack     time.Duration // time after sending within which a request may be lost to a concurrent close of its connection
	Idle          time.Duration // shortest idle timeout that operators configure
	Configuration time.Duration // time from the acknowledgement of a change until all proxies apply it
	Drain         time.Duration // time from the acknowledgement of a host's departure until it gets no more requests
	Contact       time.Duration // time without a disturbance after which a process is in touch
}

// Violation reports a broken rule.
type Violation struct {
	Rule   string
	Detail string
}

// String returns the rule and the detail.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// Judge decides which rules an attempt broke. It does no I/O and depends only on the terms and on the signal log.
type Judge struct {
	Terms     Terms
	SignalLog []Signal
}

// promisesNotRun reports whether a status promises that the request did not run and will not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// blamesRequest reports whether a status claims that the request is at fault. The requests of a trial are valid and within all limits.
func blamesRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}

// Violations returns one violation for each rule that an attempt broke.
func (j Judge) Violations(a Attempt) (all []Violation) {
	add := func(rule string) {
		all = append(all, Violation{rule, a.String()})
	}
	cause := j.Cause(a)
	switch cause {
	case CutForwarded, CutForwardedShutdown, CutLate, CutLateShutdown, WrongAnswer:
		add(string(cause))
	}
	switch h := a.Host; {
	case !a.Idempotent && h.Ran > 1:
		add("TWICE: an unsafe request ran more than once")
	case h.Arrivals > max(1, a.MaxAttempts) && h.Ran > max(1, a.MaxAttempts):
		add("TWICE: a request ran more often than its maximum number of attempts")
	}
	if a.Outcome == Complete {
		if rule := brokenAnswerRule(a); rule != "" {
			add(rule)
		}
	}
	if a.Host.Garbled {
		add("SPOILT: a host received a body that differs from the one sent")
	}
	return all
}

// earlyTolerance is how long before its timeout a request may be answered with 504. The proxy's timer starts before the client has sent
// the last byte.
const earlyTolerance = 100 * time.Millisecond

// brokenAnswerRule returns the rule that the status of a complete response breaks, or "".
func brokenAnswerRule(a Attempt) string {
	switch {
	case !a.Idempotent && promisesNotRun(a.Status) && a.Host.Ran > 0:
		return "REFUSED: the status promises that an unsafe request did not run, but a host ran it"
	case blamesRequest(a.Status):
		return "DENIED: a valid request was rejected"
	case a.Status == http.StatusBadGateway && a.Host.Ran > 0 && !a.Host.BrokeOff:
		return "BROKEN: 502 although no host aborted the request"
	case a.Status == http.StatusGatewayTimeout && a.EndedAt < a.Deadline-earlyTolerance && a.EndedAt-a.BeganAt < a.Timeout-earlyTolerance:
		return "LATE: 504 before the timeout expired"
	}
	return ""
}
