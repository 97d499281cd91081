package signals

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Who follows gets every number once and in order; who is behind by more than is kept takes a snapshot.
func TestLedgerAndFollower(t *testing.T) {
	c := qt.New(t)
	l := NewLedger(10)
	add := func(n int) {
		for range n {
			l.Add(Note{Front: &Front{}})
		}
	}
	var f Follower
	add(3)
	c.Check(f.Take("life", 0, l.Last(), false), qt.IsFalse) // of a life that it doesn't know
	c.Check(f.Take("life", 0, l.Last(), true), qt.IsTrue)
	for _, n := range []int{1, 0, 7, 10} {
		add(n)
		notes, ok := l.After(f.Have)
		c.Check(ok, qt.IsTrue)
		c.Check(notes, qt.HasLen, n)
		c.Check(f.Take("life", f.Have, l.Last(), false), qt.IsTrue)
	}
	c.Check(f.Take("life", 4, l.Last(), false), qt.IsFalse) // a gap, or what was had
	add(16)
	_, ok := l.After(f.Have)
	c.Check(ok, qt.IsFalse)
	_, ok = l.After(l.Last() + 1) // numbers of another life
	c.Check(ok, qt.IsFalse)
	c.Check(f.Take("next", 0, 2, true), qt.IsTrue)
	c.Check(f, qt.Equals, Follower{"next", 2})
}

func TestFrontsOrder(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		a, b Front
		want bool
	}{
		{Front{Since: 2}, Front{Since: 1, Change: 9}, true},
		{Front{Since: 1, Change: 2}, Front{Since: 1, Change: 1, Gone: true}, true},
		{Front{Since: 1, Gone: true}, Front{Since: 1}, true},
		{Front{Since: 1}, Front{Since: 1, Gone: true}, false},
		{Front{Since: 1}, Front{Since: 1}, false},
	} {
		c.Check(x.a.Newer(x.b), qt.Equals, x.want)
	}
	ready := Roster(map[string]Front{"c": {Name: "c", Ready: true}, "a": {Name: "a", Ready: true}, "b": {Name: "b"},
		"d": {Name: "d", Ready: true, Gone: true}})
	c.Check(fmt.Sprint(ready[0].Name, ready[1].Name, len(ready)), qt.Equals, "ac2")
}

// A register decides once: proposers that want different values, in any order, with messages lost, repeated and late, and
// as many acceptors that lose their disks as may be lost at once, right after a decision above all; they come back barred.
func TestRegisterDecidesOnce(t *testing.T) {
	for _, x := range []struct{ size, lost, seeds int }{{6, 2, 3000}, {9, 3, 3000}, {3, 1, 1000}} {
		decided := 0
		for seed := range uint64(x.seeds) {
			all := history(seed, x.size, x.lost, Cell{Barred: true})
			if len(all) > 1 {
				t.Fatalf("size %d, seed %d: decided %v", x.size, seed, all)
			}
			decided += len(all)
		}
		if decided < x.seeds/2 {
			t.Errorf("size %d: only %d of %d runs decided anything", x.size, decided, x.seeds)
		}
	}
}

// history plays one of a register, and tells which values were decided. An acceptor whose disk is lost comes back as back.
func history(seed uint64, size, mayLose int, back Cell) map[string]bool {
	draw := rand.New(rand.NewPCG(seed, 7))
	cells := make([]Cell, size)
	type proposer struct {
		round *Round
		index uint64
		own   string
	}
	all := []*proposer{{index: 0, own: "completed"}, {index: 1, own: "rolled_back"}, {index: 2, own: "completed"}}
	ballot := uint64(0)
	renew := func(p *proposer) {
		ballot++
		p.round = NewRound(ballot<<8|p.index, size/2+1, p.own)
	}
	for _, p := range all {
		renew(p)
	}
	type message struct {
		p    *proposer
		r    *Round
		step RoundState
		from int
		rep  Reply
	}
	var late []message
	decided := map[string]bool{}
	for i := range 600 {
		p := all[i/60%len(all)] // they take turns, and meddle
		if draw.IntN(12) == 0 {
			p = all[draw.IntN(len(all))]
		}
		to := draw.IntN(size)
		if draw.IntN(300) == 0 && mayLose > 0 {
			mayLose--
			cells[to] = back
		}
		if step := p.round.State(); step < Decided {
			var r Reply
			cells[to], r = cells[to].Take(p.round.Ask("x"))
			if draw.IntN(10) > 2 {
				late = append(late, message{p, p.round, step, to, r})
			}
		}
		for len(late) > 0 && draw.IntN(3) > 0 {
			at := draw.IntN(len(late))
			m := late[at]
			if draw.IntN(5) > 0 {
				late = append(late[:at], late[at+1:]...)
			}
			m.r.Take(fmt.Sprint(m.from), m.step, m.rep)
			if m.r.State() == Decided {
				decided[m.r.Value()] = true
				if draw.IntN(2) == 0 { // disks are lost right after, of those who accepted
					for _, at := range draw.Perm(size) {
						if mayLose > 0 && cells[at].Voted == m.r.Ballot {
							mayLose--
							cells[at] = back
						}
					}
				}
			}
			if m.p.round.State() >= Decided {
				renew(m.p)
			}
		}
	}
	return decided
}

// The histories are hard enough: with acceptors that come back and know of nothing, as they did before they were barred,
// some decide twice.
func TestForgottenPromisesDecideTwice(t *testing.T) {
	twice := 0
	for seed := range uint64(3000) {
		if len(history(seed, 9, 3, Cell{})) > 1 {
			twice++
		}
	}
	if twice == 0 {
		t.Error("no history decided twice")
	}
	t.Log(twice, "of 3000")
}

// No two proposers ever use one ballot, and each is above what was promised.
func TestBallots(t *testing.T) {
	c := qt.New(t)
	seen := map[uint64]string{}
	for z := range 9 {
		for now := range int64(50) {
			ip := fmt.Sprintf("10.%d.0.%d", z+1, z%3+1)
			b := Ballot(uint64(now)<<24, 1e18+now*1e7, ip)
			c.Check(seen[b], qt.Equals, "")
			c.Check(b > uint64(now)<<24, qt.IsTrue)
			seen[b] = ip
		}
	}
	c.Check(Ballot(1<<62, 0, "10.0.0.1") > 1<<62, qt.IsTrue)
}
