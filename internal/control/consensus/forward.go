package consensus

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// probeTag is the tag of a ReadIndex that only checks whether a member responds; no read waits for the reply.
const probeTag = ^uint64(0)

// internalTagBase is the lower bound of the tags that a node assigns itself. Clients use lower tags.
const internalTagBase = uint64(1) << 32

// forwarderState holds the pending operations and the state of the members that operations may be forwarded to.
type forwarderState struct {
	pending        []*pendingOperation // in order of arrival, at most maxPending
	lastTag        uint64              // the last tag assigned by this node
	lastReplyAt    map[string]int64    // when a peer last replied to this process, by IP address
	lastProgressAt map[string]int64    // when a peer last committed a value or finished an operation of this process, by IP address

	// skipped holds the members that are currently not eligible as preferred proposer, by IP address: until they make progress if
	// the value is true, otherwise until they reply.
	skipped     map[string]bool
	lastProbeAt int64 // when a member was last probed
}

// pendingOperation is an operation that has not been decided yet.
type pendingOperation struct {
	tag               uint64
	operation         operation.Operation
	receivedAt        int64
	forwardedAt       int64  // when it was last forwarded, 0 if it is not forwarded or is to be forwarded again
	forwards          int    // number of times it was forwarded; each may have left a copy at another member
	forwardNotBefore  int64  // the earliest time at which it may be forwarded again
	proposedIndex     uint64 // the index at which this process last proposed it, 0 for never
	forwardedTo       string // IP address of the member that it is forwarded to
	origin            string // IP address of the process that forwarded it to this one, empty if submitted here
	originTag         uint64 // its tag at origin
	originIncarnation string // the incarnation of the process at origin
	proposeHere       bool   // this process proposes it
	internal          bool   // submitted by this node itself; no client waits for the result
}

// bind makes an operation conditional on the current state of the item that it changes, unless it already is conditional. Once
// a copy or a proposal of the operation may exist elsewhere, all of them must carry the same condition, so that the operation
// takes effect at most once.
func (op *pendingOperation) bind(set *config.Set) {
	if !op.operation.Conditional {
		op.operation = operation.Bind(set, op.operation)
	}
}

// resetForward marks the operation as not forwarded, so that it is forwarded again.
func (op *pendingOperation) resetForward() {
	op.forwardedAt = 0
	op.forwardedTo = ""
}

// submit queues an operation of a client, of another process or of this node.
func (n *Node) submit(now int64, op *pendingOperation) {
	op.receivedAt = now
	op.internal = op.origin == "" && op.tag == 0
	if op.origin != "" || op.internal {
		n.forwarder.lastTag++
		op.tag = n.forwarder.lastTag
	}
	if len(n.forwarder.pending) >= maxPending {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "too many pending operations", NotProposed: true})
		return
	}
	if op.origin != "" && !n.IsMember() {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "not a voting member", NotProposed: true})
		return
	}
	op.proposeHere = op.origin != ""
	n.forwarder.pending = append(n.forwarder.pending, op)
}

// handleForward queues an operation forwarded by another process.
func (n *Node) handleForward(e Event, m Message) {
	if m.Operation == nil {
		return
	}
	n.submit(e.Now, &pendingOperation{
		operation:         *m.Operation,
		origin:            e.From,
		originTag:         m.Tag,
		originIncarnation: m.Incarnation,
	})
}

// finish sends the result of an operation to the client, or to the process that forwarded it.
func (n *Node) finish(op *pendingOperation, r Result) {
	if op.origin != "" {
		n.send(op.origin, Message{Kind: ForwardResult, Tag: op.originTag, Incarnation: op.originIncarnation, Result: &r})
		return
	}
	if !op.internal {
		n.answer(op.tag, r)
	}
}

