package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// runTwoIncarnations runs a proposer that loses power before its own promise is synced, but after member 2 has voted for its value. Its next
// incarnation proposes another value to member 3 only. runTwoIncarnations returns the final content of the service at each member, by IP
// address.
func runTwoIncarnations(c *qt.C, first, next string) (bodies map[string]string) {
	tc := newTestCluster(3, 0, 3)
	tc.start("1", first)
	tc.start("2", "")
	tc.start("3", "")
	tc.connectAll()
	tc.run(2 * second)
	before, items := tc.members["1"].diskImage()

	// Members 2 and 3 promise, and member 2 votes. Member 1's write is undone below, as if it had not been synced.
	tc.deliverable = func(from, to string, m Message) bool {
		return m.Kind == Promise || m.Kind == Prepare && to != "1" || m.Kind == Accept && to == "2"
	}
	tc.submit("1", serviceOperation("gate", 1, "one"))
	c.Assert(tc.members["2"].hardState.AcceptedIndex, qt.Equals, uint64(2), qt.Commentf("%v", tc.members["1"].node))
	c.Assert(tc.members["3"].hardState.AcceptedIndex, qt.Equals, uint64(0))
	tc.stop("1")
	tc.members["1"].hardState, tc.members["1"].items = before, items

	// Member 1 restarts, receives messages only from member 3 and proposes another value. Its Commit reaches member 2.
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

// Two incarnations of a process must never use the same ballot. Otherwise a member that voted for the value of the first would apply that
// value when it receives the Commit of the second.
func TestIncarnationsUseDistinctBallots(t *testing.T) {
	c := qt.New(t)
	bodies := runTwoIncarnations(c, "1.1", "1.2")
	c.Check(bodies["1"], qt.Contains, "two")
	c.Check(bodies["2"], qt.Equals, bodies["1"])
	c.Check(bodies["3"], qt.Equals, bodies["1"])
	bodies = runTwoIncarnations(c, "1", "1") // the same incarnation name twice, hence the same ballots
	c.Check(bodies["2"], qt.Not(qt.Equals), bodies["1"], qt.Commentf("members must diverge if both incarnations have the same name"))
}
