package trial

import (
	"fmt"
	"time"
)

// Terms are the bounds that the judgement goes by.
type Terms struct {
	Grace         time.Duration // from SIGTERM to SIGKILL
	LossSlack     time.Duration // in which a request may cross the end of its connection
	Idle          time.Duration // the shortest idle timeout that operators set
	Configuration time.Duration // from a change's acknowledgement until it is in force everywhere
}

// Cause is why an attempt ended without a whole answer, or that it did not.
type Cause string

const (
	Answered        Cause = "answered"
	HostBrokeOff    Cause = "host broke off"
	TimeUp          Cause = "cut once its time was up"
	GivenUp         Cause = "no answer until its client gave up"
	ProxyKilled     Cause = "proxy killed"
	LateInGrace     Cause = "at work at the end of the grace"
	Crossed         Cause = "crossed the end of its connection, not passed on"
	IdledOut        Cause = "sent as its connection idled out, not passed on"
	CrossedEnding   Cause = "crossed the end of a terminated proxy's connection, not passed on"
	NotWritten      Cause = "connection ended while it was written, not passed on"
	BehindEnd       Cause = "pipelined behind the end of its connection, not passed on"
	CutPassedOn     Cause = "LOST: cut after it was passed on"
	CutEnding       Cause = "LOST: cut by a terminated proxy after it was passed on"
	CutLate         Cause = "LOST: cut later than the slack, not passed on"
	CutLateEnding   Cause = "LOST: cut by a terminated proxy later than the slack, not passed on"
	AnsweredWrongly Cause = "LOST: not the answer to this request"
)

// Violation is one broken rule.
type Violation struct {
	Rule   string
	Detail string
}

func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// Judge decides on attempts. It is pure: it knows the signals that proxies were sent, and nothing else.
type Judge struct {
	Terms   Terms
	Signals []Signal
}

// Cause tells why an attempt ended as it did.
func (j Judge) Cause(a Attempt) Cause {
	switch a.Outcome {
	case Complete:
		return Answered
	case Garbled:
		return AnsweredWrongly
	}
	passedOn := a.Host.Arrivals > 0
	terminated, kill := j.ending(a)
	switch {
	case kill:
		return ProxyKilled
	case a.Host.BrokeOff:
		return HostBrokeOff
	case a.Outcome == Silent:
		return GivenUp
	case a.EndedAt >= a.Deadline || a.EndedAt-a.BeganAt >= a.Timeout: // a proxy's time begins with the head
		return TimeUp
	case a.Outcome == Unsent && !passedOn:
		return NotWritten
	case a.Outcome == Behind && !passedOn:
		return BehindEnd
	case passedOn && terminated != nil && j.lateInGrace(a, *terminated):
		return LateInGrace
	case passedOn && terminated != nil:
		return CutEnding
	case passedOn:
		return CutPassedOn
	case a.Rested > j.Terms.Idle*4/5: // longer than clients may rest: the proxy had closed by its limits and never read it
		return IdledOut
	case a.EndedAt-a.SentAt > j.Terms.LossSlack && terminated != nil:
		return CutLateEnding
	case a.EndedAt-a.SentAt > j.Terms.LossSlack:
		return CutLate
	case terminated != nil:
		return CrossedEnding
	}
	return Crossed
}

// ending finds the SIGTERM within whose time an attempt ended, and tells whether the proxy was killed just then.
func (j Judge) ending(a Attempt) (terminated *Signal, killed bool) {
	for n, s := range j.Signals {
		if s.Proxy != a.Proxy {
			continue
		}
		during := a.ConnectedAt <= s.Until && s.At <= a.EndedAt // its connection ended with the process, whenever the client noticed
		switch s.Kind {
		case Killed:
			killed = killed || during
		case Terminated:
			if during {
				terminated = &j.Signals[n]
			}
		}
	}
	return terminated, killed
}

// lateInGrace reports whether a host was still at work in the last sixth of the grace on a request that was sent no later than 3 s
// after the SIGTERM.
func (j Judge) lateInGrace(a Attempt, s Signal) bool {
	return a.SentAt <= s.At+3*time.Second && a.EndedAt >= s.At+j.Terms.Grace*5/6
}

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Violations tells which rules an attempt broke.
func (j Judge) Violations(a Attempt) (all []Violation) {
	add := func(rule string) {
		all = append(all, Violation{rule, a.String()})
	}
	switch cause := j.Cause(a); cause {
	case CutPassedOn, CutEnding, CutLate, CutLateEnding, AnsweredWrongly:
		add(string(cause))
	}
	switch h := a.Host; {
	case !a.Idempotent && h.Ran > 1:
		add("TWICE: an unsafe request ran more than once")
	case h.Arrivals > max(1, a.MaxAttempts) && h.Ran > max(1, a.MaxAttempts):
		add("TWICE: more runs than attempts were allowed")
	}
	if a.Outcome == Complete {
		if rule := refusal(a); rule != "" {
			add(rule)
		}
	}
	if a.Host.Garbled {
		add("SPOILT: a host got another body than was sent")
	}
	return all
}

// early is by how much sooner than its time a request may be answered with 504: its time began before its last byte was sent.
const early = 100 * time.Millisecond

// refusal tells which rule an answer of the proxy's own broke, empty for none. Clients of a trial keep to all limits.
func refusal(a Attempt) string {
	switch {
	case !a.Idempotent && promises(a.Status) && a.Host.Ran > 0:
		return "REFUSED: an unsafe request is said not to have run, though a host ran it"
	case a.Status == 400, a.Status == 408, a.Status == 413, a.Status == 431:
		return "DENIED: a proper request is refused"
	case a.Status == 502 && a.Host.Ran > 0 && !a.Host.BrokeOff:
		return "BROKEN: 502 though no host broke off"
	case a.Status == 504 && a.EndedAt < a.Deadline-early && a.EndedAt-a.BeganAt < a.Timeout-early:
		return "LATE: 504 before its time was up"
	}
	return ""
}

func (a Attempt) String() string {
	return fmt.Sprintf("%s %s safe=%v %s proxy %d: rested %.3f s, began at %.3f s, sent at %.3f s, ended at %.3f s, deadline %.3f s, timeout %.1f s, outcome %d, status %d, %q; hosts: %+v",
		a.ID, a.Style, a.Idempotent, a.Path, a.Proxy, a.Rested.Seconds(), a.BeganAt.Seconds(), a.SentAt.Seconds(), a.EndedAt.Seconds(), a.Deadline.Seconds(), a.Timeout.Seconds(), a.Outcome, a.Status,
		a.Detail, a.Host)
}
