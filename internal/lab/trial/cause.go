package trial

import "time"

// Cause is why an attempt ended without a complete answer, or that it did not. The texts stand in reports.
type Cause string

// The causes. Those that begin with LOST are violations.
const (
	Answered             Cause = "answered"
	HostAborted          Cause = "host broke off"
	TimeoutExpired       Cause = "cut once its time was up"
	ClientGaveUp         Cause = "no answer until its client gave up"
	ProxyKilled          Cause = "proxy killed"
	LateInGrace          Cause = "at work at the end of the grace"
	CrossedClose         Cause = "crossed the end of its connection, not passed on"
	IdleTimeoutRace      Cause = "sent as its connection idled out, not passed on"
	CrossedShutdown      Cause = "crossed the end of a terminated proxy's connection, not passed on"
	NotWritten           Cause = "connection ended while it was written, not passed on"
	BehindClose          Cause = "pipelined behind the end of its connection, not passed on"
	CutForwarded         Cause = "LOST: cut after it was passed on"
	CutForwardedShutdown Cause = "LOST: cut by a terminated proxy after it was passed on"
	CutLate              Cause = "LOST: cut later than the slack, not passed on"
	CutLateShutdown      Cause = "LOST: cut by a terminated proxy later than the slack, not passed on"
	WrongAnswer          Cause = "LOST: not the answer to this request"
)

// forwardableAfterTerm is how long after a SIGTERM a request may be sent and still be excused at the end of the grace.
const forwardableAfterTerm = 3 * time.Second

// Cause returns why an attempt ended as it did.
func (j Judge) Cause(a Attempt) Cause {
	switch a.Outcome {
	case Complete:
		return Answered
	case Mismatched:
		return WrongAnswer
	}
	terminated, killed := j.signalDuring(a)
	if killed {
		return ProxyKilled
	}
	if cause, found := commonCause(a); found {
		return cause
	}
	if a.Host.Arrivals > 0 {
		return j.causeForwarded(a, terminated)
	}
	return j.causeNotForwarded(a, terminated)
}

// commonCause returns a cause that holds whether or not a host received the request.
func commonCause(a Attempt) (cause Cause, found bool) {
	switch {
	case a.Host.BrokeOff:
		return HostAborted, true
	case a.Outcome == TimedOut:
		return ClientGaveUp, true
	case a.EndedAt >= a.Deadline, a.EndedAt-a.BeganAt >= a.Timeout: // a proxy's time begins with the request's head
		return TimeoutExpired, true
	}
	return "", false
}

// causeForwarded returns the cause for a request that a host received; terminated is nil if the proxy got no SIGTERM.
func (j Judge) causeForwarded(a Attempt, terminated *Signal) Cause {
	switch {
	case terminated == nil:
		return CutForwarded
	case j.lateInGrace(a, *terminated):
		return LateInGrace
	}
	return CutForwardedShutdown
}

// causeNotForwarded returns the cause for a request that no host received; terminated is nil if the proxy got no SIGTERM.
func (j Judge) causeNotForwarded(a Attempt, terminated *Signal) Cause {
	late := a.EndedAt-a.SentAt > j.Terms.LossSlack
	switch {
	case a.Outcome == WriteFailed:
		return NotWritten
	case a.Outcome == PipelinedBehind:
		return BehindClose
	case a.IdleFor > j.Terms.Idle*4/5: // longer than clients may idle: the proxy had closed by its limits and never read it
		return IdleTimeoutRace
	case late && terminated != nil:
		return CutLateShutdown
	case late:
		return CutLate
	case terminated != nil:
		return CrossedShutdown
	}
	return CrossedClose
}

// signalDuring returns the SIGTERM during which an attempt ended, nil for none, and whether the proxy was killed just then.
func (j Judge) signalDuring(a Attempt) (terminated *Signal, killed bool) {
	for n, s := range j.SignalLog {
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
			terminated = &j.SignalLog[n]
		}
	}
	return terminated, killed
}

// lateInGrace reports whether a host was still at work in the last sixth of the grace on a request that was sent soon after the
// SIGTERM at the latest.
func (j Judge) lateInGrace(a Attempt, s Signal) bool {
	return a.SentAt <= s.At+forwardableAfterTerm && a.EndedAt >= s.At+j.Terms.Grace*5/6
}
