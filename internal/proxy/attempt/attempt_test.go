package attempt

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Covers every event in every phase. Events that a row doesn't list must leave the attempt unchanged.
func TestNext(t *testing.T) {
	c := qt.New(t)
	begun, partly, written := Attempt{WriteBegun, MayHaveRun}, Attempt{PartlyWritten, MayHaveRun}, Attempt{Written, MayHaveRun}
	never, maybe, ran := Attempt{Ended, NotRun}, Attempt{Ended, MayHaveRun}, Attempt{Ended, Ran}
	opening, open := Attempt{}, Attempt{Phase: Open}
	type row map[Event]Attempt
	beforeWrite := row{ConnectFailed: never, Connected: open, WriteStarted: begun, WroteNone: never, RejectedByHost: opening, Misdirected: opening, Answered: opening,
		WrongID: opening, Truncated: opening, UnexpectedBytes: opening, ConnectionReset: never, TimedOut: never, Canceled: never}
	afterWrite := row{ConnectFailed: maybe, WroteNone: maybe, RejectedByHost: never, Misdirected: never, Answered: ran, WrongID: maybe, Truncated: maybe, UnexpectedBytes: maybe,
		ConnectionReset: maybe, TimedOut: maybe, Canceled: maybe}
	with := func(more row) row {
		all := row{}
		for _, r := range []row{afterWrite, more} {
			for e, a := range r {
				all[e] = a
			}
		}
		return all
	}
	for from, want := range map[Attempt]row{
		opening: beforeWrite,
		open:    beforeWrite,
		begun:   with(row{WrotePart: partly, WroteAll: written, WroteNone: never}),
		partly:  with(row{WroteAll: written}),
		written: afterWrite,
		never:   {}, maybe: {}, ran: {},
	} {
		for _, e := range Events() {
			expected, changes := want[e]
			if !changes {
				expected = from
			}
			c.Check(from.Next(e), qt.Equals, expected, qt.Commentf("%v, %v: %v", from.Phase, from.Execution, e))
		}
	}
}

// A request is retried only if it is idempotent or no attempt of it may have run. Attempts must not overlap, and none may begin after
// the final response.
func TestRequest(t *testing.T) {
	c := qt.New(t)
	apply := func(r Request, all ...Event) Request {
		for _, e := range all {
			r, _ = r.Apply(e)
		}
		return r
	}
	begin := func(r Request) Request {
		r, ok := r.Begin()
		c.Assert(ok, qt.IsTrue)
		return r
	}
	for _, e := range Events() {
		for _, sent := range []bool{false, true} {
			once, twice := begin(Request{}), begin(Request{Idempotent: true})
			c.Check(once.MayAttempt(), qt.IsFalse)
			if sent {
				once, twice = apply(once, Connected, WriteStarted, WroteAll, e), apply(twice, Connected, WriteStarted, WroteAll, e)
			} else {
				once, twice = apply(once, e), apply(twice, e)
			}
			finished := once.Current().Phase == Ended
			c.Check(once.MayAttempt(), qt.Equals, finished && once.Execution() == NotRun, qt.Commentf("%v, %v", e, sent))
			c.Check(once.Settle().MayRefuse(), qt.Equals, once.Execution() == NotRun)
			c.Check(twice.MayAttempt(), qt.Equals, finished, qt.Commentf("%v, %v", e, sent))
			c.Check(twice.Settle().MayRefuse(), qt.IsTrue)
			c.Check(once.MayRefuse() || once.Settle().MayAttempt(), qt.IsFalse)
			_, ok := once.Settle().Apply(WriteStarted)
			c.Check(ok, qt.IsFalse)
			if finished && once.MayAttempt() { // "may have run" of the second attempt must outlast later events
				again := apply(begin(once), Connected, WriteStarted, ConnectionReset)
				c.Check(again.Execution(), qt.Equals, MayHaveRun)
				c.Check(apply(again, RejectedByHost).Execution(), qt.Equals, MayHaveRun)
			}
		}
	}
	r := apply(begin(Request{}), Connected, WriteStarted)
	_, ok := r.Apply(WriteStarted) // on a second connection
	c.Check(ok, qt.IsFalse)
	_, ok = Request{}.Apply(WriteStarted)
	c.Check(ok, qt.IsFalse)
}

func TestClassify(t *testing.T) {
	c := qt.New(t)
	successWith := func(change func(*Answer)) Answer {
		a := Answer{Status: 200, IDs: []string{"a"}, Sealed: true}
		change(&a)
		return a
	}
	for name, x := range map[string]struct {
		id     string
		answer Answer
		want   Event
		err    error
	}{
		"fine":                   {"a", successWith(func(*Answer) {}), Answered, nil},
		"error status":           {"a", Answer{Status: 500, IDs: []string{"a"}}, Answered, nil},
		"rejected":               {"a", Answer{Status: 503, IDs: []string{"a"}, NotRun: true}, RejectedByHost, nil},
		"misdirected":            {"a", Answer{Status: 421, IDs: []string{"a"}}, Misdirected, nil},
		"another's":              {"a", successWith(func(a *Answer) { a.IDs = []string{"b"} }), WrongID, ErrWrongRequest},
		"another ID, not run":    {"a", Answer{Status: 503, IDs: []string{"b"}, NotRun: true}, WrongID, ErrWrongRequest},
		"another ID, 421":        {"a", Answer{Status: 421, IDs: []string{"b"}}, WrongID, ErrWrongRequest},
		"nobody's":               {"a", successWith(func(a *Answer) { a.IDs = nil }), WrongID, ErrWrongRequest},
		"error without an ID":    {"a", Answer{Status: 404}, WrongID, ErrWrongRequest},
		"two different IDs":      {"a", successWith(func(a *Answer) { a.IDs = []string{"a", "b"} }), WrongID, ErrWrongRequest},
		"the same ID twice":      {"a", successWith(func(a *Answer) { a.IDs = []string{"a", "a"} }), Answered, nil},
		"request without ID":     {"", Answer{Status: 400, NotRun: true}, RejectedByHost, nil},
		"ID for request without": {"", successWith(func(*Answer) {}), WrongID, ErrWrongRequest},
		"missing seal":           {"a", successWith(func(a *Answer) { a.Sealed = false }), UnexpectedBytes, ErrMissingSeal},
		"encoded":                {"a", successWith(func(a *Answer) { a.Encoded = true }), UnexpectedBytes, ErrUnexpectedEncoding},
		"switched":               {"a", successWith(func(a *Answer) { a.Status = 101 }), UnexpectedBytes, ErrProtocolSwitch},
		"success not run":        {"a", successWith(func(a *Answer) { a.NotRun = true }), UnexpectedBytes, ErrContradictory},
	} {
		e, err := Classify(x.id, x.answer)
		c.Check(e, qt.Equals, x.want, qt.Commentf("%s", name))
		c.Check(err, qt.Equals, x.err, qt.Commentf("%s", name))
	}
	for status := 100; status < 600; status++ {
		c.Check(PromisesNotRun(status), qt.Equals, status == 408 || status == 421 || status == 429 || status == 503)
	}
}
