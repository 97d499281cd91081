package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

const s = int64(1e9)

// A rollout of 15 s, at some age, with votes of routers; only the counted ones vote, and a vote lapses.
func TestDecide(t *testing.T) {
	r := Rollout{Service: "desk", Number: 1, StartedAt: 100 * s, Duration: 15 * s, State: Running}
	roster := []update.Proxy{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	vote := func(front string, v decision.Verdict, age int64) update.Vote {
		return update.Vote{Proxy: front, Number: 1, Verdict: uint8(v), ReceivedAt: age}
	}
	for _, x := range []struct {
		name   string
		age    int64
		before int
		votes  []update.Vote // At is how old the vote is
		want   State
		term   int64
	}{
		{"nobody has voted", 5 * s, 0, nil, Running, 0},
		{"one for back", 5 * s, 0, []update.Vote{vote("a", decision.RollBack, 0)}, Running, 0},
		{"two for back", 5 * s, 0, []update.Vote{vote("a", decision.RollBack, 0), vote("b", decision.RollBack, 0)}, RolledBack, 0},
		{"one of them has lapsed", 5 * s, 0, []update.Vote{vote("a", decision.RollBack, 3*s), vote("b", decision.RollBack, 0)}, Running, 0},
		{"one of them isn't counted", 5 * s, 0, []update.Vote{vote("x", decision.RollBack, 0), vote("b", decision.RollBack, 0)}, Running, 0},
		{"two for back, another proposes first", 5 * s, 1, []update.Vote{vote("a", decision.RollBack, 0), vote("b", decision.RollBack, 0)}, Running, 0},
		{"two for on, early", 5 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0)}, Running, 0},
		{"two for on, shortly before the term", 13 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0)}, Completed, 0},
		{"one against", 13 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0), vote("c", decision.RollBack, 0)}, Running, 0},
		{"undecided at the term", 14 * s, 0, nil, RolledBack, 0},
		{"undecided at the term, another proposes first", 14 * s, 3, nil, Running, 0},
		{"two for on, a short term", 3 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0)}, Completed, 5 * s},
		{"undecided, a short term", 3 * s, 0, nil, Running, 5 * s},
		{"undecided at the end of a short term", 4 * s, 0, nil, RolledBack, 5 * s},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := r
			if x.term > 0 {
				r.Duration = x.term
			}
			now := r.StartedAt + x.age
			var votes []update.Vote
			for _, p := range x.votes {
				p.ReceivedAt = now - p.ReceivedAt
				votes = append(votes, p)
			}
			qt.Check(t, Decide(now, r, votes, roster, x.before), qt.Equals, x.want)
		})
	}
}

// The order and its end are one item; the end holds, whichever comes first, and the next order holds against it.
func TestItemsOrder(t *testing.T) {
	c := qt.New(t)
	first := Rollout{Service: "desk", Number: 1, From: "v1", Target: "v2", State: Running}
	over := first
	over.State = Completed
	switching := over
	switching.Switching = true
	next := Rollout{Service: "desk", Number: 2, From: "v2", BaseNumber: 1, Target: "v3", State: Running}
	all := []config.Item{first.Item(), switching.Item(), over.Item(), next.Item()}
	for i := 1; i < len(all); i++ {
		c.Check(all[i].Supersedes(all[i-1]), qt.IsTrue)
	}
	c.Check(FromItem(all[1]), qt.Equals, switching)
	c.Check(FromItem(all[2]), qt.Equals, over)
	for _, x := range []struct {
		r    Rollout
		told State
	}{{first, Running}, {switching, Running}, {over, Completed}, {Rollout{State: RolledBack}, RolledBack}, {Rollout{}, None}} {
		c.Check(x.r.VisibleState(), qt.Equals, x.told)
	}
	settled := config.Item{Body: []byte(`{"version":"v1"}`)}
	for _, x := range []struct {
		r       Rollout
		version string
		build   uint64
		stands  decision.RolloutState
	}{
		{Rollout{}, "v1", 0, decision.Released}, {first, "v1", 0, decision.OnTrial}, {over, "v2", 1, decision.Released}, {next, "v2", 1, decision.OnTrial}, {switching, "v2", 1, decision.Released},
		{Rollout{Number: 2, From: "v2", BaseNumber: 1, State: RolledBack}, "v2", 1, decision.RolledBack},
	} {
		c.Check(StableVersion(settled, x.r), qt.Equals, x.version)
		c.Check(x.r.StableBuild(), qt.Equals, x.build)
		c.Check(x.r.DecisionInput(0, 0.1).State, qt.Equals, x.stands)
	}
}
