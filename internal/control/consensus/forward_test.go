package consensus

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/stream"
	"portflow/internal/control/operation"
)

// An order is handed to the member that proposes for all, which has it decided; the word of that doesn't come back. Then a later
// order, which is confirmed, undoes what it made. Who handed it over hears of both changes from another, and hands it to the next
// member: it must not make once more what it made.
func TestForwardedTakesEffectOnce(t *testing.T) {
	evacuate := func(begun bool) operation.Operation {
		return operation.Operation{Kind: operation.Evacuate, Name: "z", Active: begun}
	}
	begin := operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 10 * second, RetryWindow: second, KnownRolloutAge: 100 * second}
	for name, x := range map[string]struct {
		first, later operation.Operation
		key          config.Key
	}{
		"evacuation": {evacuate(true), evacuate(false), config.Key{Kind: config.KindEvacuations, Name: "z"}},
		"rollout":    {begin, operation.Operation{Kind: operation.EndRollout, Name: "desk", Expected: 1, Outcome: rollout.RolledBack}, config.Key{Kind: config.KindRollouts, Name: "desk"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestCluster(3, 0, 3)
			for _, ip := range p.ips {
				p.start(ip, "")
			}
			p.connectAll()
			p.run(second)
			p.allowed = func(from, to string, _ Message) bool { return from != "1" || to != "3" }
			tag := p.submit("3", x.first)
			if x.first.Kind == operation.BeginRollout { // at one who knows the newest as it was long ago
				x.first.KnownRollout = 1
			}
			made, there := p.members["2"].node.Set.Lookup(x.key)
			c.Assert(there, qt.IsTrue, qt.Commentf("it was decided"))
			p.run(100 * ms)
			undo := p.submit("2", x.later)
			c.Assert(p.isConfirmed(undo), qt.IsTrue, qt.Commentf("%v", p.answers[undo]))
			over, _ := p.members["2"].node.Set.Lookup(x.key)
			c.Assert(over.Version > made.Version, qt.IsTrue)
			p.setHeard("3", "2", true) // by which it takes both over
			p.run(4 * second)
			now, _ := p.members["2"].node.Set.Lookup(x.key)
			c.Check(now.Equal(over), qt.IsTrue, qt.Commentf("%d: %s; before %d: %s", now.Version, now.Body, over.Version, over.Body))
			r, told := p.answers[tag]
			c.Assert(told, qt.IsTrue)
			c.Check(r.Kind == apierror.None || r.Kind == apierror.Unavailable, qt.IsTrue, qt.Commentf("%v", r))
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
		{"its one copy was never voted on", 1, 0, Result{Kind: apierror.Unavailable, NotProposed: true}, false},
		{"it may have been", 1, 0, Result{Kind: apierror.Unavailable}, true},
		{"another has one too", 2, 0, Result{Kind: apierror.Unavailable, NotProposed: true}, true},
		{"it was voted on here", 1, 2, Result{Kind: apierror.Unavailable, NotProposed: true}, true},
	} {
		c := qt.New(t)
		n, l := threeMembers(second)
		p := &pendingOperation{tag: 9, operation: operation.Bind(n.Set, operation.Operation{Kind: operation.Evacuate, Name: "z", Active: true}), forwards: x.given, proposedIndex: x.at, forwardedAt: 1, forwardedTo: l.Members[1].IP}
		n.forwarder.pending = []*pendingOperation{p}
		n.handleForwardResult(Event{Now: second, From: l.Members[1].IP}, Message{Kind: ForwardResult, Tag: 9, Result: &x.result})
		c.Check(p.operation.Conditional, qt.Equals, x.bound, qt.Commentf(x.name))
		c.Check(p.forwardedTo, qt.Equals, "")
	}
}

// A process hands an order over, is killed, and in its next life has another order under the same tag: tags begin anew. The end of the
// first is none of the second's, which would else be confirmed though it lost; nor is an answer to a read of the life before.
func TestAnswersOfAnotherLife(t *testing.T) {
	for _, read := range []bool{false, true} {
		t.Run(fmt.Sprint("read ", read), func(t *testing.T) {
			c := qt.New(t)
			p := newTestCluster(3, 0, 3)
			for _, ip := range p.ips {
				p.start(ip, "")
			}
			p.connectAll()
			p.run(second)
			var late []envelope // answers of 1 and 2 to the first life
			p.allowed = func(from, to string, m Message) bool {
				if to == "3" && (m.Kind == ForwardResult || m.Kind == ReadIndexReply && m.Tag == 7) && p.members["3"].incarnations == 1 {
					late = append(late, envelope{from, to, m})
					return false
				}
				return true
			}
			ask := func(o operation.Operation) {
				if read {
					p.step("3", Event{Read: true, Tag: 7})
				} else {
					p.step("3", Event{Operation: &o, Tag: 7})
				}
				p.deliver()
			}
			ask(serviceOperation("gate", 1, "one"))
			c.Assert(len(late) > 0, qt.IsTrue)
			p.stop("3")
			p.start("3", "")
			p.connectAll()
			p.run(second)
			made := p.submit("1", serviceOperation("other", 1, "made")) // since then
			c.Assert(p.isConfirmed(made), qt.IsTrue)
			p.allowed = func(from, to string, m Message) bool { // what 3 asks goes out, and no answer has come yet
				return to != "3" || m.Kind != ForwardResult && m.Kind != ReadIndexReply
			}
			ask(serviceOperation("gate", 1, "two"))
			p.allowed = nil
			for _, m := range late {
				p.step("3", Event{From: m.from, Message: &m.message})
			}
			_, answered := p.answers[7]
			c.Check(answered, qt.IsFalse, qt.Commentf("%v", p.answers[7]))
			p.run(3 * second)
			if r := p.answers[7]; read {
				c.Check(r.Kind, qt.Equals, apierror.None)
			} else {
				c.Check(r.Kind, qt.Equals, apierror.Conflict)
			}
		})
	}
}

// Four changes of 7 MB each wait for one number. Together they would be a frame that ends every line it comes on, and once it was
// voted for somewhere each promise would be one more: the core would never decide anything again. They go into as many numbers as
// it takes; no message is over a frame.
func TestNoValueIsOverAFrame(t *testing.T) {
	c := qt.New(t)
	p := newTestCluster(3, 0, 3)
	for _, ip := range p.ips {
		p.start(ip, "")
	}
	p.connectAll()
	p.run(second)
	most, held := 0, true
	p.allowed = func(_, _ string, m Message) bool {
		size := config.EncodedSizeBound(m.Value) // of all its JSON nearly; orders' TestLaidInAFrame holds the two against each other
		for _, items := range m.Batches {
			size += config.EncodedSizeBound(items)
		}
		if m.Operation != nil {
			size += config.EncodedSizeBound(m.Operation.Items)
		}
		most = max(most, size)
		return !held
	}
	tags := []uint64{p.submit("1", serviceOperation("first", 1, "x"))}
	long := strings.Repeat("x", 7<<20)
	for n := range 4 {
		tags = append(tags, p.submit("1", serviceOperation(fmt.Sprint("gate-", n), 1, long)))
	}
	small := p.submit("1", serviceOperation("small", 1, "x"))
	held = false
	p.run(3 * second)
	for _, tag := range append(tags, small) {
		c.Check(p.isConfirmed(tag), qt.IsTrue, qt.Commentf("%v", p.answers[tag].Kind))
	}
	c.Check(most > 14<<20 && most < stream.MaxFrameBytes-64<<10, qt.IsTrue, qt.Commentf("%d bytes", most))
	c.Check(p.members["1"].node.Counts.Decided, qt.Equals, int64(2))
	p.checkSame(c)

	// one that was away takes over as much, by changes as far as they are kept, else by a cut
	aways := []int{6, 2}
	if raced {
		aways = aways[1:]
	}
	for _, away := range aways {
		p.stop("3")
		p.setHeard("1", "3", false)
		p.setHeard("2", "3", false)
		for n := range away {
			tag := p.submit("1", serviceOperation(fmt.Sprint("gate-", n), uint64(2+away), long))
			p.run(500 * ms)
			c.Assert(p.isConfirmed(tag), qt.IsTrue, qt.Commentf("%v", p.answers[tag]))
		}
		most = 0
		p.start("3", "")
		p.connectAll()
		p.run(4 * second)
		c.Check(most < stream.MaxFrameBytes-64<<10, qt.IsTrue, qt.Commentf("%d bytes", most))
		p.checkSame(c)
		x := p.members["1"].node
		c.Check(x.history.bytes <= maxRecentBytes, qt.IsTrue, qt.Commentf("%d bytes of changes are kept", x.history.bytes))
	}
}
