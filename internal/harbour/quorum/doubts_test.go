package quorum

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
)

// alike checks that all that are up have applied the same as the first.
func (p *pool) alike(c *qt.C) {
	c.Helper()
	for _, ip := range p.ips[1:] {
		a, b := p.at[p.ips[0]].node, p.at[ip].node
		if !p.at[ip].up {
			continue
		}
		c.Check(b.Applied(), qt.Equals, a.Applied(), qt.Commentf("%s: %v; %s: %v", p.ips[0], a, ip, b))
		c.Check(b.Set.Sum(), qt.Equals, a.Set.Sum(), qt.Commentf("at %s", ip))
	}
}

// A member is frozen for 20 s in the middle of its own proposal, while the others go on, and thaws with what was under way: the
// votes that it had asked for, or its asking.
func TestThawedInItsProposal(t *testing.T) {
	for name, held := range map[string]Kind{"its promises are on the way": Promise, "nobody has its proposal yet": Accept, "its votes are on the way": Voted} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPool(3, 0, 3)
			for _, ip := range p.ips {
				p.on(ip, "")
			}
			p.meet()
			p.run(second)
			var late []posted
			frozen := true
			p.may = func(from, to string, m Message) bool {
				if frozen && (from == "1" || to == "1") && m.Kind == held {
					late = append(late, posted{from, to, m})
				}
				return !frozen || m.Kind != held && len(late) == 0
			}
			tag := p.order("1", gate("gate", 1, "frozen"))
			c.Assert(len(late) > 0, qt.IsTrue)
			p.may = func(from, to string, _ Message) bool { return from != "1" && to != "1" }
			p.at["1"].up = false // it does nothing, and is told nothing
			for _, ip := range []string{"2", "3"} {
				p.hears(ip, "1", false)
			}
			for n := range 20 {
				o := p.order("2", gate("other", uint64(n+1), fmt.Sprint(n)))
				p.run(second)
				c.Assert(p.confirmed(o), qt.IsTrue, qt.Commentf("order %d: %v", n, p.answers[o]))
			}
			frozen, p.may, p.at["1"].up = false, nil, true
			p.mail = append(p.mail, late...)
			p.deliver()
			p.run(5 * second)
			p.alike(c)
			r, told := p.answers[tag]
			c.Assert(told, qt.IsTrue)
			if r.Kind != faults.Unready {
				c.Check(r.Kind, qt.Equals, faults.None)
				c.Check(p.body("3", "gate"), qt.Contains, "frozen")
			}
			tag = p.order("1", gate("gate", 1, "frozen"))
			p.run(2 * second)
			c.Check(p.confirmed(tag), qt.IsTrue)
			p.alike(c)
		})
	}
}

// Two founders are a core that bears no loss: without one of them nothing is confirmed, and with it all goes on. A third makes
// it bear one.
func TestTwoFounders(t *testing.T) {
	c := qt.New(t)
	p := newPool(2, 1, 3)
	for n, ip := range p.ips {
		s := p.at[ip]
		clear(s.items)
		if s.disk.Applied = 0; n < 2 {
			s.disk.Founders = []string{"1", "2"}
		}
	}
	p.on("2", "")
	p.run(5 * second)
	c.Check(p.at["2"].node.Applied(), qt.Equals, uint64(0), qt.Commentf("one of two founders is no core"))
	p.on("1", "")
	p.meet()
	p.run(3 * second)
	c.Assert(p.at["1"].node.List().Members, qt.HasLen, 2)
	c.Assert(p.goesOn(), qt.IsTrue)
	p.off("2")
	p.hears("1", "2", false)
	c.Check(p.goesOn(), qt.IsFalse)
	p.on("2", "")
	p.meet()
	c.Check(p.goesOn(), qt.IsTrue)
	p.on("3", "")
	p.meet()
	p.run(4 * second)
	c.Assert(p.at["1"].node.List().Members, qt.HasLen, 3)
	p.off("1")
	p.hears("2", "1", false)
	p.hears("3", "1", false)
	c.Check(p.goesOn(), qt.IsTrue)
}

