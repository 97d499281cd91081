package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// runTwoIncarnations plays a proposer that loses its power before its own promise is synced, after another has voted for its value; its next
// incarnation proposes another value to the one that has not. It returns what each has in the end.
func runTwoIncarnations(c *qt.C, first, next string) (bodies map[string]string) {
	tc := newTestCluster(3, 0, 3)
	tc.start("1", first)
	tc.start("2", "")
	tc.start("3", "")
	tc.connectAll()
	tc.run(2 * second)
	before, items := tc.members["1"].diskImage()

	// promised by 2 and 3, voted for by 2; the disk of 1 is still writing
	tc.deliverable = func(from, to string, m Message) bool {
		return m.Kind == Promise || m.Kind == Prepare && to != "1" || m.Kind == Accept && to == "2"
	}
	tc.submit("1", serviceOperation("gate", 1, "one"))
	c.Assert(tc.members["2"].hardState.AcceptedIndex, qt.Equals, uint64(2), qt.Commentf("%v", tc.members["1"].node))
	c.Assert(tc.members["3"].hardState.AcceptedIndex, qt.Equals, uint64(0))
	tc.stop("1")
	tc.members["1"].hardState, tc.members["1"].items = before, items

	// it starts again, receives from 3 only, and proposes another value; its commit reaches 2
	tc.start("1", next)
	tc.deliverable = func(from, to string, m Message) bool { return from != "2" && (to != "2" || m.Kind == Commit) }
	tc.connectAll()
	tc.run(second)
	tc.setConnected("1", "2", true)
	tag := tc.submit("1", serviceOperation("gate", 1, "two"))
	tc.run(second)
	c.Assert(tc.isConfirmed(tag), qt.IsTrue)
	bodies = map[string]string{}
	tc.deliverable = nil
	tc.run(5 * second)
	for _, ip := range tc.ips {
		c.Check(tc.members[ip].node.Applied() >= 2, qt.IsTrue)
		bodies[ip] = tc.serviceBody(ip, "gate")
	}
	return bodies
}

// No two incarnations of a process ever use one ballot: else a commit of the second one's value is taken for the first one's, which has the
// same ballot.
func TestIncarnationsUseDistinctBallots(t *testing.T) {
	c := qt.New(t)
	bodies := runTwoIncarnations(c, "1.1", "1.2")
	c.Check(bodies["1"], qt.Contains, "two")
	c.Check(bodies["2"], qt.Equals, bodies["1"])
	c.Check(bodies["3"], qt.Equals, bodies["1"])
	bodies = runTwoIncarnations(c, "1", "1") // with the rule broken
	c.Check(bodies["2"], qt.Not(qt.Equals), bodies["1"], qt.Commentf("one name for both incarnations isn't noticed"))
}