// advance processes the pending operations at the end of each step. It starts a proposal if none is running and this process
// has operations to propose or an orphaned vote to finish.
func (n *Node) advance(e Event) {
	n.expirePending(e.Now)
	if !n.caughtUp || n.hardState.Applied == 0 {
		return
	}
	proposeHere := n.forwardPending(e)
	if n.proposer.phase != Idle || e.Now < n.proposer.retryAt || !n.IsMember() || n.acceptor.muted {
		return
	}
	orphaned := n.hasOrphanedVote(e.Now)
	if !proposeHere && !orphaned {
		return
	}
	if n.proposer.prepared && !n.hasUndecidedVote() && n.proposeWithoutPrepare(e) {
		return
	}
	if !orphaned && !n.proposer.prepared && !n.finishSatisfied() {
		return
	}
	n.prepare(e)
}

// expirePending fails operations that have been pending for longer than requestTimeout. They may still be decided.
func (n *Node) expirePending(now int64) {
	n.forwarder.pending = slices.DeleteFunc(n.forwarder.pending, func(op *pendingOperation) bool {
		if now-op.receivedAt <= requestTimeout {
			return false
		}
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "not yet kept by more than half of the core"})
		return true
	})
}

// hasOrphanedVote reports whether this process has voted for a value that has not been committed within a timeout. The timeout
// is staggered by member, so that they do not all propose the value again at once.
func (n *Node) hasOrphanedVote(now int64) bool {
	timeout := orphanedVoteTimeout + int64(n.precedingPeers())*staggerDelay
	return n.hasUndecidedVote() && now-n.acceptor.votedAt > timeout
}

// proposeWithoutPrepare proposes the pending operations in a ballot that a majority has already promised: the promise covers
// all later indexes, so phase 1 can be skipped (Multi-Paxos). It returns false if phase 1 is needed.
func (n *Node) proposeWithoutPrepare(e Event) (done bool) {
	n.proposer.confirmedLatest = false
	if value, tags := n.buildValue(); len(value) > 0 {
		n.proposeValue(e, value, tags)
		return true
	}
	return n.proposer.prepared || !slices.ContainsFunc(n.forwarder.pending, func(op *pendingOperation) bool { return op.proposeHere })
}

// preferredProposer returns the IP address of the member that should propose for all others: the first one in the member list
// that is reachable, has caught up and is not skipped. Members may disagree on it; that costs time but never safety.
func (n *Node) preferredProposer() string {
	for _, member := range n.membership.Members {
		if member.IP == n.self.IP && n.IsMember() {
			return member.IP
		}
		peer := n.peers[member.IP]
		_, skipped := n.forwarder.skipped[member.IP]
		if n.isReachable(member) && peer.CaughtUp && !skipped && peer.Applied+maxProposerLag >= n.hardState.Applied {
			return member.IP
		}
	}
	return ""
}

// forwardPending forwards operations to the preferred proposer. It reports whether operations are to be proposed here, because
// this process is the preferred proposer or there is none. Concurrent proposers would preempt each other, so an operation stays
// forwarded as long as the member that has it replies and makes progress.
func (n *Node) forwardPending(e Event) (proposeHere bool) {
	probed := map[string]bool{}
	for _, op := range n.forwarder.pending {
		if op.forwardedAt != 0 {
			n.checkForwarded(e.Now, op, probed)
		}
		n.assignProposer(e.Now, op)
		proposeHere = proposeHere || op.proposeHere
	}
	if len(probed) > 0 {
		n.forwarder.lastProbeAt = e.Now
	}
	return proposeHere
}

// checkForwarded checks the member that an operation was forwarded to. If the member is silent or stalled, it is skipped, and
// all its operations are forwarded again. If it has had the operation for longer than forwardProgressTimeout, it may have lost
// it, and this operation is forwarded again. A member that became silent only recently is probed, once for all its operations.
func (n *Node) checkForwarded(now int64, op *pendingOperation, probed map[string]bool) {
	f := &n.forwarder
	member := op.forwardedTo
	silentFor := now - max(op.forwardedAt, f.lastReplyAt[member])
	stalledFor := now - max(op.forwardedAt, f.lastProgressAt[member])
	switch {
	case silentFor > forwardSilenceTimeout, stalledFor > forwardProgressTimeout:
		f.skipped[member] = silentFor <= forwardSilenceTimeout
		n.resetForwardsTo(member)
	case now-op.forwardedAt > forwardProgressTimeout:
		op.resetForward()
	case silentFor > probeInterval && !probed[member] && now-f.lastProbeAt > probeInterval:
		probed[member] = true
		n.send(member, Message{Kind: ReadIndex, Tag: probeTag})
	}
}

