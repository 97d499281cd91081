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

// checkSame checks that all processes that are up have applied the same as the first.
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

// A member is frozen for 20 s in the middle of its own proposal, while the others go on, and thaws with what was in flight: the replies that
// it waits for, or its proposal.
func TestFrozenDuringProposal(t *testing.T) {
	for name, delayedKind := range map[string]MessageKind{"its promises are on the way": Promise, "nobody has its proposal yet": Accept, "its votes are on the way": Accepted} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(3, 0, 3)
			for _, ip := range tc.ips {
				tc.start(ip, "")
			}
			tc.connectAll()
			tc.run(second)
			var delayed []envelope
			frozen := true
			tc.deliverable = func(from, to string, m Message) bool {
				if frozen && (from == "1" || to == "1") && m.Kind == delayedKind {
					delayed = append(delayed, envelope{from, to, m})
				}
				return !frozen || m.Kind != delayedKind && len(delayed) == 0
			}
			tag := tc.submit("1", serviceOperation("gate", 1, "frozen"))
			c.Assert(len(delayed) > 0, qt.IsTrue)
			tc.deliverable = func(from, to string, _ Message) bool { return from != "1" && to != "1" }
			tc.members["1"].up = false // it does nothing, and receives nothing
			for _, ip := range []string{"2", "3"} {
				tc.setConnected(ip, "1", false)
			}
			for n := range 20 {
				o := tc.submit("2", serviceOperation("other", uint64(n+1), fmt.Sprint(n)))
				tc.run(second)
				c.Assert(tc.isConfirmed(o), qt.IsTrue, qt.Commentf("order %d: %v", n, tc.answers[o]))
			}
			frozen, tc.deliverable, tc.members["1"].up = false, nil, true
			tc.inFlight = append(tc.inFlight, delayed...)
			tc.deliver()
			tc.run(5 * second)
			tc.checkSame(c)
			r, answered := tc.answers[tag]
			c.Assert(answered, qt.IsTrue)
			if r.Kind != apierror.Unavailable {
				c.Check(r.Kind, qt.Equals, apierror.None)
				c.Check(tc.serviceBody("3", "gate"), qt.Contains, "frozen")
			}
			tag = tc.submit("1", serviceOperation("gate", 1, "frozen"))
			tc.run(2 * second)
			c.Check(tc.isConfirmed(tag), qt.IsTrue)
			tc.checkSame(c)
		})
	}
}

// Two founders are a core that tolerates no loss: without one of them nothing is confirmed, and with it all goes on. With a third it
// tolerates one.
func TestTwoFounders(t *testing.T) {
	c := qt.New(t)
	tc := newTestCluster(2, 1, 3)
	for n, ip := range tc.ips {
		s := tc.members[ip]
		clear(s.items)
		if s.hardState.Applied = 0; n < 2 {
			s.hardState.Founders = []string{"1", "2"}
		}
	}
	tc.start("2", "")
	tc.run(5 * second)
	c.Check(tc.members["2"].node.Applied(), qt.Equals, uint64(0), qt.Commentf("one of two founders is no quorum"))
	tc.start("1", "")
	tc.connectAll()
	tc.run(3 * second)
	c.Assert(tc.members["1"].node.Membership().Members, qt.HasLen, 2)
	c.Assert(tc.makesProgress(), qt.IsTrue)
	tc.stop("2")
	tc.setConnected("1", "2", false)
	c.Check(tc.makesProgress(), qt.IsFalse)
	tc.start("2", "")
	tc.connectAll()
	c.Check(tc.makesProgress(), qt.IsTrue)
	tc.start("3", "")
	tc.connectAll()
	tc.run(4 * second)
	c.Assert(tc.members["1"].node.Membership().Members, qt.HasLen, 3)
	tc.stop("1")
	tc.setConnected("2", "1", false)
	tc.setConnected("3", "1", false)
	c.Check(tc.makesProgress(), qt.IsTrue)
}

// A learner restarts while it joins: before it has voted, or after, with its disk.
func TestRestartWhileJoining(t *testing.T) {
	for name, voted := range map[string]bool{"before it votes": false, "after its vote": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(3, 1, 4)
			for _, ip := range tc.ips {
				tc.start(ip, "")
			}
			crashed := false
			tc.deliverable = func(from, to string, m Message) bool {
				if m.Kind == Accept && to == "4" && !voted && !crashed || m.Kind == Accepted && from == "4" && voted && !crashed {
					crashed = true
					tc.stop("4")
					return false
				}
				return true
			}
			tc.connectAll()
			tc.run(2 * second)
			c.Assert(crashed, qt.IsTrue)
			for _, ip := range tc.ips[:3] {
				tc.setConnected(ip, "4", false)
			}
			c.Check(tc.members["1"].node.Membership().Members, qt.HasLen, 4)
			c.Check(tc.makesProgress(), qt.IsTrue)
			c.Assert(tc.members["4"].hardState.AcceptedIndex == 2, qt.Equals, voted)
			tc.start("4", "")
			tc.connectAll()
			tc.run(3 * second)
			c.Check(tc.members["4"].node.IsMember(), qt.IsTrue)
			c.Check(tc.members["4"].node.CaughtUp(), qt.IsTrue)
			tc.checkSame(c)
			tc.stop("3") // its vote counts now
			for _, ip := range []string{"1", "2", "4"} {
				tc.setConnected(ip, "3", false)
			}
			c.Check(tc.makesProgress(), qt.IsTrue)
		})
	}
}

