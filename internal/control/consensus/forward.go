package consensus

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// probeTag is the tag of a ReadIndex that no read waits for: it only asks whether a member answers.
const probeTag = ^uint64(0)

// internalTagBase is where the tags begin that a node chooses itself; those of its clients are below.
const internalTagBase = uint64(1) << 32

// forwarderState holds the pending operations, and what is known of the members that they may be forwarded to.
type forwarderState struct {
	pending        []*pendingOperation // at most maxPending, in order of arrival
	lastTag        uint64              // the last tag that this node chose
	lastReplyAt    map[string]int64    // when a peer last answered this process, by IP address
	lastProgressAt map[string]int64    // when a peer last decided something, or ended an operation of this process
	skipped        map[string]bool     // members that are no preferred proposers for now: until they answer or, if true, decide something
	lastProbeAt    int64               // when a member was last probed
}

// pendingOperation is an operation that is not decided yet.
type pendingOperation struct {
	tag               uint64
	operation         operation.Operation
	receivedAt        int64
	forwardedAt       int64  // when it was forwarded, 0 if it is not, or is to be forwarded anew
	forwards          int    // how often it was forwarded: there may be as many copies of it
	forwardNotBefore  int64  // when it may be forwarded again
	proposedIndex     uint64 // the index at which it was last voted on, 0 for never
	forwardedTo       string // the IP address of the member that it was forwarded to
	origin            string // the IP address of the process that forwarded it here, empty for this one
	originTag         uint64 // its tag there
	originIncarnation string // the incarnation of that process
	proposeHere       bool   // this process proposes it
	internal          bool   // this node submitted it: no client waits for its end
}

// bind makes an operation conditional on the present state, unless it is already: there may be a copy of it, or a vote on it, and
// all of them must have the same condition, so that only one is ever made.
func (op *pendingOperation) bind(set *config.Set) {
	if !op.operation.Conditional {
		op.operation = operation.Bind(set, op.operation)
	}
}

// resetForward lets an operation be forwarded anew.
func (op *pendingOperation) resetForward() {
	op.forwardedAt = 0
	op.forwardedTo = ""
}

// submit queues an operation of a client, of another process or of this node itself.
func (n *Node) submit(now int64, op *pendingOperation) {
	op.receivedAt = now
	op.internal = op.origin == "" && op.tag == 0
	if op.origin != "" || op.internal {
		n.forwarder.lastTag++
		op.tag = n.forwarder.lastTag
	}
	if len(n.forwarder.pending) >= maxPending {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "too many orders wait", NotProposed: true})
		return
	}
	if op.origin != "" && !n.IsMember() {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "no member of the core", NotProposed: true})
		return
	}
	op.proposeHere = op.origin != ""
	n.forwarder.pending = append(n.forwarder.pending, op)
}

// handleForward queues an operation that another process forwarded.
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

// finish answers an operation, here or to the process that forwarded it.
func (n *Node) finish(op *pendingOperation, r Result) {
	if op.origin != "" {
		n.send(op.origin, Message{Kind: ForwardResult, Tag: op.originTag, Incarnation: op.originIncarnation, Result: &r})
		return
	}
	if !op.internal {
		n.answer(op.tag, r)
	}
}

// advance goes on with the pending operations at the end of each step. A proposal begins if there is none, and this process has
// operations to propose or must finish an orphaned vote.
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

// expirePending answers operations that have waited for too long; they may still be decided.
func (n *Node) expirePending(now int64) {
	n.forwarder.pending = slices.DeleteFunc(n.forwarder.pending, func(op *pendingOperation) bool {
		if now-op.receivedAt <= requestTimeout {
			return false
		}
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "not yet kept by more than half of the core"})
		return true
	})
}

// hasOrphanedVote reports whether this process has voted for something that its proposer has not committed for long. The members
// take turns in finishing it.
func (n *Node) hasOrphanedVote(now int64) bool {
	timeout := orphanedVoteTimeout + int64(n.precedingPeers())*staggerDelay
	return n.hasUndecidedVote() && now-n.acceptor.votedAt > timeout
}

// proposeWithoutPrepare proposes the pending operations in the ballot that a majority promised before: the promise holds for all
// later indexes, so phase 1 can be left out (Multi-Paxos). It reports whether this is all there is to do now; if not, phase 1 is needed.
func (n *Node) proposeWithoutPrepare(e Event) (done bool) {
	n.proposer.confirmedLatest = false
	if value, tags := n.buildValue(); len(value) > 0 {
		n.proposeValue(e, value, tags)
		return true
	}
	return n.proposer.prepared || !slices.ContainsFunc(n.forwarder.pending, func(op *pendingOperation) bool { return op.proposeHere })
}

// preferredProposer returns the IP address of the member that proposes for all others: the first that this process can reach, that
// has caught up and is not skipped. Different members may see different ones; that costs time, never safety.
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

// forwardPending forwards operations to the preferred proposer, and reports whether some are to be proposed here: because this
// process is the preferred proposer, or there is none. Several proposers at once would reject each other's ballots, so an
// operation stays forwarded as long as the member that has it answers, and decides something now and then.
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

// checkForwarded recalls an operation from a member that is silent or stalled, and then skips that member; or that has had it for so
// long that it may have lost it. A member that has only just become silent is probed, once for all operations that it has.
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

// assignProposer decides who proposes an operation that nobody has yet, and forwards it.
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

// forward sends an operation to a member. From then on there may be a copy of it.
func (n *Node) forward(now int64, op *pendingOperation, to string) {
	n.Counts.Handed++
	op.forwardedAt = now
	op.forwardedTo = to
	op.forwards++
	op.bind(n.Set)
	forwarded := op.operation
	n.send(to, Message{Kind: Forward, Tag: op.tag, Operation: &forwarded})
}

// resetForwardsTo lets all operations that were forwarded to a member be forwarded anew.
func (n *Node) resetForwardsTo(ip string) {
	for _, op := range n.forwarder.pending {
		if op.forwardedTo == ip {
			op.resetForward()
		}
	}
}

// handleForwardResult handles how a forwarded operation ended, unless it was recalled since.
func (n *Node) handleForwardResult(e Event, m Message) {
	if m.Result == nil {
		return
	}
	at := slices.IndexFunc(n.forwarder.pending, func(op *pendingOperation) bool { return op.tag == m.Tag && op.forwardedTo == e.From })
	if at < 0 {
		return
	}
	op, result := n.forwarder.pending[at], *m.Result
	if result.Kind == apierror.Unavailable { // its condition holds no longer, or that member can't propose
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

// retryForward has an operation forwarded again after a while. If there is no copy of it and no vote on it, it need not hold to the
// condition of the first time.
func (n *Node) retryForward(now int64, op *pendingOperation, r Result) {
	op.resetForward()
	op.forwardNotBefore = now + staggerDelay
	if r.NotProposed && op.forwards == 1 && op.proposedIndex == 0 {
		op.forwards = 0
		op.operation.Conditional = false
	}
}

// recordProgress notes what a message shows of its sender: that it receives from this process, or that it makes progress. Messages that are
// repeated without cause show neither.
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

// precedingPeers returns how many connected members come before this one: each waits for those before it.
func (n *Node) precedingPeers() (count int) {
	for _, member := range n.membership.Members {
		if _, connected := n.peers[member.IP]; connected && member.IP < n.self.IP {
			count++
		}
	}
	return count
}
