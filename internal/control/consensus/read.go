package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/apierror"
)

// startupReadTag is the tag of the read that determines whether a starting process has caught up.
const startupReadTag = uint64(0)

// pendingRead is a linearizable read. It asks a majority for the highest index that they have applied or voted at. Quorums
// intersect, so everything decided before the read began was voted for or applied by a member of that majority. The read
// completes when that index has been applied here.
type pendingRead struct {
	epoch       uint64 // the membership epoch at which the members were queried
	receivedAt  int64
	queriedAt   int64              // when the members were last queried
	acks        map[string]string  // disk IDs of the members that replied, by IP address
	replies     map[string]Message // all replies, by IP address
	target      uint64             // the read index: the maximum of the replies and of Applied at the time of the query
	targetKnown bool               // a majority has replied, so target is final
}

// startRead starts a read for a client, or the startup read.
func (n *Node) startRead(now int64, tag uint64) {
	if len(n.reads) >= maxPending {
		n.answer(tag, Result{Kind: apierror.Unavailable, Reason: "too many pending reads"})
		return
	}
	read := &pendingRead{receivedAt: now}
	n.reads[tag] = read
	n.Counts.Reads++
	n.queryMembers(now, tag, read)
}

// ensureStartupRead starts the startup read if this process has not caught up and none is pending.
func (n *Node) ensureStartupRead(now int64) {
	if !n.caughtUp && n.reads[startupReadTag] == nil {
		n.startRead(now, startupReadTag)
	}
}

// queryMembers queries all members and discards earlier replies.
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

// handleReadIndex replies to a reader. Every process replies to a startup read, but only a process that may vote replies to
// other reads.
func (n *Node) handleReadIndex(from string, m Message) {
	if m.Tag == startupReadTag || n.mayVote() {
		n.send(from, n.readIndexReply(m.Tag, m.Incarnation))
	}
}

// readIndexReply returns the reply to the read with a tag and the incarnation of its reader. It reports a vote only once that
// is on disk, and includes the value only for a startup read.
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

// handleReadIndexReply counts a reply to a read of this process. It ignores replies to reads of earlier incarnations.
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
	// A process that is about to join may have voted already, but does not count yet.
	if !read.targetKnown && n.membership.Contains(e.From, m.DiskID) {
		read.acks[e.From] = m.DiskID
		read.target = max(read.target, m.Index)
		allowed := m.Tag == startupReadTag || n.mayVote()
		read.targetKnown = n.membership.HasQuorum(read.acks) && read.epoch == n.membership.Epoch && allowed
	}
	n.commitPersistedVote(e, read)
	n.advanceRead(e.Now, m.Tag, read)
}

// pendingReadTags returns the tags of the pending reads in ascending order.
func (n *Node) pendingReadTags() []uint64 { return slices.Sorted(maps.Keys(n.reads)) }

// advanceRead completes a read whose target has been applied, or restarts it after a membership change.
func (n *Node) advanceRead(now int64, tag uint64, read *pendingRead) {
	switch {
	case n.reads[tag] != read: // already completed
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

func (n *Node) advanceReads(now int64) {
	for _, tag := range n.pendingReadTags() {
		n.advanceRead(now, tag, n.reads[tag])
	}
}

// resolveUndecidedReads completes reads that wait for a vote at the next index, after a majority that promised since the read
// began reported no vote there. The value was then not decided before the read, and because of the promises it never will be in
// its ballot.
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

func (n *Node) expireReads(now int64) {
	for _, tag := range n.pendingReadTags() {
		if now-n.reads[tag].receivedAt > requestTimeout {
			delete(n.reads, tag)
			n.answer(tag, Result{Kind: apierror.Unavailable, Reason: "not enough of the core tells how far it is"})
		}
	}
}

// retryReads queries the members again where too few have replied, and starts a proposal where a read waits for a vote that no
// other proposer gets decided.
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

// mayProposeForRead reports whether this process should propose to resolve the vote that a read waits for. The timeout is
// staggered by member.
func (n *Node) mayProposeForRead(now int64, read *pendingRead) bool {
	if !read.targetKnown || read.target != n.nextIndex() || n.proposer.phase != Idle || !n.IsMember() {
		return false
	}
	timeout := resendAfter + int64(n.precedingPeers())*staggerDelay
	return now-read.queriedAt > timeout && now >= n.proposer.retryAt
}
