package trial

import (
	"net/http"
	"time"
)

// Terms are the bounds by which attempts are judged.
type Terms struct {
	Grace         time.Duration // from SIGTERM to SIGKILL
	LossSlack     time.Duration // in which a request may cross the end of its connection
	Idle          time.Duration // the shortest idle timeout that operators set
	Configuration time.Duration // from a change's acknowledgement until it is in force everywhere
}

// Violation is one broken rule.
type Violation struct {
	Rule   string
	Detail string
}

func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// Judge decides whether attempts broke rules. It is pure: it knows what signal each proxy was sent when, and nothing else.
type Judge struct {
	Terms     Terms
	SignalLog []Signal
}

// promisesNotRun reports whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// blamesRequest reports whether a status blames the request itself, which no request of a trial deserves.
func blamesRequest(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return true
	}
	return false
}

// Violations returns the rules that an attempt broke.
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
		add("TWICE: more runs than attempts were allowed")
	}
	if a.Outcome == Complete {
		if rule := brokenAnswerRule(a); rule != "" {
			add(rule)
		}
	}
	if a.Host.Garbled {
		add("SPOILT: a host got another body than was sent")
	}
	return all
}

// earlyTolerance is by how much sooner than its time a request may be answered with 504: its time began before its last byte was sent.
const earlyTolerance = 100 * time.Millisecond

// brokenAnswerRule returns the rule that an answer of the proxy's own broke, empty for none. Clients of a trial keep to all limits.
func brokenAnswerRule(a Attempt) string {
	switch {
	case !a.Idempotent && promisesNotRun(a.Status) && a.Host.Ran > 0:
		return "REFUSED: an unsafe request is said not to have run, though a host ran it"
	case blamesRequest(a.Status):
		return "DENIED: a proper request is refused"
	case a.Status == http.StatusBadGateway && a.Host.Ran > 0 && !a.Host.BrokeOff:
		return "BROKEN: 502 though no host broke off"
	case a.Status == http.StatusGatewayTimeout && a.EndedAt < a.Deadline-earlyTolerance && a.EndedAt-a.BeganAt < a.Timeout-earlyTolerance:
		return "LATE: 504 before its time was up"
	}
	return ""
}
