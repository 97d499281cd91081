package quorum

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/pilotage"
)

// An order is voted on, its proposer is beaten, and another brings that vote to its end; then a later order undoes what it made.
// The proposer still has the order waiting, as nobody has told it of its end: it must not make it once more.
func TestOrderTakesEffectOnce(t *testing.T) {
	running := pilotage.Rollout{Service: "desk", Order: 1, Target: "v2", Term: 10 * second, State: pilotage.Running}
	over := running
	over.State = pilotage.RolledBack
	for name, x := range map[string]struct {
		order       orders.Order
		made, later manifest.Item
	}{
		"evacuation": {orders.Order{Kind: orders.Evacuate, Of: "z", Begun: true}, item(manifest.Evacuations, "z", 1, `{"begun":true}`),
			item(manifest.Evacuations, "z", 2, `{"begun":false}`)},
		"rollout": {orders.Order{Kind: orders.Begin, Of: "desk", Target: "v2", Term: 10 * second, Again: second, Age: 100 * second}, running.Item(), over.Item()},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n, l := three(second)
			n.Set.Merge(item(manifest.Services, "desk", 1, `{"name":"desk","health-path":"/"}`))
			n.whole = true
			now := 2 * second
			var answers []Answer
			proposed := 0 // what the order makes, or makes once more
			var step func(e Event)
			say := func(who int, m Message) {
				m.ID, m.Epoch = l.Members[who].ID, 1
				step(Event{From: l.Members[who].IP, Message: &m})
			}
			helpful := true
			step = func(e Event) {
				e.Now, e.Chance = now, 0.9
				out := n.Step(e)
				answers = append(answers, out.Answers...)
				for _, m := range out.Synced[l.Members[1].IP] {
					step(Event{From: l.Members[1].IP, Message: &m})
				}
				for _, m := range out.Send[l.Members[2].IP] {
					switch {
					case m.Kind == Prepare && helpful:
						say(2, Message{Kind: Promise, Number: m.Number, Ballot: m.Ballot})
					case m.Kind == Accept:
						for _, i := range m.Value {
							if i.Key() == x.made.Key() {
								proposed++
								c.Check(i.Version, qt.Equals, x.made.Version)
							}
						}
						if helpful {
							helpful = false
							say(2, Message{Kind: Beaten, Number: m.Number, Ballot: Ballot{99, "other"}, Vote: m.Ballot})
							say(0, Message{Kind: Beaten, Number: m.Number, Ballot: Ballot{99, "other"}, Vote: m.Ballot})
						}
					}
				}
			}
			step(Event{From: l.Members[2].IP, Peer: &Peer{Member: l.Members[2], Epoch: 1, Applied: 1, Whole: true}})
			step(Event{Order: &x.order, Tag: 1})
			c.Assert(proposed, qt.Equals, 1)
			decides := func(number uint64, value manifest.Item) { // by another, who took the vote over
				say(0, Message{Kind: Accept, Number: number, Ballot: Ballot{1000 * number, "other"}, Value: []manifest.Item{value}})
				say(0, Message{Kind: Commit, Number: number, Ballot: Ballot{1000 * number, "other"}})
				c.Assert(n.Applied(), qt.Equals, number)
			}
			decides(2, x.made)
			decides(3, x.later)
			helpful, proposed = true, 0
			for range 60 {
				now += second / 20
				step(Event{Tick: true})
			}
			c.Check(proposed, qt.Equals, 0, qt.Commentf("it is made once more"))
			c.Assert(answers, qt.HasLen, 1)
			k := answers[0].Result.Kind
			c.Check(k == faults.None || k == faults.Unready, qt.IsTrue, qt.Commentf("%v", k))
		})
	}
}