// A read at a member that hasn't learned of a change of members yet does not take those that left for a majority: who voted on the change
// reports it.
func TestReadDuringMembershipChange(t *testing.T) {
	for _, test := range []struct{ reader, other string }{{"2", "3"}, {"3", "2"}} {
		t.Run(test.reader+" with "+test.other, func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(3, 1, 4)
			tc.minPerZone = 1
			for _, ip := range tc.ips {
				tc.start(ip, "")
			}
			tc.members["4"].member.Zone, tc.members["4"].node.self.Zone = "z2", "z2" // it stays a learner
			tc.connectAll()
			tc.run(2 * second)
			c.Assert(tc.members["1"].node.Membership().Epoch, qt.Equals, uint64(1))
			// 3 leaves and 4 joins; 2 votes, and receives nothing any more
			tc.deliverable = func(from, to string, m Message) bool {
				return to == "1" || to == "4" || m.Kind == Prepare || m.Kind == Accept && m.Index == 2 && to == "2"
			}
			tc.submit("1", operation.Operation{Kind: operation.ChangeMembers, Add: []membership.Member{tc.members["4"].member}, Remove: []string{"3"}, Expected: 1})
			tc.run(200 * ms)
			c.Assert(tc.members["1"].node.Membership().Epoch, qt.Equals, uint64(2))
			tag := tc.submit("1", serviceOperation("gate", 1, "new"))
			tc.run(200 * ms)
			c.Assert(tc.isConfirmed(tag), qt.IsTrue)
			c.Assert(tc.members["2"].node.Applied(), qt.Equals, uint64(1))
			// the reader is connected to the other only
			tc.deliverable = func(from, to string, _ Message) bool {
				return (from == test.reader || from == test.other) && (to == test.reader || to == test.other)
			}
			tc.lastTag++
			read := tc.lastTag
			tc.step(test.reader, Event{Read: true, Tag: read})
			tc.deliver()
			tc.run(4 * second)
			c.Check(tc.answers[read].Kind, qt.Equals, apierror.Unavailable)
			tc.deliverable = nil
			tc.connectAll()
			tc.lastTag++
			read = tc.lastTag
			tc.step(test.reader, Event{Read: true, Tag: read})
			tc.deliver()
			tc.run(2 * second)
			c.Check(tc.answers[read], qt.DeepEquals, Result{Index: tc.members["1"].node.Applied()})
			_, exists := tc.members[test.reader].node.Set.Lookup(config.Key{Kind: config.KindServices, Name: "gate"})
			c.Check(exists, qt.IsTrue)
		})
	}
}

// An operation alone in its value costs no copy of the set, which may have tens of thousands of items; many that are pending together cost
// one.
func TestBatchCopiesSetOnce(t *testing.T) {
	c := qt.New(t)
	tc := newTestCluster(3, 0, 3)
	for _, ip := range tc.ips {
		tc.start(ip, "")
	}
	tc.connectAll()
	tc.run(second)
	for n := range 20 {
		o := tc.submit("1", serviceOperation(fmt.Sprint("gate-", n%3), uint64(n+1), "x"))
		tc.run(100 * ms)
		c.Assert(tc.isConfirmed(o), qt.IsTrue)
	}
	node := tc.members["1"].node
	c.Check(node.Counts.Copied, qt.Equals, int64(0))
	decided := node.Counts.Decided
	held := true
	tc.deliverable = func(string, string, Message) bool { return !held }
	var all []uint64
	for n := range 13 { // the first is being decided, the others wait for it: of two keys, each of which several change
		all = append(all, tc.submit("1", serviceOperation(fmt.Sprint("gate-", n%2), uint64(100+n), fmt.Sprint(n))))
	}
	held = false
	tc.run(second)
	for n, o := range all {
		c.Check(tc.isConfirmed(o), qt.IsTrue, qt.Commentf("%d: %v", n, tc.answers[o]))
	}
	c.Check(node.Counts.Decided-decided, qt.Equals, int64(2))
	c.Check(node.Counts.Copied, qt.Equals, int64(1))
	c.Check(tc.serviceBody("3", "gate-0"), qt.Contains, `"/12"`)
	c.Check(tc.serviceBody("3", "gate-1"), qt.Contains, `"/11"`)
	tc.checkSame(c)
}
