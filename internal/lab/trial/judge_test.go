package trial

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cutAttempt returns an unsafe attempt on a reused connection that closed 50 ms after the request was sent, without a response. It
// applies change to the attempt.
func cutAttempt(change func(*Attempt)) Attempt {
	a := Attempt{ID: "a", Style: KeepAlive, Path: "POST /", MaxAttempts: 2, ConnectedAt: 8 * time.Second, BeganAt: 10 * time.Second,
		SentAt: 10 * time.Second, EndedAt: 10*time.Second + 50*time.Millisecond, Deadline: 14 * time.Second, Timeout: 3 * time.Second,
		Outcome: Truncated}
	change(&a)
	return a
}

func TestCauses(t *testing.T) {
	forwarded := HostView{Arrivals: 1, Ran: 1}
	term := Signal{Proxy: 0, Kind: Terminated, At: 9 * time.Second, Until: 15 * time.Second}
	for _, x := range []struct {
		name       string
		attempt    Attempt
		signals    []Signal
		cause      Cause
		violations int // rules
	}{
		{"answered", cutAttempt(func(a *Attempt) { a.Outcome, a.Status = Complete, 200 }), nil, Answered, 0},
		{"cut after it was forwarded", cutAttempt(func(a *Attempt) { a.Host = forwarded }), nil, CutForwarded, 1},
		{"another proxy was killed", cutAttempt(func(a *Attempt) { a.Host = forwarded }),
			[]Signal{{Proxy: 1, Kind: Killed, At: 10 * time.Second, Until: 11 * time.Second}}, CutForwarded, 1},
		{"the proxy was killed", cutAttempt(func(a *Attempt) { a.Host = forwarded }),
			[]Signal{{Proxy: 0, Kind: Killed, At: 10 * time.Second, Until: 11 * time.Second}}, ProxyKilled, 0},
		{"the proxy was killed before the client connected", cutAttempt(func(a *Attempt) { a.Host = forwarded }),
			[]Signal{{Proxy: 0, Kind: Killed, At: 6 * time.Second, Until: 7 * time.Second}}, CutForwarded, 1},
		{"SIGHUP does not allow a cut", cutAttempt(func(a *Attempt) { a.Host = forwarded }),
			[]Signal{{Proxy: 0, Kind: Hangup, At: 10 * time.Second, Until: 11 * time.Second}}, CutForwarded, 1},
		{"the host aborted the request", cutAttempt(func(a *Attempt) { a.Host = HostView{Arrivals: 1, Ran: 1, BrokeOff: true} }), nil, HostAborted, 0},
		{"crossed", cutAttempt(func(*Attempt) {}), nil, CrossedClose, 0},
		{"not forwarded, closed late", cutAttempt(func(a *Attempt) { a.EndedAt = a.SentAt + 250*time.Millisecond }), nil, CutLate, 1},
		{"at the idle timeout", cutAttempt(func(a *Attempt) { a.IdleFor, a.EndedAt = 2*time.Second, a.SentAt+250*time.Millisecond }), nil, IdleTimeoutRace, 0},
		{"at the idle timeout, forwarded", cutAttempt(func(a *Attempt) { a.IdleFor, a.Host = 2*time.Second, forwarded }), nil, CutForwarded, 1},
		{"terminated, forwarded", cutAttempt(func(a *Attempt) { a.Host = forwarded }), []Signal{term}, CutForwardedShutdown, 1},
		{"terminated, not forwarded", cutAttempt(func(*Attempt) {}), []Signal{term}, CrossedShutdown, 0},
		{"terminated, not forwarded, closed later than the slack", cutAttempt(func(a *Attempt) { a.EndedAt = a.SentAt + time.Second }), []Signal{term},
			CutLateShutdown, 1},
		{"terminated, unanswered in the last sixth of the grace period", cutAttempt(func(a *Attempt) {
			a.Host, a.Timeout, a.Deadline, a.EndedAt = forwarded, 10*time.Second, 20*time.Second, 14500*time.Millisecond
		}), []Signal{term}, LateInGrace, 0},
		{"terminated, unanswered in the last sixth of the grace period, sent late", cutAttempt(func(a *Attempt) {
			a.Host, a.SentAt, a.Timeout, a.Deadline, a.EndedAt = forwarded, 12500*time.Millisecond, 10*time.Second, 20*time.Second,
				14500*time.Millisecond
		}), []Signal{term}, CutForwardedShutdown, 1},
		{"the client's timeout expired", cutAttempt(func(a *Attempt) { a.Host, a.EndedAt = forwarded, a.Deadline }), nil, TimeoutExpired, 0},
		{"the route's timeout expired", cutAttempt(func(a *Attempt) { a.Host, a.Timeout = forwarded, 40*time.Millisecond }), nil, TimeoutExpired, 0},
		{"no response", cutAttempt(func(a *Attempt) { a.Outcome = TimedOut }), nil, ClientGaveUp, 0},
		{"not written", cutAttempt(func(a *Attempt) { a.Outcome = WriteFailed }), nil, NotWritten, 0},
		{"pipelined behind a close", cutAttempt(func(a *Attempt) { a.Outcome = PipelinedBehind }), nil, BehindClose, 0},
		{"pipelined behind a close, forwarded", cutAttempt(func(a *Attempt) { a.Outcome, a.Host = PipelinedBehind, forwarded }), nil, CutForwarded, 1},
		{"response to another request", cutAttempt(func(a *Attempt) { a.Outcome = Mismatched }), nil, WrongAnswer, 1},
	} {
		c := qt.New(t)
		j := Judge{Terms: terms, SignalLog: x.signals}
		c.Check(j.Cause(x.attempt), qt.Equals, x.cause, qt.Commentf("%s", x.name))
		c.Check(j.Violations(x.attempt), qt.HasLen, x.violations, qt.Commentf("%s", x.name))
	}
}

