package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

const s = int64(1e9)

// Guards the outcome by votes, age and rank; votes that have expired or are from unknown proxies must not count.
func TestDecide(t *testing.T) {
	r := Rollout{Service: "desk", Number: 1, StartedAt: 100 * s, Duration: 15 * s, State: Running}
	proxies := []update.Proxy{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	vote := func(proxy string, v decision.Verdict, age int64) update.Vote {
		return update.Vote{Proxy: proxy, Number: 1, Verdict: uint8(v), ReceivedAt: age}
	}
	for _, test := range []struct {
		name     string
		age      int64
		rank     int
		votes    []update.Vote // with ReceivedAt as the age of the vote
		want     State
		duration int64
	}{
		{"no votes", 5 * s, 0, nil, Running, 0},
		{"one vote to roll back", 5 * s, 0, []update.Vote{vote("a", decision.RollBack, 0)}, Running, 0},
		{"two votes to roll back", 5 * s, 0, []update.Vote{vote("a", decision.RollBack, 0), vote("b", decision.RollBack, 0)}, RolledBack, 0},
		{"one of two votes expired", 5 * s, 0, []update.Vote{vote("a", decision.RollBack, 3*s), vote("b", decision.RollBack, 0)}, Running, 0},
		{"one of two votes by an unknown proxy", 5 * s, 0, []update.Vote{vote("x", decision.RollBack, 0), vote("b", decision.RollBack, 0)}, Running, 0},
		{"two votes to roll back, another process proposes first", 5 * s, 1, []update.Vote{vote("a", decision.RollBack, 0), vote("b", decision.RollBack, 0)}, Running, 0},
		{"two votes to advance, early", 5 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0)}, Running, 0},
		{"two votes to advance, near the end", 13 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0)}, Completed, 0},
		{"one vote of three to roll back", 13 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0), vote("c", decision.RollBack, 0)}, Running, 0},
		{"undecided at the end", 14 * s, 0, nil, RolledBack, 0},
		{"undecided at the end, others propose first", 14 * s, 3, nil, Running, 0},
		{"two votes to advance, short duration", 3 * s, 0, []update.Vote{vote("a", decision.Advance, 0), vote("b", decision.Advance, 0)}, Completed, 5 * s},
		{"undecided, short duration", 3 * s, 0, nil, Running, 5 * s},
		{"undecided at the end of a short duration", 4 * s, 0, nil, RolledBack, 5 * s},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := r
			if test.duration > 0 {
				r.Duration = test.duration
			}
			now := r.StartedAt + test.age
			var votes []update.Vote
			for _, cast := range test.votes {
				cast.ReceivedAt = now - cast.ReceivedAt
				votes = append(votes, cast)
			}
			qt.Check(t, Decide(now, r, votes, proxies, test.rank), qt.Equals, test.want)
		})
	}
}

// Each later state of a rollout, and the next rollout, must supersede the item before it, so that the order of arrival does not matter.
func TestItemsOrder(t *testing.T) {
	c := qt.New(t)
	first := Rollout{Service: "desk", Number: 1, From: "v1", Target: "v2", State: Running}
	completed := first
	completed.State = Completed
	switching := completed
	switching.Switching = true
	next := Rollout{Service: "desk", Number: 2, From: "v2", BaseNumber: 1, Target: "v3", State: Running}
	items := []config.Item{first.Item(), switching.Item(), completed.Item(), next.Item()}
	for i := 1; i < len(items); i++ {
		c.Check(items[i].Supersedes(items[i-1]), qt.IsTrue)
	}
	c.Check(FromItem(items[1]), qt.Equals, switching)
	c.Check(FromItem(items[2]), qt.Equals, completed)
	for _, test := range []struct {
		r    Rollout
		want State
	}{{first, Running}, {switching, Running}, {completed, Completed}, {Rollout{State: RolledBack}, RolledBack}, {Rollout{}, None}} {
		c.Check(test.r.VisibleState(), qt.Equals, test.want)
	}
	initial := config.Item{Body: []byte(`{"version":"v1"}`)}
	for _, test := range []struct {
		r       Rollout
		version string
		build   uint64
		state   decision.RolloutState
	}{
		{Rollout{}, "v1", 0, decision.Released}, {first, "v1", 0, decision.OnTrial}, {completed, "v2", 1, decision.Released}, {next, "v2", 1, decision.OnTrial}, {switching, "v2", 1, decision.Released},
		{Rollout{Number: 2, From: "v2", BaseNumber: 1, State: RolledBack}, "v2", 1, decision.RolledBack},
	} {
		c.Check(StableVersion(initial, test.r), qt.Equals, test.version)
		c.Check(test.r.StableBuild(), qt.Equals, test.build)
		c.Check(test.r.DecisionInput(0, 0.1).State, qt.Equals, test.state)
	}
}
