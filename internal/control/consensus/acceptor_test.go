package consensus

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// newTestNode returns the node of the second of three members, and the member list. The node is at index 1, has caught up and may vote.
func newTestNode(now int64) (*Node, membership.List) {
	l := membership.List{Epoch: 1}
	for i, ip := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		l.Members = append(l.Members, membership.Member{IP: ip, ID: string(rune('a' + i)), Zone: ip})
	}
	set := config.NewSet()
	set.Merge(l.Item())
	n := New(l.Members[1], "incarnation", 1, HardState{DiskID: "b", Applied: 1}, set, now)
	n.caughtUp, n.acceptor.startupReplies = true, nil
	return n, l
}

// A vote must not be reported to readers before it is on disk, even if a vote in the same ballot is on disk for the previous index.
func TestVoteReportedAfterSync(t *testing.T) {
	c := qt.New(t)
	n, l := newTestNode(second)
	from, b := l.Members[0], Ballot{5, "other"}
	receive := func(m Message) Effects {
		m.DiskID, m.Epoch = from.ID, 1
		return n.Step(Event{Now: 2 * second, From: from.IP, Message: &m})
	}
	queryVote := func() Message {
		out := receive(Message{Kind: ReadIndex, Tag: 7})
		for _, m := range out.Send[from.IP] {
			if m.Kind == ReadIndexReply {
				return m
			}
		}
		c.Fatal("no reply to the read")
		return Message{}
	}
	finishSync := func(out Effects) {
		for _, m := range out.SendAfterSync[l.Members[1].IP] {
			n.Step(Event{Now: 2 * second, From: l.Members[1].IP, Message: &m})
		}
	}
	value := func(v uint64) []config.Item { return []config.Item{item(config.KindStableVersions, "desk", v, `{}`)} }
	first := receive(Message{Kind: Accept, Index: 2, Ballot: b, Value: value(1)})
	c.Check(queryVote().Accepted, qt.Equals, Ballot{}, qt.Commentf("the vote at index 2 is not on disk yet"))
	finishSync(first)
	c.Check(queryVote().Accepted, qt.Equals, b)
	receive(Message{Kind: Commit, Index: 2, Ballot: b})
	c.Assert(n.Applied(), qt.Equals, uint64(2))
	second := receive(Message{Kind: Accept, Index: 3, Ballot: b, Value: value(2)})
	c.Check(queryVote().Accepted, qt.Equals, Ballot{}, qt.Commentf("the vote at index 3 is not on disk yet"))
	finishSync(second)
	c.Check(queryVote().Accepted, qt.Equals, b)
}

// Items that are deleted and set again in one step, beside more tombstones than earlier releases kept, must be on disk afterwards as they are
// in the set, and no tombstone may be removed from disk.
func TestItemDeletedAndSetAgain(t *testing.T) {
	c := qt.New(t)
	node, l := newTestNode(second)
	disk := map[config.Key]config.Item{}
	const tombstones = 20_000
	for n := range tombstones {
		i := config.Item{Kind: config.KindRoutes, Name: fmt.Sprintf("r%d", n), Version: uint64(n + 1), Deleted: true}
		node.Set.Merge(i)
		disk[i.Key()] = i
	}
	disk[membership.Key] = l.Item()
	from := l.Members[0]
	receive := func(m Message) {
		m.DiskID, m.Epoch, m.Applied = from.ID, 1, 4
		out := node.Step(Event{Now: 2 * second, From: from.IP, Message: &m})
		for _, i := range out.SaveItems {
			disk[i.Key()] = i
		}
		c.Check(out.DeleteKeys, qt.HasLen, 0)
	}
	receive(Message{Kind: Prepare, Index: 5, Ballot: Ballot{1, "other"}}) // the node is behind and requests changes
	receive(Message{Kind: Changes, Index: 1, Batches: [][]config.Item{
		{item(config.KindRoutes, "s", 1<<19, `{}`), {Kind: config.KindRoutes, Name: "s", Version: 1 << 20, Deleted: true}},
		{item(config.KindRoutes, "r0", 1<<20, `{}`)},
		{item(config.KindRoutes, "t", 1<<20, `{}`)},
	}})
	c.Assert(node.Applied(), qt.Equals, uint64(4))
	c.Check(node.Set.Tombstones(), qt.Equals, tombstones) // one of them was set, one was added
	c.Check(len(disk), qt.Equals, node.Set.Len())
	for _, i := range node.Set.All() {
		c.Check(disk[i.Key()].Equal(i), qt.IsTrue, qt.Commentf("%s %s is missing or outdated on disk", i.Kind, i.Name))
	}
}
