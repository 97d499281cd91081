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

// A forwarded operation must not take effect twice. Here its result is lost after it was decided, a later operation undoes its effect, and
// the process that forwarded it learns of both changes and forwards it again.
func TestForwardedOperationTakesEffectOnce(t *testing.T) {
	evacuate := func(active bool) operation.Operation {
		return operation.Operation{Kind: operation.Evacuate, Name: "z", Active: active}
	}
	begin := operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 10 * second, RetryWindow: second, KnownRolloutAge: 100 * second}
	for name, test := range map[string]struct {
		first, later operation.Operation
		key          config.Key
	}{
		"evacuation": {evacuate(true), evacuate(false), config.Key{Kind: config.KindEvacuations, Name: "z"}},
		"rollout":    {begin, operation.Operation{Kind: operation.EndRollout, Name: "desk", Expected: 1, Outcome: rollout.RolledBack}, config.Key{Kind: config.KindRollouts, Name: "desk"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(3, 0, 3)
			for _, ip := range tc.ips {
				tc.start(ip, "")
			}
			tc.connectAll()
			tc.run(second)
			tc.deliverable = func(from, to string, _ Message) bool { return from != "1" || to != "3" }
			tag := tc.submit("3", test.first)
			if test.first.Kind == operation.BeginRollout { // changes nothing: the operation was submitted above, by value
				test.first.KnownRollout = 1
			}
			applied, exists := tc.members["2"].node.Set.Lookup(test.key)
			c.Assert(exists, qt.IsTrue, qt.Commentf("the forwarded operation must be decided"))
			tc.run(100 * ms)
			undo := tc.submit("2", test.later)
			c.Assert(tc.isConfirmed(undo), qt.IsTrue, qt.Commentf("%v", tc.answers[undo]))
			undone, _ := tc.members["2"].node.Set.Lookup(test.key)
			c.Assert(undone.Version > applied.Version, qt.IsTrue)
			tc.setConnected("3", "2", true) // member 3 learns of both changes from member 2
			tc.run(4 * second)
			now, _ := tc.members["2"].node.Set.Lookup(test.key)
			c.Check(now.Equal(undone), qt.IsTrue, qt.Commentf("got version %d: %s; want version %d: %s", now.Version, now.Body, undone.Version, undone.Body))
			r, answered := tc.answers[tag]
			c.Assert(answered, qt.IsTrue)
			c.Check(r.Kind == apierror.None || r.Kind == apierror.Unavailable, qt.IsTrue, qt.Commentf("%v", r))
		})
	}
}

// The condition of a forwarded operation may be dropped only if no copy or proposal of it remains: its only copy was not proposed by the
// member that had it, and this process has not proposed it either.
func TestConditionKeptWhileCopyMayExist(t *testing.T) {
	for _, test := range []struct {
		name        string
		copies      int
		proposedAt  uint64
		result      Result
		conditional bool
	}{
		{"the only copy was not proposed", 1, 0, Result{Kind: apierror.Unavailable, NotProposed: true}, false},
		{"the only copy may have been proposed", 1, 0, Result{Kind: apierror.Unavailable}, true},
		{"two members have a copy", 2, 0, Result{Kind: apierror.Unavailable, NotProposed: true}, true},
		{"this process has proposed it", 1, 2, Result{Kind: apierror.Unavailable, NotProposed: true}, true},
	} {
		c := qt.New(t)
		n, l := newTestNode(second)
		op := &pendingOperation{tag: 9, operation: operation.Bind(n.Set, operation.Operation{Kind: operation.Evacuate, Name: "z", Active: true}), forwards: test.copies, proposedIndex: test.proposedAt, forwardedAt: 1, forwardedTo: l.Members[1].IP}
		n.forwarder.pending = []*pendingOperation{op}
		n.handleForwardResult(Event{Now: second, From: l.Members[1].IP}, Message{Kind: ForwardResult, Tag: 9, Result: &test.result})
		c.Check(op.operation.Conditional, qt.Equals, test.conditional, qt.Commentf(test.name))
		c.Check(op.forwardedTo, qt.Equals, "")
	}
}

