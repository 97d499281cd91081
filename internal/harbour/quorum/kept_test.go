package quorum

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
)

// three is a list of three members that stands at number 1, and the second of them, which has asked the others since its start.
func three(now int64) (*Node, muster.List) {
	l := muster.List{Epoch: 1}
	for n, ip := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		l.Members = append(l.Members, muster.Member{IP: ip, ID: string(rune('a' + n)), Zone: ip})
	}
	set := manifest.NewSet()
	set.Merge(l.Item())
	x := New(l.Members[1], "life", 1, Disk{ID: "b", Applied: 1}, set, now)
	x.whole, x.start = true, nil
	return x, l
}

// A vote is told to those who read only once it is on disk: also where the same ballot had a vote on disk at the number before.
func TestVoteToldOnceOnDisk(t *testing.T) {
	c := qt.New(t)
	x, l := three(second)
	from, b := l.Members[0], Ballot{5, "other"}
	say := func(m Message) Effects {
		m.ID, m.Epoch = from.ID, 1
		return x.Step(Event{Now: 2 * second, From: from.IP, Message: &m})
	}
	told := func() Message {
		out := say(Message{Kind: Confirm, Tag: 7})
		for _, m := range out.Send[from.IP] {
			if m.Kind == Confirmed {
				return m
			}
		}
		c.Fatal("no answer")
		return Message{}
	}
	synced := func(out Effects) {
		for _, m := range out.Synced[l.Members[1].IP] {
			x.Step(Event{Now: 2 * second, From: l.Members[1].IP, Message: &m})
		}
	}
	value := func(v uint64) []manifest.Item { return []manifest.Item{item(manifest.Settled, "desk", v, `{}`)} }
	first := say(Message{Kind: Accept, Number: 2, Ballot: b, Value: value(1)})
	c.Check(told().Vote, qt.Equals, Ballot{}, qt.Commentf("not on disk yet"))
	synced(first)
	c.Check(told().Vote, qt.Equals, b)
	say(Message{Kind: Commit, Number: 2, Ballot: b})
	c.Assert(x.Applied(), qt.Equals, uint64(2))
	second := say(Message{Kind: Accept, Number: 3, Ballot: b, Value: value(2)})
	c.Check(told().Vote, qt.Equals, Ballot{}, qt.Commentf("the vote on number 3 is not on disk yet"))
	synced(second)
	c.Check(told().Vote, qt.Equals, b)
}

// What is forgotten and comes again in one step is on disk afterwards, whichever was first.
func TestForgottenAndSetAgain(t *testing.T) {
	c := qt.New(t)
	x, l := three(second)
	disk := map[manifest.Key]manifest.Item{}
	for n := range manifest.MostDropped {
		i := manifest.Item{Kind: manifest.Routes, Name: fmt.Sprintf("r%d", n), Version: uint64(n + 1), Dropped: true}
		x.Set.Merge(i)
		disk[i.Key()] = i
	}
	disk[muster.Key] = l.Item()
	from := l.Members[0]
	do := func(m Message) {
		m.ID, m.Epoch, m.Applied = from.ID, 1, 4
		out := x.Step(Event{Now: 2 * second, From: from.IP, Message: &m})
		for _, i := range out.Items {
			disk[i.Key()] = i
		}
		for _, k := range out.Gone {
			delete(disk, k)
		}
	}
	do(Message{Kind: Prepare, Number: 5, Ballot: Ballot{1, "other"}}) // it is behind, and asks
	do(Message{Kind: Changes, Number: 1, Batches: [][]manifest.Item{
		{{Kind: manifest.Routes, Name: "s", Version: 1 << 20, Dropped: true}}, // one too many: the oldest are forgotten
		{item(manifest.Routes, "r0", 1<<20, `{}`)},
		{item(manifest.Routes, "t", 1<<20, `{}`)},
	}})
	c.Assert(x.Applied(), qt.Equals, uint64(4))
	_, there := x.Set.Get(manifest.Key{Kind: manifest.Routes, Name: "r1"})
	c.Assert(there, qt.IsFalse)
	c.Check(len(disk), qt.Equals, x.Set.Len())
	for _, i := range x.Set.All() {
		c.Check(disk[i.Key()].Same(i), qt.IsTrue, qt.Commentf("%s %s is not on disk", i.Kind, i.Name))
	}
}
