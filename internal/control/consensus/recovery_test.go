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

// checkSame checks that all running processes have applied the same index and hold the same set as the first process.
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

// A member freezes for 20 s during its own proposal, while the others decide further values. When it thaws, the replies that it waits
// for, or its proposal, are delivered late.
func TestFrozenDuringProposal(t *testing.T) {
	for name, delayedKind := range map[string]MessageKind{"late promises": Promise, "late proposal": Accept, "late votes": Accepted} {
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
			tc.members["1"].up = false // frozen, not restarted
			for _, ip := range []string{"2", "3"} {
				tc.setConnected(ip, "1", false)
			}
			for n := range 20 {
				otherTag := tc.submit("2", serviceOperation("other", uint64(n+1), fmt.Sprint(n)))
				tc.run(second)
				c.Assert(tc.isConfirmed(otherTag), qt.IsTrue, qt.Commentf("operation %d: %v", n, tc.answers[otherTag]))
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

// A cluster of two founders tolerates no loss: nothing is confirmed until both are up. With a third member it tolerates one loss.
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
	c.Check(tc.members["2"].node.Applied(), qt.Equals, uint64(0), qt.Commentf("one of two founders is not a quorum"))
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

// A learner restarts with its disk while the change that adds it is being voted on, before or after its own vote.
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
			tc.stop("3") // the vote of 4 is now needed for a majority
			for _, ip := range []string{"1", "2", "4"} {
				tc.setConnected(ip, "3", false)
			}
			c.Check(tc.makesProgress(), qt.IsTrue)
		})
	}
}

// A reader that has not learned of a membership change must not complete a read with a majority of the old members: the one that voted
// on the change reports its vote.
func TestReadDuringMembershipChange(t *testing.T) {
	for _, test := range []struct{ reader, other string }{{"2", "3"}, {"3", "2"}} {
		t.Run(test.reader+" with "+test.other, func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(3, 1, 4)
			tc.minPerZone = 1
			for _, ip := range tc.ips {
				tc.start(ip, "")
			}
			tc.members["4"].member.Zone, tc.members["4"].node.self.Zone = "z2", "z2" // 4 stays a learner, as 3 is in its zone
			tc.connectAll()
			tc.run(2 * second)
			c.Assert(tc.members["1"].node.Membership().Epoch, qt.Equals, uint64(1))
			// 3 leaves and 4 joins. 2 votes on that, but does not learn that it is decided.
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
			// The reader and the other old member reach only each other.
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

// Evaluating a single operation must not copy the set, which may hold tens of thousands of items. A batch of operations copies it once.
func TestBatchCopiesSetOnce(t *testing.T) {
	c := qt.New(t)
	tc := newTestCluster(3, 0, 3)
	for _, ip := range tc.ips {
		tc.start(ip, "")
	}
	tc.connectAll()
	tc.run(second)
	for n := range 20 {
		tag := tc.submit("1", serviceOperation(fmt.Sprint("gate-", n%3), uint64(n+1), "x"))
		tc.run(100 * ms)
		c.Assert(tc.isConfirmed(tag), qt.IsTrue)
	}
	node := tc.members["1"].node
	c.Check(node.Counts.Copied, qt.Equals, int64(0))
	decided := node.Counts.Decided
	held := true
	tc.deliverable = func(string, string, Message) bool { return !held }
	var tags []uint64
	for n := range 13 { // the first is being decided while the others wait; they alternate between two services
		tags = append(tags, tc.submit("1", serviceOperation(fmt.Sprint("gate-", n%2), uint64(100+n), fmt.Sprint(n))))
	}
	held = false
	tc.run(second)
	for n, tag := range tags {
		c.Check(tc.isConfirmed(tag), qt.IsTrue, qt.Commentf("%d: %v", n, tc.answers[tag]))
	}
	c.Check(node.Counts.Decided-decided, qt.Equals, int64(2))
	c.Check(node.Counts.Copied, qt.Equals, int64(1))
	c.Check(tc.serviceBody("3", "gate-0"), qt.Contains, `"/12"`)
	c.Check(tc.serviceBody("3", "gate-1"), qt.Contains, `"/11"`)
	tc.checkSame(c)
}