// Tags restart with each incarnation. A process must ignore replies to an earlier incarnation, or it would confirm an operation that was
// rejected, or complete a read with an outdated index, because an earlier request had the same tag.
func TestRepliesToEarlierIncarnation(t *testing.T) {
	for _, read := range []bool{false, true} {
		t.Run(fmt.Sprint("read ", read), func(t *testing.T) {
			c := qt.New(t)
			tc := newTestCluster(3, 0, 3)
			for _, ip := range tc.ips {
				tc.start(ip, "")
			}
			tc.connectAll()
			tc.run(second)
			var late []envelope // replies to the first incarnation of member 3
			tc.deliverable = func(from, to string, m Message) bool {
				if to == "3" && (m.Kind == ForwardResult || m.Kind == ReadIndexReply && m.Tag == 7) && tc.members["3"].incarnations == 1 {
					late = append(late, envelope{from, to, m})
					return false
				}
				return true
			}
			submitTo3 := func(o operation.Operation) {
				if read {
					tc.step("3", Event{Read: true, Tag: 7})
				} else {
					tc.step("3", Event{Operation: &o, Tag: 7})
				}
				tc.deliver()
			}
			submitTo3(serviceOperation("gate", 1, "one"))
			c.Assert(len(late) > 0, qt.IsTrue)
			tc.stop("3")
			tc.start("3", "")
			tc.connectAll()
			tc.run(second)
			other := tc.submit("1", serviceOperation("other", 1, "made")) // makes the delayed read replies outdated
			c.Assert(tc.isConfirmed(other), qt.IsTrue)
			tc.deliverable = func(from, to string, m Message) bool { // blocks the replies to the second incarnation
				return to != "3" || m.Kind != ForwardResult && m.Kind != ReadIndexReply
			}
			submitTo3(serviceOperation("gate", 1, "two"))
			tc.deliverable = nil
			for _, m := range late {
				tc.step("3", Event{From: m.from, Message: &m.message})
			}
			_, answered := tc.answers[7]
			c.Check(answered, qt.IsFalse, qt.Commentf("%v", tc.answers[7]))
			tc.run(3 * second)
			if r := tc.answers[7]; read {
				c.Check(r.Kind, qt.Equals, apierror.None)
			} else {
				c.Check(r.Kind, qt.Equals, apierror.Conflict)
			}
		})
	}
}

// No message may exceed the maximum frame size, even if several operations of 7 MB are pending at once. A value that exceeds it would break
// the connections, and once a member has voted for it, so would every promise that reports it: nothing could be decided anymore.
func TestMessagesFitFrame(t *testing.T) {
	c := qt.New(t)
	tc := newTestCluster(3, 0, 3)
	for _, ip := range tc.ips {
		tc.start(ip, "")
	}
	tc.connectAll()
	tc.run(second)
	largest, blocked := 0, true
	tc.deliverable = func(_, _ string, m Message) bool {
		size := config.EncodedSizeBound(m.Value) // close to the size of the encoded message; the tests of package operation compare the two
		for _, items := range m.Batches {
			size += config.EncodedSizeBound(items)
		}
		if m.Operation != nil {
			size += config.EncodedSizeBound(m.Operation.Items)
		}
		largest = max(largest, size)
		return !blocked
	}
	tags := []uint64{tc.submit("1", serviceOperation("first", 1, "x"))}
	long := strings.Repeat("x", 7<<20)
	for n := range 4 {
		tags = append(tags, tc.submit("1", serviceOperation(fmt.Sprint("gate-", n), 1, long)))
	}
	small := tc.submit("1", serviceOperation("small", 1, "x"))
	blocked = false
	tc.run(3 * second)
	for _, tag := range append(tags, small) {
		c.Check(tc.isConfirmed(tag), qt.IsTrue, qt.Commentf("%v", tc.answers[tag].Kind))
	}
	c.Check(largest > 14<<20 && largest < stream.MaxFrameBytes-64<<10, qt.IsTrue, qt.Commentf("the largest message has %d bytes", largest))
	c.Check(tc.members["1"].node.Counts.Decided, qt.Equals, int64(2))
	tc.checkSame(c)

	// A restarted member catches up within the same limit, by changes if the history still has them, otherwise by a snapshot.
	missedChanges := []int{6, 2}
	if raceDetector {
		missedChanges = missedChanges[1:]
	}
	for _, missed := range missedChanges {
		tc.stop("3")
		tc.setConnected("1", "3", false)
		tc.setConnected("2", "3", false)
		for n := range missed {
			tag := tc.submit("1", serviceOperation(fmt.Sprint("gate-", n), uint64(2+missed), long))
			tc.run(500 * ms)
			c.Assert(tc.isConfirmed(tag), qt.IsTrue, qt.Commentf("%v", tc.answers[tag]))
		}
		largest = 0
		tc.start("3", "")
		tc.connectAll()
		tc.run(4 * second)
		c.Check(largest < stream.MaxFrameBytes-64<<10, qt.IsTrue, qt.Commentf("the largest message has %d bytes", largest))
		tc.checkSame(c)
		node := tc.members["1"].node
		c.Check(node.history.bytes <= maxRecentBytes, qt.IsTrue, qt.Commentf("the history has %d bytes", node.history.bytes))
	}
}
