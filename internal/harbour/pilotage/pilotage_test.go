package pilotage

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
	"portflow/rules"
)

const s = int64(1e9)

// A rollout of 15 s, at some age, with votes of routers; only the counted ones vote, and a vote lapses.
func TestJudge(t *testing.T) {
	r := Rollout{Service: "desk", Order: 1, Began: 100 * s, Term: 15 * s, State: Running}
	roster := []signals.Front{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	vote := func(front string, v rules.Verdict, age int64) signals.Poll {
		return signals.Poll{Front: front, Order: 1, Verdict: uint8(v), At: age}
	}
	for _, x := range []struct {
		name   string
		age    int64
		before int
		votes  []signals.Poll // At is how old the vote is
		want   State
		term   int64
	}{
		{"nobody has voted", 5 * s, 0, nil, Running, 0},
		{"one for back", 5 * s, 0, []signals.Poll{vote("a", rules.Back, 0)}, Running, 0},
		{"two for back", 5 * s, 0, []signals.Poll{vote("a", rules.Back, 0), vote("b", rules.Back, 0)}, RolledBack, 0},
		{"one of them has lapsed", 5 * s, 0, []signals.Poll{vote("a", rules.Back, 3*s), vote("b", rules.Back, 0)}, Running, 0},
		{"one of them isn't counted", 5 * s, 0, []signals.Poll{vote("x", rules.Back, 0), vote("b", rules.Back, 0)}, Running, 0},
		{"two for back, another proposes first", 5 * s, 1, []signals.Poll{vote("a", rules.Back, 0), vote("b", rules.Back, 0)}, Running, 0},
		{"two for on, early", 5 * s, 0, []signals.Poll{vote("a", rules.On, 0), vote("b", rules.On, 0)}, Running, 0},
		{"two for on, shortly before the term", 13 * s, 0, []signals.Poll{vote("a", rules.On, 0), vote("b", rules.On, 0)}, Completed, 0},
		{"one against", 13 * s, 0, []signals.Poll{vote("a", rules.On, 0), vote("b", rules.On, 0), vote("c", rules.Back, 0)}, Running, 0},
		{"undecided at the term", 14 * s, 0, nil, RolledBack, 0},
		{"undecided at the term, another proposes first", 14 * s, 3, nil, Running, 0},
		{"two for on, a short term", 3 * s, 0, []signals.Poll{vote("a", rules.On, 0), vote("b", rules.On, 0)}, Completed, 5 * s},
		{"undecided, a short term", 3 * s, 0, nil, Running, 5 * s},
		{"undecided at the end of a short term", 4 * s, 0, nil, RolledBack, 5 * s},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := r
			if x.term > 0 {
				r.Term = x.term
			}
			now := r.Began + x.age
			var votes []signals.Poll
			for _, p := range x.votes {
				p.At = now - p.At
				votes = append(votes, p)
			}
			qt.Check(t, Judge(now, r, votes, roster, x.before), qt.Equals, x.want)
		})
	}
}

// The order and its end are one item; the end holds, whichever comes first, and the next order holds against it.
func TestItemsOrder(t *testing.T) {
	c := qt.New(t)
	first := Rollout{Service: "desk", Order: 1, From: "v1", Target: "v2", State: Running}
	over := first
	over.State = Completed
	switching := over
	switching.Switching = true
	next := Rollout{Service: "desk", Order: 2, From: "v2", Base: 1, Target: "v3", State: Running}
	all := []manifest.Item{first.Item(), switching.Item(), over.Item(), next.Item()}
	for i := 1; i < len(all); i++ {
		c.Check(all[i].Newer(all[i-1]), qt.IsTrue)
	}
	c.Check(Read(all[1]), qt.Equals, switching)
	c.Check(Read(all[2]), qt.Equals, over)
	for _, x := range []struct {
		r    Rollout
		told State
	}{{first, Running}, {switching, Running}, {over, Completed}, {Rollout{State: RolledBack}, RolledBack}, {Rollout{}, None}} {
		c.Check(x.r.Told(), qt.Equals, x.told)
	}
	settled := manifest.Item{Body: []byte(`{"version":"v1"}`)}
	for _, x := range []struct {
		r       Rollout
		version string
		build   uint64
		stands  rules.Standing
	}{
		{Rollout{}, "v1", 0, rules.Released}, {first, "v1", 0, rules.OnTrial}, {over, "v2", 1, rules.Released}, {next, "v2", 1, rules.OnTrial}, {switching, "v2", 1, rules.Released},
		{Rollout{Order: 2, From: "v2", Base: 1, State: RolledBack}, "v2", 1, rules.Withdrawn},
	} {
		c.Check(Settled(settled, x.r), qt.Equals, x.version)
		c.Check(x.r.Build(), qt.Equals, x.build)
		c.Check(x.r.News(0, 0.1).Standing, qt.Equals, x.stands)
	}
}
