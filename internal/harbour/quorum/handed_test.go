package quorum

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/lines"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/pilotage"
)

// An order is handed to the member that proposes for all, which has it decided; the word of that doesn't come back. Then a later
// order, which is confirmed, undoes what it made. Who handed it over hears of both changes from another, and hands it to the next
// member: it must not make once more what it made.
func TestHandedTakesEffectOnce(t *testing.T) {
	evacuate := func(begun bool) orders.Order { return orders.Order{Kind: orders.Evacuate, Of: "z", Begun: begun} }
	begin := orders.Order{Kind: orders.Begin, Of: "desk", Target: "v2", Term: 10 * second, Again: second, Age: 100 * second}
	for name, x := range map[string]struct {
		first, later orders.Order
		key          manifest.Key
	}{
		"evacuation": {evacuate(true), evacuate(false), manifest.Key{Kind: manifest.Evacuations, Name: "z"}},
		"rollout":    {begin, orders.Order{Kind: orders.End, Of: "desk", Number: 1, State: pilotage.RolledBack}, manifest.Key{Kind: manifest.Rollouts, Name: "desk"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPool(3, 0, 3)
			for _, ip := range p.ips {
				p.on(ip, "")
			}
			p.meet()
			p.run(second)
			p.may = func(from, to string, _ Message) bool { return from != "1" || to != "3" }
			tag := p.order("3", x.first)
			if x.first.Kind == orders.Begin { // at one who knows the newest as it was long ago
				x.first.Known = 1
			}
			made, there := p.at["2"].node.Set.Get(x.key)
			c.Assert(there, qt.IsTrue, qt.Commentf("it was decided"))
			p.run(100 * ms)
			undo := p.order("2", x.later)
			c.Assert(p.confirmed(undo), qt.IsTrue, qt.Commentf("%v", p.answers[undo]))
			over, _ := p.at["2"].node.Set.Get(x.key)
			c.Assert(over.Version > made.Version, qt.IsTrue)
			p.hears("3", "2", true) // by which it takes both over
			p.run(4 * second)
			now, _ := p.at["2"].node.Set.Get(x.key)
			c.Check(now.Same(over), qt.IsTrue, qt.Commentf("%d: %s; before %d: %s", now.Version, now.Body, over.Version, over.Body))
			r, told := p.answers[tag]
			c.Assert(told, qt.IsTrue)
			c.Check(r.Kind == faults.None || r.Kind == faults.Unready, qt.IsTrue, qt.Commentf("%v", r))
		})
	}
}

// What an order found at first may be let go only where nothing of it is about: its one copy ended unvoted, and its own process hasn't
// voted on it, as another may bring that vote to its end.
func TestBoundUntilNothingIsAbout(t *testing.T) {
	for _, x := range []struct {
		name   string
		given  int
		at     uint64
		result Result
		bound  bool
	}{
		{"its one copy was never voted on", 1, 0, Result{Kind: faults.Unready, Never: true}, false},
		{"it may have been", 1, 0, Result{Kind: faults.Unready}, true},
		{"another has one too", 2, 0, Result{Kind: faults.Unready, Never: true}, true},
		{"it was voted on here", 1, 2, Result{Kind: faults.Unready, Never: true}, true},
	} {
		c := qt.New(t)
		n, l := three(second)
		p := &pending{tag: 9, order: orders.Bind(n.Set, orders.Order{Kind: orders.Evacuate, Of: "z", Begun: true}), given: x.given, at: x.at, handed: 1, to: l.Members[1].IP}
		n.wait = []*pending{p}
		n.handed(Event{Now: second, From: l.Members[1].IP}, Message{Kind: Handed, Tag: 9, Result: &x.result})
		c.Check(p.order.Bound, qt.Equals, x.bound, qt.Commentf(x.name))
		c.Check(p.to, qt.Equals, "")
	}
}

