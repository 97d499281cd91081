package quorum

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// twoLives plays a proposer that loses its power before its own promise is synced, after another has voted for its value; in
// its next life it proposes otherwise to who hasn't. It tells what stands at number 2 at each.
func twoLives(c *qt.C, first, next string) (at map[string]string) {
	p := newPool(3, 0, 3)
	p.on("1", first)
	p.on("2", "")
	p.on("3", "")
	p.meet()
	p.run(2 * second)
	before, items := p.at["1"].image()

	// promised by 2 and 3, voted for by 2; the disk of 1 is still writing
	p.may = func(from, to string, m Message) bool {
		return m.Kind == Promise || m.Kind == Prepare && to != "1" || m.Kind == Accept && to == "2"
	}
	p.order("1", gate("gate", 1, "one"))
	c.Assert(p.at["2"].disk.At, qt.Equals, uint64(2), qt.Commentf("%v", p.at["1"].node))
	c.Assert(p.at["3"].disk.At, qt.Equals, uint64(0))
	p.off("1")
	p.at["1"].disk, p.at["1"].items = before, items

	// it starts again, hears 3 only, and proposes otherwise; what it decided is told to 2
	p.on("1", next)
	p.may = func(from, to string, m Message) bool { return from != "2" && (to != "2" || m.Kind == Commit) }
	p.meet()
	p.run(second)
	p.hears("1", "2", true)
	tag := p.order("1", gate("gate", 1, "two"))
	p.run(second)
	c.Assert(p.confirmed(tag), qt.IsTrue)
	at = map[string]string{}
	p.may = nil
	p.run(5 * second)
	for _, ip := range p.ips {
		c.Check(p.at[ip].node.Applied() >= 2, qt.IsTrue)
		at[ip] = p.body(ip, "gate")
	}
	return at
}

// No two lives of a process ever use one ballot: else a commit of the second life's value is taken for the first's, which has
// the same ballot.
func TestTwoLivesOneBallot(t *testing.T) {
	c := qt.New(t)
	at := twoLives(c, "1.1", "1.2")
	c.Check(at["1"], qt.Contains, "two")
	c.Check(at["2"], qt.Equals, at["1"])
	c.Check(at["3"], qt.Equals, at["1"])
	at = twoLives(c, "1", "1") // the mend taken out
	c.Check(at["2"], qt.Not(qt.Equals), at["1"], qt.Commentf("two lives with one name aren't found"))
}
