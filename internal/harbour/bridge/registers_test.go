package bridge

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/signals"
)

func rollout(order uint64, state pilotage.State) manifest.Item {
	return pilotage.Rollout{Service: "desk", Order: order, From: "v1", Target: "v2", Term: 15e9, State: state}.Item()
}

// What an acceptor says of a register, by what it knows: nothing before it is whole, nothing of orders that it knows to be
// over, nothing of those that ran when its disk was lost; and cells of orders that are over go.
func TestStep(t *testing.T) {
	whole := func(intact bool, items ...manifest.Item) *State {
		s := state(3, intact)
		for _, i := range items {
			s.Set.Merge(i)
		}
		for n := range 2 {
			s.Heard(fmt.Sprint("10.0.1.", n), signals.Status{Intact: true, Sum: s.Set.Sum()})
		}
		if !intact {
			s.Bar()
		}
		return s
	}
	for name, x := range map[string]struct {
		s    *State
		ask  string
		ok   bool // it answers
		said bool // and promises
	}{
		"adrift":                        {state(3, true), "desk#1", false, false},
		"runs":                          {whole(true, rollout(1, pilotage.Running)), "desk#1", true, true},
		"not known yet":                 {whole(true), "desk#1", true, true},
		"over":                          {whole(true, rollout(1, pilotage.Completed)), "desk#1", false, false},
		"a later one runs":              {whole(true, rollout(2, pilotage.Running)), "desk#1", false, false},
		"ran when the disk was lost":    {whole(false, rollout(1, pilotage.Running)), "desk#1", true, false},
		"begun after the disk was lost": {whole(false, rollout(1, pilotage.RolledBack)), "desk#2", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, r, ok := x.s.Step(signals.Ask{ID: 4, Name: x.ask, Ballot: 9})
			c.Check(ok, qt.Equals, x.ok)
			c.Check(r.OK, qt.Equals, x.said)
			c.Check(r.Ballot > 9, qt.IsFalse) // and beats nobody
		})
	}
	c := qt.New(t)
	s := whole(true, rollout(1, pilotage.Running))
	s.Step(signals.Ask{Name: "desk#1", Ballot: 9})
	s.Set.Merge(rollout(1, pilotage.Completed))
	s.Set.Merge(rollout(2, pilotage.Running))
	cells, _, ok := s.Step(signals.Ask{Name: "desk#2", Ballot: 9})
	c.Assert(ok, qt.IsTrue)
	old, named := cells["desk#1"]
	c.Check(named && old == nil && cells["desk#2"].Promised == 9, qt.IsTrue)
	c.Check(s.Cells, qt.HasLen, 1)
	c.Check(s.Bar()["desk#2"].Barred, qt.IsTrue)
}
