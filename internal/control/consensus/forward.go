package consensus

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/control/operation"
)

type pendingOperation struct {
	tag               uint64
	operation         operation.Operation
	receivedAt        int64
	forwardedAt       int64  // when it was handed over, 0 for not, or for to be handed over anew
	forwards          int    // how often it was handed over: copies of it may be about
	forwardNotBefore  int64  // not to be handed over before
	proposedIndex     uint64 // the number at which it was last voted on
	forwardedTo       string // whom
	origin            string // the IP number of the process that handed it over here, empty for this one
	originTag         uint64 // its tag there, in the life that asked
	originIncarnation string
	proposeHere       bool // it is proposed here
	internal          bool // it is the node's own: nobody waits for its end
}

// probeTag is the tag of a Confirm that no read waits for.
const probeTag = ^uint64(0)

// submit takes an order up.
func (n *Node) submit(now int64, op *pendingOperation) {
	op.receivedAt = now
	if op.internal = op.origin == "" && op.tag == 0; op.origin != "" || op.internal {
		n.lastTag++
		op.tag = n.lastTag
	}
	if len(n.pending) >= maxPending {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "too many orders wait", NotProposed: true})
		return
	}
	if op.origin != "" && !n.IsMember() {
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "no member of the core", NotProposed: true})
		return
	}
	op.proposeHere = op.origin != ""
	n.pending = append(n.pending, op)
}

// finish tells how an order ended, here or where it came from.
func (n *Node) finish(op *pendingOperation, r Result) {
	if op.origin != "" {
		n.send(op.origin, Message{Kind: ForwardResult, Tag: op.originTag, Incarnation: op.originIncarnation, Result: &r})
		return
	}
	if !op.internal {
		n.answer(op.tag, r)
	}
}

// advance goes on with what waits, where nothing of it is under way.
func (n *Node) advance(e Event) {
	n.pending = slices.DeleteFunc(n.pending, func(p *pendingOperation) bool {
		if e.Now-p.receivedAt <= requestTimeout {
			return false
		}
		n.finish(p, Result{Kind: apierror.Unavailable, Reason: "not yet kept by more than half of the core"})
		return true
	})
	if !n.caughtUp || n.hardState.Applied == 0 {
		return
	}
	proposeHere := n.forwardPending(e)
	if n.phase != Idle || e.Now < n.retryAt || !n.IsMember() || n.muted {
		return
	}
	orphaned := n.hardState.AcceptedIndex == n.hardState.Applied+1 && e.Now-n.lastAcceptedAt > orphanedVoteTimeout+int64(n.precedingPeers())*turnDelay
	if !proposeHere && !orphaned {
		return
	}
	if n.prepared && !orphaned && n.hardState.AcceptedIndex != n.hardState.Applied+1 {
		n.confirmedLatest = false
		if value, mine := n.buildValue(e.Now); len(value) > 0 {
			n.proposeValue(e, value, mine)
			return
		} else if n.prepared || !slices.ContainsFunc(n.pending, func(p *pendingOperation) bool { return p.proposeHere }) {
			return
		}
	}
	if !orphaned && !n.prepared && !n.finishSatisfied() {
		return
	}
	n.prepare(e)
}

// forwardPending hands orders over to the member that proposes for all, and tells whether there are some that this process is to
// propose itself: it is that member, or nobody is. That several propose at once beats them all, so an order stays handed as long
// as the one that has it answers and decides something now and then; else that one is passed over. Who has had an order for
// a while is asked by a Confirm whether it answers: in calm the order has ended before.
func (n *Node) forwardPending(e Event) (proposeHere bool) {
	probed := map[string]bool{}
	for _, op := range n.pending {
		if op.forwardedAt != 0 {
			silentFor, stalledFor := e.Now-max(op.forwardedAt, n.lastReplyAt[op.forwardedTo]), e.Now-max(op.forwardedAt, n.lastProgressAt[op.forwardedTo])
			switch {
			case silentFor > forwardSilenceTimeout, stalledFor > forwardProgressTimeout:
				n.skipped[op.forwardedTo] = silentFor <= forwardSilenceTimeout
				n.recallForwarded(op.forwardedTo) // with all else that it was handed
			case e.Now-op.forwardedAt > forwardProgressTimeout: // it may have lost it
				op.forwardedAt, op.forwardedTo = 0, ""
			case silentFor > probeInterval && !probed[op.forwardedTo] && e.Now-n.lastProbeAt > probeInterval:
				probed[op.forwardedTo] = true
				n.send(op.forwardedTo, Message{Kind: ReadIndex, Tag: probeTag})
			}
		}
		first := n.preferredProposer()
		switch {
		case op.proposeHere:
		case first == n.self.IP || first == "" && e.Now-op.receivedAt > forwardSilenceTimeout && n.IsMember():
			op.proposeHere = true
		case op.forwardedAt == 0 && first != "" && e.Now >= op.forwardNotBefore:
			n.Counts.Handed++
			op.forwardedAt, op.forwardedTo, op.forwards = e.Now, first, op.forwards+1
			if !op.operation.Conditional { // else a copy is about, or a vote on it: all of them go by what stood before the first, so that one is made
				op.operation = operation.Bind(n.Set, op.operation)
			}
			forwarded := op.operation
			n.send(first, Message{Kind: Forward, Tag: op.tag, Operation: &forwarded})
		}
		proposeHere = proposeHere || op.proposeHere
	}
	if len(probed) > 0 {
		n.lastProbeAt = e.Now
	}
	return proposeHere
}

// preferredProposer is the member that proposes for the others as long as it is heard. Nothing rests on that all see the same one.
func (n *Node) preferredProposer() string {
	for _, m := range n.membership.Members {
		if m.IP == n.self.IP && n.IsMember() {
			return m.IP
		}
		_, passed := n.skipped[m.IP]
		if p, heard := n.peers[m.IP]; heard && p.CaughtUp && p.Member.ID == m.ID && !passed && p.Applied+maxProposerLag >= n.hardState.Applied {
			return m.IP
		}
	}
	return ""
}

// precedingPeers is how many members that are heard come before this one.
func (n *Node) precedingPeers() (count int) {
	for _, m := range n.membership.Members {
		if _, heard := n.peers[m.IP]; heard && m.IP < n.self.IP {
			count++
		}
	}
	return count
}

// recallForwarded has orders that were handed to a member which isn't heard any more handed to the next.
func (n *Node) recallForwarded(ip string) {
	for _, p := range n.pending {
		if p.forwardedTo == ip {
			p.forwardedAt, p.forwardedTo = 0, ""
		}
	}
}

// handleForwardResult is how an order ended that was handed over.
func (n *Node) handleForwardResult(e Event, m Message) {
	for i, op := range n.pending {
		if op.tag == m.Tag && op.forwardedTo == e.From && m.Result != nil {
			if m.Result.Kind == apierror.Unavailable { // it was bound to what stands no more, or that one can't propose
				op.forwardedAt, op.forwardedTo, op.forwardNotBefore = 0, "", e.Now+turnDelay
				if m.Result.NotProposed && op.forwards == 1 && op.proposedIndex == 0 { // no copy of it is anywhere, nor a vote: it may go by what stands now
					op.forwards, op.operation.Conditional = 0, false
				}
				return
			}
			r := *m.Result
			if r.Kind != apierror.None && r.Kind != apierror.Conflict && op.forwards > 1 { // another has a copy, and may still take it
				r = Result{Kind: apierror.Unavailable, Reason: "not clear yet: " + r.Reason}
			}
			n.pending = slices.Delete(n.pending, i, i+1)
			n.finish(op, r)
			return
		}
	}
}