// A learner restarts while it is voted in: before it has voted, or after, with its disk.
func TestVotedInWhileItRestarts(t *testing.T) {
	for name, voted := range map[string]bool{"before it votes": false, "after its vote": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPool(3, 1, 4)
			for _, ip := range p.ips {
				p.on(ip, "")
			}
			struck := false
			p.may = func(from, to string, m Message) bool {
				if m.Kind == Accept && to == "4" && !voted && !struck || m.Kind == Voted && from == "4" && voted && !struck {
					struck = true
					p.off("4")
					return false
				}
				return true
			}
			p.meet()
			p.run(2 * second)
			c.Assert(struck, qt.IsTrue)
			for _, ip := range p.ips[:3] {
				p.hears(ip, "4", false)
			}
			c.Check(p.at["1"].node.List().Members, qt.HasLen, 4)
			c.Check(p.goesOn(), qt.IsTrue)
			c.Assert(p.at["4"].disk.At == 2, qt.Equals, voted)
			p.on("4", "")
			p.meet()
			p.run(3 * second)
			c.Check(p.at["4"].node.Member(), qt.IsTrue)
			c.Check(p.at["4"].node.Whole(), qt.IsTrue)
			p.alike(c)
			p.off("3") // it counts now
			for _, ip := range []string{"1", "2", "4"} {
				p.hears(ip, "3", false)
			}
			c.Check(p.goesOn(), qt.IsTrue)
		})
	}
}

// A read at a member that hasn't heard of the change of members yet doesn't count those that went as enough: whoever voted on
// the change tells so.
func TestReadAcrossMembers(t *testing.T) {
	for _, x := range []struct{ reader, other string }{{"2", "3"}, {"3", "2"}} {
		t.Run(x.reader+" with "+x.other, func(t *testing.T) {
			c := qt.New(t)
			p := newPool(3, 1, 4)
			p.perZone = 1
			for _, ip := range p.ips {
				p.on(ip, "")
			}
			p.at["4"].member.Zone, p.at["4"].node.self.Zone = "z2", "z2" // it stands by
			p.meet()
			p.run(2 * second)
			c.Assert(p.at["1"].node.List().Epoch, qt.Equals, uint64(1))
			// 3 goes and 4 comes; 2 votes, and hears of nothing any more
			p.may = func(from, to string, m Message) bool {
				return to == "1" || to == "4" || m.Kind == Prepare || m.Kind == Accept && m.Number == 2 && to == "2"
			}
			p.order("1", orders.Order{Kind: orders.Join, In: []muster.Member{p.at["4"].member}, Out: []string{"3"}, Number: 1})
			p.run(200 * ms)
			c.Assert(p.at["1"].node.List().Epoch, qt.Equals, uint64(2))
			tag := p.order("1", gate("gate", 1, "new"))
			p.run(200 * ms)
			c.Assert(p.confirmed(tag), qt.IsTrue)
			c.Assert(p.at["2"].node.Applied(), qt.Equals, uint64(1))
			// the reader asks those that it hears: the other only
			p.may = func(from, to string, _ Message) bool {
				return (from == x.reader || from == x.other) && (to == x.reader || to == x.other)
			}
			p.tag++
			read := p.tag
			p.step(x.reader, Event{Read: true, Tag: read})
			p.deliver()
			p.run(4 * second)
			c.Check(p.answers[read].Kind, qt.Equals, faults.Unready)
			p.may = nil
			p.meet()
			p.tag++
			read = p.tag
			p.step(x.reader, Event{Read: true, Tag: read})
			p.deliver()
			p.run(2 * second)
			c.Check(p.answers[read], qt.DeepEquals, Result{Number: p.at["1"].node.Applied()})
			_, there := p.at[x.reader].node.Set.Get(manifest.Key{Kind: manifest.Services, Name: "gate"})
			c.Check(there, qt.IsTrue)
		})
	}
}

// An order that goes alone into its number costs no copy of the set, which at size is tens of thousands of items; many that wait
// together cost one.
func TestCopiesOfTheSet(t *testing.T) {
	c := qt.New(t)
	p := newPool(3, 0, 3)
	for _, ip := range p.ips {
		p.on(ip, "")
	}
	p.meet()
	p.run(second)
	for n := range 20 {
		o := p.order("1", gate(fmt.Sprint("gate-", n%3), uint64(n+1), "x"))
		p.run(100 * ms)
		c.Assert(p.confirmed(o), qt.IsTrue)
	}
	x := p.at["1"].node
	c.Check(x.Counts.Copied, qt.Equals, int64(0))
	decided := x.Counts.Decided
	held := true
	p.may = func(string, string, Message) bool { return !held }
	var all []uint64
	for n := range 13 { // the first is under way, the others wait for it: of two keys, each of which several change
		all = append(all, p.order("1", gate(fmt.Sprint("gate-", n%2), uint64(100+n), fmt.Sprint(n))))
	}
	held = false
	p.run(second)
	for n, o := range all {
		c.Check(p.confirmed(o), qt.IsTrue, qt.Commentf("%d: %v", n, p.answers[o]))
	}
	c.Check(x.Counts.Decided-decided, qt.Equals, int64(2))
	c.Check(x.Counts.Copied, qt.Equals, int64(1))
	c.Check(p.body("3", "gate-0"), qt.Contains, `"/12"`)
	c.Check(p.body("3", "gate-1"), qt.Contains, `"/11"`)
	p.alike(c)
}
