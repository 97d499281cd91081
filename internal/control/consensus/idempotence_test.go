package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/operation"
)

// An operation is voted on, its proposer is rejected, and another finishes that vote; then a later operation undoes its effect. At the
// proposer the operation is still pending, as it has learned of no end: it must not take effect again.
func TestOperationTakesEffectOnce(t *testing.T) {
	running := rollout.Rollout{Service: "desk", Number: 1, Target: "v2", Duration: 10 * second, State: rollout.Running}
	over := running
	over.State = rollout.RolledBack
	for name, test := range map[string]struct {
		order       operation.Operation
		made, later config.Item
	}{
		"evacuation": {operation.Operation{Kind: operation.Evacuate, Name: "z", Active: true}, item(config.KindEvacuations, "z", 1, `{"begun":true}`),
			item(config.KindEvacuations, "z", 2, `{"begun":false}`)},
		"rollout": {operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 10 * second, RetryWindow: second, KnownRolloutAge: 100 * second}, running.Item(), over.Item()},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, l := threeMembers(second)
			n.Set.Merge(item(config.KindServices, "desk", 1, `{"name":"desk","health-path":"/"}`))
			n.caughtUp = true
			now := 2 * second
			var answers []Answer
			proposed := 0 // how often the effect of the operation is proposed
			var step func(e Event)
			say := func(who int, m Message) {
				m.DiskID, m.Epoch = l.Members[who].ID, 1
				step(Event{From: l.Members[who].IP, Message: &m})
			}
			helpful := true
			step = func(e Event) {
				e.Now, e.Random = now, 0.9
				out := n.Step(e)
				answers = append(answers, out.Answers...)
				for _, m := range out.SendAfterSync[l.Members[1].IP] {
					step(Event{From: l.Members[1].IP, Message: &m})
				}
				for _, m := range out.Send[l.Members[2].IP] {
					switch {
					case m.Kind == Prepare && helpful:
						say(2, Message{Kind: Promise, Index: m.Index, Ballot: m.Ballot})
					case m.Kind == Accept:
						for _, i := range m.Value {
							if i.Key() == test.made.Key() {
								proposed++
								c.Check(i.Version, qt.Equals, test.made.Version)
							}
						}
						if helpful {
							helpful = false
							say(2, Message{Kind: Rejected, Index: m.Index, Ballot: Ballot{99, "other"}, Accepted: m.Ballot})
							say(0, Message{Kind: Rejected, Index: m.Index, Ballot: Ballot{99, "other"}, Accepted: m.Ballot})
						}
					}
				}
			}
			step(Event{From: l.Members[2].IP, Peer: &Peer{Member: l.Members[2], Epoch: 1, Applied: 1, CaughtUp: true}})
			step(Event{Operation: &test.order, Tag: 1})
			c.Assert(proposed, qt.Equals, 1)
			decides := func(number uint64, value config.Item) { // by another proposer, which finished the vote
				say(0, Message{Kind: Accept, Index: number, Ballot: Ballot{1000 * number, "other"}, Value: []config.Item{value}})
				say(0, Message{Kind: Commit, Index: number, Ballot: Ballot{1000 * number, "other"}})
				c.Assert(n.Applied(), qt.Equals, number)
			}
			decides(2, test.made)
			decides(3, test.later)
			helpful, proposed = true, 0
			for range 60 {
				now += second / 20
				step(Event{Tick: true})
			}
			c.Check(proposed, qt.Equals, 0, qt.Commentf("it takes effect again"))
			c.Assert(answers, qt.HasLen, 1)
			k := answers[0].Result.Kind
			c.Check(k == apierror.None || k == apierror.Unavailable, qt.IsTrue, qt.Commentf("%v", k))
		})
	}
}
