package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/operation"
)

// An operation must not take effect twice. Here its proposer is rejected after a vote, another proposer gets that vote decided, and a later
// operation undoes the effect, while the operation is still pending at its first proposer.
func TestOperationTakesEffectOnce(t *testing.T) {
	running := rollout.Rollout{Service: "desk", Number: 1, Target: "v2", Duration: 10 * second, State: rollout.Running}
	rolledBack := running
	rolledBack.State = rollout.RolledBack
	for name, test := range map[string]struct {
		op              operation.Operation
		applied, undone config.Item
	}{
		"evacuation": {operation.Operation{Kind: operation.Evacuate, Name: "z", Active: true}, item(config.KindEvacuations, "z", 1, `{"begun":true}`),
			item(config.KindEvacuations, "z", 2, `{"begun":false}`)},
		"rollout": {operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 10 * second, RetryWindow: second, KnownRolloutAge: 100 * second}, running.Item(), rolledBack.Item()},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, l := newTestNode(second)
			n.Set.Merge(item(config.KindServices, "desk", 1, `{"name":"desk","health-path":"/"}`))
			n.caughtUp = true
			now := 2 * second
			var answers []Answer
			proposed := 0 // number of times that the effect of the operation is proposed
			var step func(e Event)
			receive := func(member int, m Message) {
				m.DiskID, m.Epoch = l.Members[member].ID, 1
				step(Event{From: l.Members[member].IP, Message: &m})
			}
			cooperative := true
			step = func(e Event) {
				e.Now, e.Random = now, 0.9
				effects := n.Step(e)
				answers = append(answers, effects.Answers...)
				for _, m := range effects.SendAfterSync[l.Members[1].IP] {
					step(Event{From: l.Members[1].IP, Message: &m})
				}
				for _, m := range effects.Send[l.Members[2].IP] {
					switch {
					case m.Kind == Prepare && cooperative:
						receive(2, Message{Kind: Promise, Index: m.Index, Ballot: m.Ballot})
					case m.Kind == Accept:
						for _, i := range m.Value {
							if i.Key() == test.applied.Key() {
								proposed++
								c.Check(i.Version, qt.Equals, test.applied.Version)
							}
						}
						if cooperative {
							cooperative = false
							receive(2, Message{Kind: Rejected, Index: m.Index, Ballot: Ballot{99, "other"}, Accepted: m.Ballot})
							receive(0, Message{Kind: Rejected, Index: m.Index, Ballot: Ballot{99, "other"}, Accepted: m.Ballot})
						}
					}
				}
			}
			step(Event{From: l.Members[2].IP, Peer: &Peer{Member: l.Members[2], Epoch: 1, Applied: 1, CaughtUp: true}})
			step(Event{Operation: &test.op, Tag: 1})
			c.Assert(proposed, qt.Equals, 1)
			decideElsewhere := func(index uint64, value config.Item) { // decides a value through another proposer
				receive(0, Message{Kind: Accept, Index: index, Ballot: Ballot{1000 * index, "other"}, Value: []config.Item{value}})
				receive(0, Message{Kind: Commit, Index: index, Ballot: Ballot{1000 * index, "other"}})
				c.Assert(n.Applied(), qt.Equals, index)
			}
			decideElsewhere(2, test.applied)
			decideElsewhere(3, test.undone)
			cooperative, proposed = true, 0
			for range 60 {
				now += second / 20
				step(Event{Tick: true})
			}
			c.Check(proposed, qt.Equals, 0, qt.Commentf("the operation is proposed again"))
			c.Assert(answers, qt.HasLen, 1)
			k := answers[0].Result.Kind
			c.Check(k == apierror.None || k == apierror.Unavailable, qt.IsTrue, qt.Commentf("%v", k))
		})
	}
}
