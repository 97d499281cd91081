package trial

import "time"

// Cause classifies how an attempt ended. Its values are keys of the report.
type Cause string

// Values of Cause. Those that begin with LOST are violations. A request crossed a close if it was in transit while the proxy closed the
// connection, so that the proxy never read it.
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

// forwardableAfterTerm is the time after a SIGTERM within which a proxy may still forward new requests; see lateInGrace.
const forwardableAfterTerm = 3 * time.Second

// Cause returns the cause of an attempt's outcome. Complete attempts have the cause Answered.
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

// commonCause returns a cause that applies whether or not a host received the request.
func commonCause(a Attempt) (cause Cause, found bool) {
	switch {
	case a.Host.BrokeOff:
		return HostAborted, true
	case a.Outcome == TimedOut:
		return ClientGaveUp, true
	case a.EndedAt >= a.Deadline, a.EndedAt-a.BeganAt >= a.Timeout: // a proxy's timeout starts with the request header
		return TimeoutExpired, true
	}
	return "", false
}

// causeForwarded returns the cause for a request that a host received; terminated is nil if the proxy was not terminating.
func (j Judge) causeForwarded(a Attempt, terminated *Signal) Cause {
	switch {
	case terminated == nil:
		return CutForwarded
	case j.lateInGrace(a, *terminated):
		return LateInGrace
	}
	return CutForwardedShutdown
}

// causeNotForwarded returns the cause for a request that no host received; terminated is nil if the proxy was not terminating.
func (j Judge) causeNotForwarded(a Attempt, terminated *Signal) Cause {
	late := a.EndedAt-a.SentAt > j.Terms.LossSlack
	switch {
	case a.Outcome == WriteFailed:
		return NotWritten
	case a.Outcome == PipelinedBehind:
		return BehindClose
	case a.IdleFor > j.Terms.Idle*4/5: // close to the idle timeout: the proxy may have closed the connection without reading the request
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

// signalDuring returns the last SIGTERM to the proxy that overlaps the lifetime of the attempt's connection, nil for none, and reports
// whether a SIGKILL overlaps it.
func (j Judge) signalDuring(a Attempt) (terminated *Signal, killed bool) {
	for n, s := range j.SignalLog {
		if s.Proxy != a.Proxy {
			continue
		}
		// The connection closed when the process exited, even if the client noticed later.
		during := a.ConnectedAt <= s.Until && s.At <= a.EndedAt
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

// lateInGrace reports whether a request that was sent at most forwardableAfterTerm after the SIGTERM was still unanswered in the last
// sixth of the grace period.
func (j Judge) lateInGrace(a Attempt, s Signal) bool {
	return a.SentAt <= s.At+forwardableAfterTerm && a.EndedAt >= s.At+j.Terms.Grace*5/6
}
