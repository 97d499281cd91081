package trial

import "time"

// Cause is why an attempt ended without a complete answer, or that it did not. The texts stand in reports.
type Cause string

// The causes. Those that begin with LOST are violations.
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

// forwardableAfterTerm is how long after a SIGTERM a request may be sent and still be excused at the end of the grace.
const forwardableAfterTerm = 3 * time.Second

// Cause returns why an attempt ended as it did.
func (j Judge) Cause(a Attempt) Cause {
	switch a.Outcome {
	case Complete:
		return Answered
	case Mismatched:
		return AnsweredWrongly
	}
	terminated, killed := j.endingSignal(a)
	if killed {
		return ProxyKilled
	}
	if cause, found := excuse(a); found {
		return cause
	}
	if a.Host.Arrivals > 0 {
		return j.causeForwarded(a, terminated)
	}
	return j.causeNotForwarded(a, terminated)
}

// excuse returns a cause that holds whether or not a host received the request.
func excuse(a Attempt) (cause Cause, found bool) {
	switch {
	case a.Host.BrokeOff:
		return HostBrokeOff, true
	case a.Outcome == TimedOut:
		return GivenUp, true
	case a.EndedAt >= a.Deadline, a.EndedAt-a.BeganAt >= a.Timeout: // a proxy's time begins with the request's head
		return TimeUp, true
	}
	return "", false
}

// causeForwarded returns the cause for a request that a host received; terminated is nil if the proxy got no SIGTERM.
func (j Judge) causeForwarded(a Attempt, terminated *Signal) Cause {
	switch {
	case terminated == nil:
		return CutPassedOn
	case j.lateInGrace(a, *terminated):
		return LateInGrace
	}
	return CutEnding
}

// causeNotForwarded returns the cause for a request that no host received; terminated is nil if the proxy got no SIGTERM.
func (j Judge) causeNotForwarded(a Attempt, terminated *Signal) Cause {
	late := a.EndedAt-a.SentAt > j.Terms.LossSlack
	switch {
	case a.Outcome == WriteFailed:
		return NotWritten
	case a.Outcome == PipelinedBehind:
		return BehindEnd
	case a.IdleFor > j.Terms.Idle*4/5: // longer than clients may idle: the proxy had closed by its limits and never read it
		return IdledOut
	case late && terminated != nil:
		return CutLateEnding
	case late:
		return CutLate
	case terminated != nil:
		return CrossedEnding
	}
	return Crossed
}

// endingSignal returns the SIGTERM during which an attempt ended, nil for none, and whether the proxy was killed just then.
func (j Judge) endingSignal(a Attempt) (terminated *Signal, killed bool) {
	for n, s := range j.Sent {
		if s.Proxy != a.Proxy {
			continue
		}
		during := a.ConnectedAt <= s.Until && s.At <= a.EndedAt // its connection ended with the process, whenever the client noticed
		if !during {
			continue
		}
		switch s.Kind {
		case Killed:
			killed = true
		case Terminated:
			terminated = &j.Sent[n]
		}
	}
	return terminated, killed
}

// lateInGrace reports whether a host was still at work in the last sixth of the grace on a request that was sent soon after the
// SIGTERM at the latest.
func (j Judge) lateInGrace(a Attempt, s Signal) bool {
	return a.SentAt <= s.At+forwardableAfterTerm && a.EndedAt >= s.At+j.Terms.Grace*5/6
}
