package consensus

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// checkSame checks that all that are up have applied the same as the first.
func (tc *testCluster) checkSame(c *qt.C) {
	c.Helper()
	for _, ip := range tc.ips[1:] {
		a, b := tc.members[tc.ips[0]].node, tc.members[ip].node
		if !tc.members[ip].up {
			continue
		}
		c.Check(b.Applied(), qt.Equals, a.Applied(), qt.Commentf("%s: %v; %s: %v", tc.ips[0], a, ip, b))
		c.Check(b.Set.Checksum(), qt.Equals, a.Set.Checksum(), qt.Commentf("at %s", ip))
	}
}

// A member is frozen for 20 s in the middle of its own proposal, while the others go on, and thaws with what was under way: the
// votes that it had asked for, or its asking.
func TestThawedInItsProposal(t *testing.T) {
	for name, held := range map[string]MessageKind{"its promises are on the way": Promise, "nobody has its proposal yet": Accept, "its votes are on the way": Accepted} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestCluster(3, 0, 3)
			for _, ip := range p.ips {
				p.start(ip, "")
			}
			p.connectAll()
			p.run(second)
			var late []envelope
			frozen := true
			p.allowed = func(from, to string, m Message) bool {
				if frozen && (from == "1" || to == "1") && m.Kind == held {
					late = append(late, envelope{from, to, m})
				}
				return !frozen || m.Kind != held && len(late) == 0
			}
			tag := p.submit("1", serviceOperation("gate", 1, "frozen"))
			c.Assert(len(late) > 0, qt.IsTrue)
			p.allowed = func(from, to string, _ Message) bool { return from != "1" && to != "1" }
			p.members["1"].up = false // it does nothing, and is told nothing
			for _, ip := range []string{"2", "3"} {
				p.setHeard(ip, "1", false)
			}
			for n := range 20 {
				o := p.submit("2", serviceOperation("other", uint64(n+1), fmt.Sprint(n)))
				p.run(second)
				c.Assert(p.isConfirmed(o), qt.IsTrue, qt.Commentf("order %d: %v", n, p.answers[o]))
			}
			frozen, p.allowed, p.members["1"].up = false, nil, true
			p.inFlight = append(p.inFlight, late...)
			p.deliver()
			p.run(5 * second)
			p.checkSame(c)
			r, answered := p.answers[tag]
			c.Assert(answered, qt.IsTrue)
			if r.Kind != apierror.Unavailable {
				c.Check(r.Kind, qt.Equals, apierror.None)
				c.Check(p.serviceBody("3", "gate"), qt.Contains, "frozen")
			}
			tag = p.submit("1", serviceOperation("gate", 1, "frozen"))
			p.run(2 * second)
			c.Check(p.isConfirmed(tag), qt.IsTrue)
			p.checkSame(c)
		})
	}
}

// Two founders are a core that bears no loss: without one of them nothing is confirmed, and with it all goes on. A third makes
// it bear one.
func TestTwoFounders(t *testing.T) {
	c := qt.New(t)
	p := newTestCluster(2, 1, 3)
	for n, ip := range p.ips {
		s := p.members[ip]
		clear(s.items)
		if s.hardState.Applied = 0; n < 2 {
			s.hardState.Founders = []string{"1", "2"}
		}
	}
	p.start("2", "")
	p.run(5 * second)
	c.Check(p.members["2"].node.Applied(), qt.Equals, uint64(0), qt.Commentf("one of two founders is no core"))
	p.start("1", "")
	p.connectAll()
	p.run(3 * second)
	c.Assert(p.members["1"].node.Membership().Members, qt.HasLen, 2)
	c.Assert(p.makesProgress(), qt.IsTrue)
	p.stop("2")
	p.setHeard("1", "2", false)
	c.Check(p.makesProgress(), qt.IsFalse)
	p.start("2", "")
	p.connectAll()
	c.Check(p.makesProgress(), qt.IsTrue)
	p.start("3", "")
	p.connectAll()
	p.run(4 * second)
	c.Assert(p.members["1"].node.Membership().Members, qt.HasLen, 3)
	p.stop("1")
	p.setHeard("2", "1", false)
	p.setHeard("3", "1", false)
	c.Check(p.makesProgress(), qt.IsTrue)
}