// A process hands an order over, is killed, and in its next life has another order under the same tag: tags begin anew. The end of the
// first is none of the second's, which would else be confirmed though it lost; nor is an answer to a read of the life before.
func TestAnswersOfAnotherLife(t *testing.T) {
	for _, read := range []bool{false, true} {
		t.Run(fmt.Sprint("read ", read), func(t *testing.T) {
			c := qt.New(t)
			p := newPool(3, 0, 3)
			for _, ip := range p.ips {
				p.on(ip, "")
			}
			p.meet()
			p.run(second)
			var late []posted // answers of 1 and 2 to the first life
			p.may = func(from, to string, m Message) bool {
				if to == "3" && (m.Kind == Handed || m.Kind == Confirmed && m.Tag == 7) && p.at["3"].lives == 1 {
					late = append(late, posted{from, to, m})
					return false
				}
				return true
			}
			ask := func(o orders.Order) {
				if read {
					p.step("3", Event{Read: true, Tag: 7})
				} else {
					p.step("3", Event{Order: &o, Tag: 7})
				}
				p.deliver()
			}
			ask(gate("gate", 1, "one"))
			c.Assert(len(late) > 0, qt.IsTrue)
			p.off("3")
			p.on("3", "")
			p.meet()
			p.run(second)
			made := p.order("1", gate("other", 1, "made")) // since then
			c.Assert(p.confirmed(made), qt.IsTrue)
			p.may = func(from, to string, m Message) bool { // what 3 asks goes out, and no answer has come yet
				return to != "3" || m.Kind != Handed && m.Kind != Confirmed
			}
			ask(gate("gate", 1, "two"))
			p.may = nil
			for _, m := range late {
				p.step("3", Event{From: m.from, Message: &m.message})
			}
			_, told := p.answers[7]
			c.Check(told, qt.IsFalse, qt.Commentf("%v", p.answers[7]))
			p.run(3 * second)
			if r := p.answers[7]; read {
				c.Check(r.Kind, qt.Equals, faults.None)
			} else {
				c.Check(r.Kind, qt.Equals, faults.Conflict)
			}
		})
	}
}

// Four changes of 7 MB each wait for one number. Together they would be a frame that ends every line it comes on, and once it was
// voted for somewhere each promise would be one more: the core would never decide anything again. They go into as many numbers as
// it takes; no message is over a frame.
func TestNoValueIsOverAFrame(t *testing.T) {
	c := qt.New(t)
	p := newPool(3, 0, 3)
	for _, ip := range p.ips {
		p.on(ip, "")
	}
	p.meet()
	p.run(second)
	most, held := 0, true
	p.may = func(_, _ string, m Message) bool {
		size := manifest.Laid(m.Value) // of all its JSON nearly; orders' TestLaidInAFrame holds the two against each other
		for _, items := range m.Batches {
			size += manifest.Laid(items)
		}
		if m.Order != nil {
			size += manifest.Laid(m.Order.Items)
		}
		most = max(most, size)
		return !held
	}
	tags := []uint64{p.order("1", gate("first", 1, "x"))}
	long := strings.Repeat("x", 7<<20)
	for n := range 4 {
		tags = append(tags, p.order("1", gate(fmt.Sprint("gate-", n), 1, long)))
	}
	small := p.order("1", gate("small", 1, "x"))
	held = false
	p.run(3 * second)
	for _, tag := range append(tags, small) {
		c.Check(p.confirmed(tag), qt.IsTrue, qt.Commentf("%v", p.answers[tag].Kind))
	}
	c.Check(most > 14<<20 && most < lines.Largest-64<<10, qt.IsTrue, qt.Commentf("%d bytes", most))
	c.Check(p.at["1"].node.Counts.Decided, qt.Equals, int64(2))
	p.alike(c)

	// one that was away takes over as much, by changes as far as they are kept, else by a cut
	aways := []int{6, 2}
	if raced {
		aways = aways[1:]
	}
	for _, away := range aways {
		p.off("3")
		p.hears("1", "3", false)
		p.hears("2", "3", false)
		for n := range away {
			tag := p.order("1", gate(fmt.Sprint("gate-", n), uint64(2+away), long))
			p.run(500 * ms)
			c.Assert(p.confirmed(tag), qt.IsTrue, qt.Commentf("%v", p.answers[tag]))
		}
		most = 0
		p.on("3", "")
		p.meet()
		p.run(4 * second)
		c.Check(most < lines.Largest-64<<10, qt.IsTrue, qt.Commentf("%d bytes", most))
		p.alike(c)
		x := p.at["1"].node
		c.Check(x.ringLaid <= keptBytes, qt.IsTrue, qt.Commentf("%d bytes of changes are kept", x.ringLaid))
	}
}
