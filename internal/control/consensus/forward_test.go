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

// An operation is forwarded to the preferred proposer, which has it decided; the result does not come back. Then a later operation, which
// is confirmed, undoes its effect. The process that forwarded it learns both changes from another member, and forwards it to the next: it
// must not take effect again.
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
			if test.first.Kind == operation.BeginRollout { // submitted where the newest rollout is long known
				test.first.KnownRollout = 1
			}
			applied, exists := tc.members["2"].node.Set.Lookup(test.key)
			c.Assert(exists, qt.IsTrue, qt.Commentf("it was decided"))
			tc.run(100 * ms)
			undo := tc.submit("2", test.later)
			c.Assert(tc.isConfirmed(undo), qt.IsTrue, qt.Commentf("%v", tc.answers[undo]))
			undone, _ := tc.members["2"].node.Set.Lookup(test.key)
			c.Assert(undone.Version > applied.Version, qt.IsTrue)
			tc.setConnected("3", "2", true) // by which it learns both
			tc.run(4 * second)
			now, _ := tc.members["2"].node.Set.Lookup(test.key)
			c.Check(now.Equal(undone), qt.IsTrue, qt.Commentf("%d: %s; before %d: %s", now.Version, now.Body, undone.Version, undone.Body))
			r, answered := tc.answers[tag]
			c.Assert(answered, qt.IsTrue)
			c.Check(r.Kind == apierror.None || r.Kind == apierror.Unavailable, qt.IsTrue, qt.Commentf("%v", r))
		})
	}
}

// The condition of a forwarded operation may be dropped only where nothing of it is left: its one copy ended without a vote, and its own
// process hasn't voted on it, as another may finish that vote.
func TestConditionKeptWhileCopyMayExist(t *testing.T) {
	for _, test := range []struct {
		name        string
		copies      int
		proposedAt  uint64
		result      Result
		conditional bool
	}{
		{"its one copy was never voted on", 1, 0, Result{Kind: apierror.Unavailable, NotProposed: true}, false},
		{"it may have been", 1, 0, Result{Kind: apierror.Unavailable}, true},
		{"another has one too", 2, 0, Result{Kind: apierror.Unavailable, NotProposed: true}, true},
		{"it was voted on here", 1, 2, Result{Kind: apierror.Unavailable, NotProposed: true}, true},
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

// A process forwards an operation, is killed, and in its next incarnation has another operation under the same tag: tags begin anew. The
// result of the first is not the second's, which would else be confirmed though it lost; nor is a reply to a read of the incarnation before.
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
			var late []envelope // replies of 1 and 2 to the first incarnation
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
			other := tc.submit("1", serviceOperation("other", 1, "made")) // since then
			c.Assert(tc.isConfirmed(other), qt.IsTrue)
			tc.deliverable = func(from, to string, m Message) bool { // the requests of 3 go out, and no reply has come yet
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

// Four changes of 7 MB each are pending at once. In one value they would make a frame that ends every connection, and once it was voted
// for somewhere each promise would be another: the core would never decide anything again. They go into as many values as it takes; no
// message is larger than a frame.
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
		size := config.EncodedSizeBound(m.Value) // nearly of all its JSON; TestValueFitsAFrame of operation compares the two
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
	c.Check(largest > 14<<20 && largest < stream.MaxFrameBytes-64<<10, qt.IsTrue, qt.Commentf("%d bytes", largest))
	c.Check(tc.members["1"].node.Counts.Decided, qt.Equals, int64(2))
	tc.checkSame(c)

	// one that was down catches up on as much, by changes as far as they are kept, else by a snapshot
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
		c.Check(largest < stream.MaxFrameBytes-64<<10, qt.IsTrue, qt.Commentf("%d bytes", largest))
		tc.checkSame(c)
		node := tc.members["1"].node
		c.Check(node.history.bytes <= maxRecentBytes, qt.IsTrue, qt.Commentf("%d bytes of changes are kept", node.history.bytes))
	}
}