func TestAnswerRules(t *testing.T) {
	answered := func(status int, change func(*Attempt)) Attempt {
		return cutAttempt(func(a *Attempt) {
			a.Outcome, a.Status = Complete, status
			change(a)
		})
	}
	for _, x := range []struct {
		name    string
		attempt Attempt
		broken  bool
	}{
		{"ran once", answered(200, func(a *Attempt) { a.Host = HostView{Arrivals: 2, Ran: 1} }), false},
		{"ran twice", answered(200, func(a *Attempt) { a.Host = HostView{Arrivals: 2, Ran: 2} }), true},
		{"a safe request ran twice", answered(200, func(a *Attempt) { a.Idempotent, a.Host = true, HostView{Arrivals: 2, Ran: 2} }), false},
		{"a safe request ran too often", answered(200, func(a *Attempt) { a.Idempotent, a.Host = true, HostView{Arrivals: 3, Ran: 3} }), true},
		{"refused", answered(503, func(*Attempt) {}), false},
		{"rejected, but ran", answered(503, func(a *Attempt) { a.Host = HostView{Arrivals: 1, Ran: 1} }), true},
		{"a safe request rejected, but ran", answered(503, func(a *Attempt) { a.Idempotent, a.Host = true, HostView{Arrivals: 1, Ran: 1} }), false},
		{"no route", answered(404, func(*Attempt) {}), false},
		{"malformed", answered(400, func(*Attempt) {}), true},
		{"too long", answered(413, func(*Attempt) {}), true},
		{"502, the host aborted the request", answered(502, func(a *Attempt) { a.Host = HostView{Arrivals: 1, Ran: 1, BrokeOff: true} }), false},
		{"502, the host did not abort the request", answered(502, func(a *Attempt) { a.Host = HostView{Arrivals: 1, Ran: 1} }), true},
		{"504 too early", answered(504, func(*Attempt) {}), true},
		{"504 in time", answered(504, func(a *Attempt) { a.Timeout = 100 * time.Millisecond }), false},
		{"the host received a different body", answered(200, func(a *Attempt) { a.Host = HostView{Arrivals: 1, Ran: 1, Garbled: true} }), true},
	} {
		c := qt.New(t)
		c.Check(len(Judge{Terms: terms}.Violations(x.attempt)) > 0, qt.Equals, x.broken, qt.Commentf("%s", x.name))
	}
}

func TestSummarizeCountsWithinAndOutside(t *testing.T) {
	c := qt.New(t)
	second := time.Second
	var windows []Interval
	for _, i := range []Interval{{2 * second, 4 * second}, {3 * second, 5 * second}, {9 * second, 10 * second}} {
		windows = mergeInterval(windows, i)
	}
	c.Check(windows, qt.DeepEquals, []Interval{{2 * second, 5 * second}, {9 * second, 10 * second}})
	at := func(from, to time.Duration) Attempt {
		return cutAttempt(func(a *Attempt) { a.SentAt, a.EndedAt, a.Outcome, a.Status = from, to, Complete, 200 })
	}
	s := Summarize(Judge{Terms: terms}, []Attempt{at(0, second), at(second, 3*second), at(4*second, 6*second), at(6*second, 12*second)}, windows)
	c.Check(s.Causes[Answered], qt.Equals, Counts{Within: 2, Outside: 2})
	c.Check(s.Within, qt.Equals, 4*second)
	c.Check(s.Outside, qt.Equals, 8*second)
}