// A learner restarts while it is voted in: before it has voted, or after, with its disk.
func TestVotedInWhileItRestarts(t *testing.T) {
	for name, voted := range map[string]bool{"before it votes": false, "after its vote": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestCluster(3, 1, 4)
			for _, ip := range p.ips {
				p.start(ip, "")
			}
			struck := false
			p.allowed = func(from, to string, m Message) bool {
				if m.Kind == Accept && to == "4" && !voted && !struck || m.Kind == Accepted && from == "4" && voted && !struck {
					struck = true
					p.stop("4")
					return false
				}
				return true
			}
			p.connectAll()
			p.run(2 * second)
			c.Assert(struck, qt.IsTrue)
			for _, ip := range p.ips[:3] {
				p.setHeard(ip, "4", false)
			}
			c.Check(p.members["1"].node.Membership().Members, qt.HasLen, 4)
			c.Check(p.makesProgress(), qt.IsTrue)
			c.Assert(p.members["4"].hardState.AcceptedIndex == 2, qt.Equals, voted)
			p.start("4", "")
			p.connectAll()
			p.run(3 * second)
			c.Check(p.members["4"].node.IsMember(), qt.IsTrue)
			c.Check(p.members["4"].node.CaughtUp(), qt.IsTrue)
			p.checkSame(c)
			p.stop("3") // it counts now
			for _, ip := range []string{"1", "2", "4"} {
				p.setHeard(ip, "3", false)
			}
			c.Check(p.makesProgress(), qt.IsTrue)
		})
	}
}

// A read at a member that hasn't heard of the change of members yet doesn't count those that went as enough: whoever voted on
// the change tells so.
func TestReadAcrossMembers(t *testing.T) {
	for _, x := range []struct{ reader, other string }{{"2", "3"}, {"3", "2"}} {
		t.Run(x.reader+" with "+x.other, func(t *testing.T) {
			c := qt.New(t)
			p := newTestCluster(3, 1, 4)
			p.perZone = 1
			for _, ip := range p.ips {
				p.start(ip, "")
			}
			p.members["4"].member.Zone, p.members["4"].node.self.Zone = "z2", "z2" // it stands by
			p.connectAll()
			p.run(2 * second)
			c.Assert(p.members["1"].node.Membership().Epoch, qt.Equals, uint64(1))
			// 3 goes and 4 comes; 2 votes, and hears of nothing any more
			p.allowed = func(from, to string, m Message) bool {
				return to == "1" || to == "4" || m.Kind == Prepare || m.Kind == Accept && m.Index == 2 && to == "2"
			}
			p.submit("1", operation.Operation{Kind: operation.ChangeMembers, Add: []membership.Member{p.members["4"].member}, Remove: []string{"3"}, Expected: 1})
			p.run(200 * ms)
			c.Assert(p.members["1"].node.Membership().Epoch, qt.Equals, uint64(2))
			tag := p.submit("1", serviceOperation("gate", 1, "new"))
			p.run(200 * ms)
			c.Assert(p.isConfirmed(tag), qt.IsTrue)
			c.Assert(p.members["2"].node.Applied(), qt.Equals, uint64(1))
			// the reader asks those that it hears: the other only
			p.allowed = func(from, to string, _ Message) bool {
				return (from == x.reader || from == x.other) && (to == x.reader || to == x.other)
			}
			p.lastTag++
			read := p.lastTag
			p.step(x.reader, Event{Read: true, Tag: read})
			p.deliver()
			p.run(4 * second)
			c.Check(p.answers[read].Kind, qt.Equals, apierror.Unavailable)
			p.allowed = nil
			p.connectAll()
			p.lastTag++
			read = p.lastTag
			p.step(x.reader, Event{Read: true, Tag: read})
			p.deliver()
			p.run(2 * second)
			c.Check(p.answers[read], qt.DeepEquals, Result{Index: p.members["1"].node.Applied()})
			_, there := p.members[x.reader].node.Set.Lookup(config.Key{Kind: config.KindServices, Name: "gate"})
			c.Check(there, qt.IsTrue)
		})
	}
}

// An order that goes alone into its number costs no copy of the set, which at size is tens of thousands of items; many that wait
// together cost one.
func TestCopiesOfTheSet(t *testing.T) {
	c := qt.New(t)
	p := newTestCluster(3, 0, 3)
	for _, ip := range p.ips {
		p.start(ip, "")
	}
	p.connectAll()
	p.run(second)
	for n := range 20 {
		o := p.submit("1", serviceOperation(fmt.Sprint("gate-", n%3), uint64(n+1), "x"))
		p.run(100 * ms)
		c.Assert(p.isConfirmed(o), qt.IsTrue)
	}
	x := p.members["1"].node
	c.Check(x.Counts.Copied, qt.Equals, int64(0))
	decided := x.Counts.Decided
	held := true
	p.allowed = func(string, string, Message) bool { return !held }
	var all []uint64
	for n := range 13 { // the first is under way, the others wait for it: of two keys, each of which several change
		all = append(all, p.submit("1", serviceOperation(fmt.Sprint("gate-", n%2), uint64(100+n), fmt.Sprint(n))))
	}
	held = false
	p.run(second)
	for n, o := range all {
		c.Check(p.isConfirmed(o), qt.IsTrue, qt.Commentf("%d: %v", n, p.answers[o]))
	}
	c.Check(x.Counts.Decided-decided, qt.Equals, int64(2))
	c.Check(x.Counts.Copied, qt.Equals, int64(1))
	c.Check(p.serviceBody("3", "gate-0"), qt.Contains, `"/12"`)
	c.Check(p.serviceBody("3", "gate-1"), qt.Contains, `"/11"`)
	p.checkSame(c)
}
