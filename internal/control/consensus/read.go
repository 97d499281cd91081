package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/apierror"
)

type pendingRead struct {
	epoch       uint64
	receivedAt  int64
	queriedAt   int64
	acks        map[string]string
	replies     map[string]Message // those that told of a vote on the number after what is applied here
	target      uint64
	targetKnown bool // the target is
}

// startRead begins a read: it is answered once this process has all that was decided when it came.
func (n *Node) startRead(now int64, tag uint64) {
	if len(n.reads) >= maxPending {
		n.answer(tag, Result{Kind: apierror.Unavailable, Reason: "too many reads wait"})
		return
	}
	r := &pendingRead{receivedAt: now}
	n.reads[tag] = r
	n.Counts.Reads++
	n.queryMembers(now, tag, r)
}

func (n *Node) queryMembers(now int64, tag uint64, r *pendingRead) {
	r.queriedAt, r.epoch, r.acks, r.target, r.targetKnown = now, n.membership.Epoch, map[string]string{}, n.hardState.Applied, false
	r.replies = map[string]Message{}
	for _, m := range n.membership.Members {
		if m.IP != n.self.IP {
			n.send(m.IP, Message{Kind: ReadIndex, Tag: tag})
		}
	}
	n.send(n.self.IP, n.readIndexReply(tag, n.incarnation))
}

// readIndexReply is how far this process is, for who asked in a life of its own.
func (n *Node) readIndexReply(tag uint64, life string) Message {
	m := Message{Kind: ReadIndexReply, Tag: tag, Incarnation: life, Index: max(n.hardState.Applied, n.hardState.AcceptedIndex)}
	if n.hardState.AcceptedIndex == n.hardState.Applied+1 && n.persistedVote.Index == n.hardState.AcceptedIndex && n.persistedVote.Ballot == n.hardState.Accepted {
		m.Accepted = n.hardState.Accepted
		if tag == 0 { // of one that starts
			m.Value = n.hardState.AcceptedValue
		}
	}
	return m
}

// pendingReadTags are the tags of the reads that wait, in order.
func (n *Node) pendingReadTags() []uint64 { return slices.Sorted(maps.Keys(n.reads)) }

// advanceRead ends a read, or begins it anew where the members have changed meanwhile.
func (n *Node) advanceRead(now int64, tag uint64, r *pendingRead) {
	switch {
	case n.reads[tag] != r:
	case r.epoch != n.membership.Epoch:
		if r.targetKnown || r.target <= n.hardState.Applied {
			n.queryMembers(now, tag, r)
		}
	case r.targetKnown && r.target <= n.hardState.Applied:
		delete(n.reads, tag)
		if tag == 0 {
			n.caughtUp, n.effects.Changed = true, true
		}
		n.answer(tag, Result{Index: n.hardState.Applied})
	}
}

// settleUndecidedReads ends reads that waited for a vote which more than half, that promised since the read came, don't have: it was not
// decided, and can't be any more.
func (n *Node) settleUndecidedReads(e Event) {
	for _, tag := range n.pendingReadTags() {
		if r := n.reads[tag]; r.targetKnown && r.epoch == n.membership.Epoch && r.target == n.hardState.Applied+1 && n.phaseStartedAt >= r.receivedAt {
			r.target = n.hardState.Applied
			n.advanceRead(e.Now, tag, r)
		}
	}
}