// assignProposer assigns a pending operation to this process or forwards it, if neither has been done yet.
func (n *Node) assignProposer(now int64, op *pendingOperation) {
	preferred := n.preferredProposer()
	switch {
	case op.proposeHere:
	case preferred == n.self.IP:
		op.proposeHere = true
	case preferred == "":
		op.proposeHere = now-op.receivedAt > forwardSilenceTimeout && n.IsMember()
	case op.forwardedAt == 0 && now >= op.forwardNotBefore:
		n.forward(now, op, preferred)
	}
}

// forward sends an operation to a member, which may keep a copy of it from then on.
func (n *Node) forward(now int64, op *pendingOperation, to string) {
	n.Counts.Handed++
	op.forwardedAt = now
	op.forwardedTo = to
	op.forwards++
	op.bind(n.Set)
	forwarded := op.operation
	n.send(to, Message{Kind: Forward, Tag: op.tag, Operation: &forwarded})
}

// resetForwardsTo resets all operations that were forwarded to a member.
func (n *Node) resetForwardsTo(ip string) {
	for _, op := range n.forwarder.pending {
		if op.forwardedTo == ip {
			op.resetForward()
		}
	}
}

// handleForwardResult handles the result of a forwarded operation. It ignores a result from a member that the operation is no
// longer forwarded to.
func (n *Node) handleForwardResult(e Event, m Message) {
	if m.Result == nil {
		return
	}
	at := slices.IndexFunc(n.forwarder.pending, func(op *pendingOperation) bool { return op.tag == m.Tag && op.forwardedTo == e.From })
	if at < 0 {
		return
	}
	op, result := n.forwarder.pending[at], *m.Result
	if result.Kind == apierror.Unavailable { // its condition no longer holds, or that member could not get it decided
		n.retryForward(e.Now, op, result)
		return
	}
	final := result.Kind == apierror.None || result.Kind == apierror.Conflict
	if !final && op.forwards > 1 { // another copy may still succeed
		result = Result{Kind: apierror.Unavailable, Reason: "not clear yet: " + result.Reason}
	}
	n.forwarder.pending = slices.Delete(n.forwarder.pending, at, at+1)
	n.finish(op, result)
}

// retryForward has an operation forwarded again after staggerDelay. If no other copy and no proposal of it exists, its
// condition is removed, so that it is bound to the current state when it is forwarded again.
func (n *Node) retryForward(now int64, op *pendingOperation, r Result) {
	op.resetForward()
	op.forwardNotBefore = now + staggerDelay
	if r.NotProposed && op.forwards == 1 && op.proposedIndex == 0 {
		op.forwards = 0
		op.operation.Conditional = false
	}
}

// recordProgress records whether a message shows that its sender receives messages from this process, or that it makes
// progress. Messages that are resent periodically show neither.
func (n *Node) recordProgress(now int64, from string, m Message) {
	f := &n.forwarder
	replied := m.Kind == ReadIndexReply || m.Kind == ForwardResult
	progressed := m.Kind == Commit || m.Kind == ForwardResult && m.Result != nil && m.Result.Kind != apierror.Unavailable
	if replied {
		f.lastReplyAt[from] = now
	}
	if progressed {
		f.lastProgressAt[from] = now
	}
	untilProgress, skipped := f.skipped[from]
	if skipped && (progressed || replied && !untilProgress) {
		delete(f.skipped, from)
	}
}

// precedingPeers returns the number of connected members with a lower IP address. It staggers actions that any member may take.
func (n *Node) precedingPeers() (count int) {
	for _, member := range n.membership.Members {
		if _, connected := n.peers[member.IP]; connected && member.IP < n.self.IP {
			count++
		}
	}
	return count
}
