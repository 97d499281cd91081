package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/apierror"
)

// startupReadTag is the tag of the read by which a process that started finds out whether it has caught up.
const startupReadTag = uint64(0)

// pendingRead is a linearizable read. It asks a majority for the highest index with a vote: whatever was decided before the read
// began has a vote at a member of that majority, as quorums intersect. Once that index is applied here, the read is done.
type pendingRead struct {
	epoch       uint64 // of the members that were asked
	receivedAt  int64
	queriedAt   int64              // when the members were last asked
	acks        map[string]string  // disk IDs of the members that replied, by IP address
	replies     map[string]Message // all replies, by IP address
	target      uint64             // the highest index in the replies, or what was applied when they were asked
	targetKnown bool               // a majority has replied
}

// startRead begins a read for a client, or for startupReadTag.
func (n *Node) startRead(now int64, tag uint64) {
	if len(n.reads) >= maxPending {
		n.answer(tag, Result{Kind: apierror.Unavailable, Reason: "too many reads wait"})
		return
	}
	read := &pendingRead{receivedAt: now}
	n.reads[tag] = read
	n.Counts.Reads++
	n.queryMembers(now, tag, read)
}

// ensureStartupRead begins the read by which this process finds out whether it has caught up, if it has not and none is pending.
func (n *Node) ensureStartupRead(now int64) {
	if !n.caughtUp && n.reads[startupReadTag] == nil {
		n.startRead(now, startupReadTag)
	}
}

// queryMembers asks all members anew.
func (n *Node) queryMembers(now int64, tag uint64, read *pendingRead) {
	read.queriedAt = now
	read.epoch = n.membership.Epoch
	read.acks = map[string]string{}
	read.replies = map[string]Message{}
	read.target = n.hardState.Applied
	read.targetKnown = false
	for _, member := range n.membership.Members {
		if member.IP != n.self.IP {
			n.send(member.IP, Message{Kind: ReadIndex, Tag: tag})
		}
	}
	n.send(n.self.IP, n.readIndexReply(tag, n.incarnation))
}

// handleReadIndex replies to a reader. A process that starts is answered by all, other readers only by those that may vote.
func (n *Node) handleReadIndex(from string, m Message) {
	if m.Tag == startupReadTag || n.mayVote() {
		n.send(from, n.readIndexReply(m.Tag, m.Incarnation))
	}
}

// readIndexReply returns the reply to the read with a tag, which an incarnation of some process chose. A vote is reported only once
// it is on disk; with its value only to a process that starts.
func (n *Node) readIndexReply(tag uint64, incarnation string) Message {
	reply := Message{
		Kind:        ReadIndexReply,
		Tag:         tag,
		Incarnation: incarnation,
		Index:       max(n.hardState.Applied, n.hardState.AcceptedIndex),
	}
	vote := persistedVote{index: n.hardState.AcceptedIndex, ballot: n.hardState.Accepted}
	if !n.hasUndecidedVote() || n.acceptor.persistedVote != vote {
		return reply
	}
	reply.Accepted = n.hardState.Accepted
	if tag == startupReadTag {
		reply.Value = n.hardState.AcceptedValue
	}
	return reply
}

// handleReadIndexReply counts a reply to a read of this process, unless it was asked for by an earlier incarnation.
func (n *Node) handleReadIndexReply(e Event, m Message) {
	if m.Incarnation != n.incarnation {
		return
	}
	if m.Tag == startupReadTag && n.acceptor.startupReplies != nil {
		n.acceptor.startupReplies[e.From] = m
		n.tryResumeVoting(e.Now)
	}
	read := n.reads[m.Tag]
	if read == nil {
		return
	}
	read.replies[e.From] = m
	if !read.targetKnown && n.membership.Contains(e.From, m.DiskID) { // one that is only about to join may have voted, but does not count yet
		read.acks[e.From] = m.DiskID
		read.target = max(read.target, m.Index)
		allowed := m.Tag == startupReadTag || n.mayVote()
		read.targetKnown = n.membership.HasQuorum(read.acks) && read.epoch == n.membership.Epoch && allowed
	}
	n.commitPersistedVote(e, read)
	n.advanceRead(e.Now, m.Tag, read)
}

// pendingReadTags returns the tags of the pending reads in order.
func (n *Node) pendingReadTags() []uint64 { return slices.Sorted(maps.Keys(n.reads)) }

// advanceRead ends a read if its target is applied, or begins it anew if the members have changed.
func (n *Node) advanceRead(now int64, tag uint64, read *pendingRead) {
	switch {
	case n.reads[tag] != read: // it has ended
	case read.epoch != n.membership.Epoch:
		if read.targetKnown || read.target <= n.hardState.Applied {
			n.queryMembers(now, tag, read)
		}
	case read.targetKnown && read.target <= n.hardState.Applied:
		delete(n.reads, tag)
		if tag == startupReadTag {
			n.caughtUp = true
			n.effects.Changed = true
		}
		n.answer(tag, Result{Index: n.hardState.Applied})
	}
}

// advanceReads calls advanceRead for all pending reads.
func (n *Node) advanceReads(now int64) {
	for _, tag := range n.pendingReadTags() {
		n.advanceRead(now, tag, n.reads[tag])
	}
}

// resolveUndecidedReads ends reads that wait for a vote at the next index, if a majority that promised after the read began does not
// have that vote: the value was not decided before, and by the promises never will be in its ballot.
func (n *Node) resolveUndecidedReads(e Event) {
	for _, tag := range n.pendingReadTags() {
		read := n.reads[tag]
		awaitsVote := read.targetKnown && read.epoch == n.membership.Epoch && read.target == n.nextIndex()
		if awaitsVote && n.proposer.phaseStartedAt >= read.receivedAt {
			read.target = n.hardState.Applied
			n.advanceRead(e.Now, tag, read)
		}
	}
}

// expireReads answers reads that have waited for too long.
func (n *Node) expireReads(now int64) {
	for _, tag := range n.pendingReadTags() {
		if now-n.reads[tag].receivedAt > requestTimeout {
			delete(n.reads, tag)
			n.answer(tag, Result{Kind: apierror.Unavailable, Reason: "not enough of the core tells how far it is"})
		}
	}
}

// retryReads asks again where too few members have replied, and proposes where a read waits for a vote that nobody brings to a
// decision.
func (n *Node) retryReads(e Event) {
	for _, tag := range n.pendingReadTags() {
		read := n.reads[tag]
		switch {
		case !read.targetKnown && e.Now-read.queriedAt > resendAfter:
			n.queryMembers(e.Now, tag, read)
		case n.mayProposeForRead(e.Now, read):
			n.prepare(e)
		}
	}
}

// mayProposeForRead reports whether this process is to decide the vote that a read waits for; the members take turns.
func (n *Node) mayProposeForRead(now int64, read *pendingRead) bool {
	if !read.targetKnown || read.target != n.nextIndex() || n.proposer.phase != Idle || !n.IsMember() {
		return false
	}
	timeout := resendAfter + int64(n.precedingPeers())*staggerDelay
	return now-read.queriedAt > timeout && now >= n.proposer.retryAt
}
