package consensus

import (
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// Phase is the phase of a proposal.
type Phase uint8

// The phases of a proposal, in order.
const (
	Idle      Phase = iota // no proposal
	Preparing              // phase 1 of Paxos: collecting promises
	Accepting              // phase 2 of Paxos: collecting votes
)

// String returns the lower-case name of the phase, for logs.
func (p Phase) String() string { return [...]string{"idle", "preparing", "accepting"}[p] }

// proposerState is the state of this process's proposal. It is not persisted: a new incarnation uses new ballots.
type proposerState struct {
	phase           Phase
	index           uint64 // the log index of the proposal
	ballot          Ballot // the ballot of the current or the last proposal
	highestBallot   uint64 // the highest ballot number seen
	prepared        bool   // a majority has promised ballot and no higher ballot is known, so phase 1 can be skipped
	confirmedLatest bool   // a majority has promised at the next index, so nothing beyond Applied is decided

	value     []config.Item // the value being voted on
	valueTags []uint64      // tags of the pending operations in value

	acks                 map[string]string   // disk IDs of the processes that promised or voted, by IP address
	rejections           map[string]bool     // processes that rejected the ballot, by IP address
	promisers            []membership.Member // processes that promised at index 1
	legacyItems          []config.Item       // items reported by promisers
	highestAccepted      Ballot              // the highest ballot of the votes reported in promises, zero for none
	highestAcceptedValue []config.Item       // the value of that vote

	phaseStartedAt int64
	lastSentAt     int64
	retryAt        int64 // the earliest time of the next proposal
	retries        int   // number of consecutive rejected proposals, at most maxRetries
}

// isCurrent reports whether a reply is for the current index and ballot.
func (s *proposerState) isCurrent(index uint64, ballot Ballot) bool {
	return index == s.index && ballot == s.ballot
}

// prepare starts a proposal with a new ballot (phase 1a).
func (n *Node) prepare(e Event) {
	n.Counts.Prepared++
	p := &n.proposer
	p.highestBallot++
	p.phase = Preparing
	p.index = n.nextIndex()
	p.ballot = Ballot{p.highestBallot, n.incarnation}
	p.acks = map[string]string{}
	p.rejections = map[string]bool{}
	p.highestAccepted = Ballot{}
	p.highestAcceptedValue = nil
	p.promisers = nil
	p.legacyItems = nil
	p.value = nil
	p.valueTags = nil
	p.phaseStartedAt = e.Now
	p.lastSentAt = e.Now
	p.confirmedLatest = false
	n.sendProposal()
}

// accept starts phase 2 after a majority has promised. As Paxos requires, it proposes the value with the highest ballot among
// the votes reported in the promises, because that value may have been decided. Only if no vote was reported may it propose its
// own value.
func (n *Node) accept(e Event) {
	var value []config.Item
	var tags []uint64
	switch {
	case n.proposer.highestAccepted != (Ballot{}):
		value = n.proposer.highestAcceptedValue
		n.Counts.TakenOver++
	case n.hardState.Applied == 0:
		value = n.foundingValue()
	default:
		n.proposer.confirmedLatest = true
		n.resolveUndecidedReads(e)
		value, tags = n.buildValue()
	}
	if len(value) > 0 {
		n.proposeValue(e, value, tags)
		return
	}
	n.proposer.phase = Idle
	n.proposer.prepared = true
	n.proposer.retries = 0
	n.acceptor.votedAt = e.Now // check a vote that only this process has again after orphanedVoteTimeout
}

// proposeValue asks for votes on a value (phase 2a). It is called at most once per ballot and index, so that a ballot
// identifies one value per index.
func (n *Node) proposeValue(e Event, value []config.Item, tags []uint64) {
	n.Counts.Proposed++
	p := &n.proposer
	p.phase = Accepting
	p.index = n.nextIndex()
	p.value = value
	p.valueTags = tags
	p.acks = map[string]string{}
	p.rejections = map[string]bool{}
	p.phaseStartedAt = e.Now
	p.lastSentAt = e.Now
	p.prepared = true
	for _, op := range n.forwarder.pending {
		if !slices.Contains(tags, op.tag) {
			continue
		}
		op.proposedIndex = p.index
		op.bind(n.Set) // another member may complete the vote; the operation must not be applied again to a later state
	}
	n.sendProposal()
}

// currentProposal returns the Prepare or Accept message of the current phase.
func (n *Node) currentProposal() Message {
	p := &n.proposer
	if p.phase == Accepting {
		return Message{Kind: Accept, Index: p.index, Ballot: p.ballot, Value: p.value}
	}
	return Message{Kind: Prepare, Index: p.index, Ballot: p.ballot}
}

// sendProposal sends the current proposal to all voters that have not acknowledged it, to this process last.
func (n *Node) sendProposal() {
	m := n.currentProposal()
	for _, ip := range n.voters() {
		if _, answered := n.proposer.acks[ip]; !answered && ip != n.self.IP {
			n.send(ip, m)
		}
	}
	if n.awaitsAnswer(n.self.IP) {
		n.send(n.self.IP, m)
	}
}

// awaitsAnswer reports whether a process is a voter that has not acknowledged the current phase.
func (n *Node) awaitsAnswer(ip string) bool {
	_, answered := n.proposer.acks[ip]
	return !answered && slices.Contains(n.voters(), ip)
}

// resendProposal resends the current proposal to a peer, if it has yet to acknowledge it.
func (n *Node) resendProposal(to string) {
	if n.proposer.phase != Idle && n.awaitsAnswer(to) {
		n.send(to, n.currentProposal())
	}
}

// handleAcceptorReply handles the replies of acceptors to Prepare and Accept. Behind needs no action here.
func (n *Node) handleAcceptorReply(e Event, m Message) {
	switch m.Kind {
	case Ahead:
		n.handleAhead(e, m)
	case Rejected:
		n.handleRejected(e, m)
	case Promise:
		if n.proposer.phase == Preparing && n.isCurrentReply(e.From, m) {
			n.handlePromise(e, m)
		}
	case Accepted:
		if n.proposer.phase == Accepting && n.isCurrentReply(e.From, m) {
			n.handleAccepted(e, m)
		}
	}
}

// isCurrentReply reports whether a reply is for the current proposal and comes from a voter.
func (n *Node) isCurrentReply(from string, m Message) bool {
	return n.proposer.isCurrent(m.Index, m.Ballot) && n.isVoter(from, m.DiskID, n.proposer.value)
}

// handleAhead abandons a proposal for an index that is already decided, and requests the missing changes.
func (n *Node) handleAhead(e Event, m Message) {
	if m.Applied <= n.hardState.Applied {
		return
	}
	if n.proposer.phase != Idle && n.proposer.isCurrent(m.Index, m.Ballot) {
		n.abandonProposal(e, false)
		n.proposer.retryAt = e.Now + fetchDelay // afterApply resets it when the changes arrive
	}
	n.requestChanges(e.Now, e.From)
}

// handleRejected counts a rejection by an acceptor that has promised a higher ballot. The proposal is abandoned when the voters
// that have not rejected it are no longer a majority.
func (n *Node) handleRejected(e Event, m Message) {
	p := &n.proposer
	p.highestBallot = max(p.highestBallot, m.Ballot.Number)
	if p.phase == Idle || !p.isCurrent(m.Index, m.Accepted) {
		return
	}
	n.Counts.Beaten++
	p.prepared = false
	p.rejections[e.From] = true
	voters := len(n.voters())
	if voters-len(p.rejections) < voters/2+1 {
		n.abandonProposal(e, true)
	}
}

// handlePromise counts a promise, and keeps the reported vote with the highest ballot.
func (n *Node) handlePromise(e Event, m Message) {
	p := &n.proposer
	p.acks[e.From] = m.DiskID
	if m.Accepted != (Ballot{}) && p.highestAccepted.Less(m.Accepted) {
		p.highestAccepted = m.Accepted
		p.highestAcceptedValue = m.Value
	}
	if m.Member != nil {
		p.promisers = append(p.promisers, *m.Member)
	}
	for _, batch := range m.Batches {
		p.legacyItems = append(p.legacyItems, batch...)
	}
	n.tryAccept(e)
}

// handleAccepted counts a vote. The value is decided once a quorum has voted for it in the same ballot.
func (n *Node) handleAccepted(e Event, m Message) {
	n.proposer.acks[e.From] = m.DiskID
	if n.reachesQuorum(n.proposer.acks, n.proposer.value) {
		n.decide(e)
	}
}

// tryAccept starts phase 2 once a quorum has promised. It first waits briefly for the founders or members that should promise
// too; see awaitsFounder and awaitsMember.
func (n *Node) tryAccept(e Event) {
	if n.proposer.phase != Preparing || !n.reachesQuorum(n.proposer.acks, nil) {
		return
	}
	waited := e.Now - n.proposer.phaseStartedAt
	if waited < foundersWait && n.awaitsFounder() || waited < membershipWait && n.awaitsMember() {
		return
	}
	n.accept(e)
}

// awaitsFounder reports whether a reachable founder has not yet promised at index 1. The processes that promise become the
// first members, and a membership of only a bare majority of the founders would tolerate fewer losses.
func (n *Node) awaitsFounder() bool {
	if n.hardState.Applied > 0 {
		return false
	}
	return slices.ContainsFunc(n.hardState.Founders, func(ip string) bool {
		_, connected := n.peers[ip]
		return n.proposer.acks[ip] == "" && (connected || ip == n.self.IP)
	})
}

// awaitsMember reports whether a membership change is to be proposed and a reachable member has not yet promised.
// mayChangeMembership decides whether the change is safe from the promises received.
func (n *Node) awaitsMember() bool {
	if n.hardState.Applied == 0 || !slices.ContainsFunc(n.forwarder.pending, (*pendingOperation).isOwnMembershipChange) {
		return false
	}
	return slices.ContainsFunc(n.membership.Members, func(member membership.Member) bool {
		if n.proposer.acks[member.IP] != "" {
			return false
		}
		return member.IP == n.self.IP && n.IsMember() || n.isReachable(member)
	})
}

// isOwnMembershipChange reports whether an operation is a membership change that this process proposes.
func (op *pendingOperation) isOwnMembershipChange() bool {
	return op.proposeHere && op.operation.Kind == operation.ChangeMembers
}

// abandonProposal abandons the current proposal, if any. Its value may still be decided through another proposer. After a
// rejection the next proposal is delayed; see retryTime.
func (n *Node) abandonProposal(e Event, rejected bool) {
	p := &n.proposer
	if p.phase != Idle && rejected {
		p.retryAt = n.retryTime(e)
		p.retries = min(p.retries+1, maxRetries)
	}
	p.phase = Idle
	p.prepared = false
	p.value = nil
	p.valueTags = nil
	p.promisers = nil
	p.legacyItems = nil
	p.highestAcceptedValue = nil
}

// retryTime returns the earliest time of the next proposal after a rejected one. Competing proposers could preempt each other
// forever, so the delay is random, and longer for processes that are not the preferred proposer, which itself retries its first
// rejection at once.
func (n *Node) retryTime(e Event) int64 {
	delay := int64(e.Random * float64(staggerDelay) * float64(1+n.proposer.retries))
	preferred := n.preferredProposer() == n.self.IP
	switch {
	case preferred && n.proposer.retries == 0: // its ballot number may merely have been outdated
		return e.Now
	case !preferred && n.hardState.Applied > 0:
		return e.Now + delay + 2*staggerDelay
	}
	return e.Now + delay
}

// retryProposal abandons a proposal that has made no progress for proposalTimeout, or resends it.
func (n *Node) retryProposal(e Event) {
	p := &n.proposer
	switch {
	case p.phase == Idle:
	case e.Now-p.phaseStartedAt > proposalTimeout:
		n.abandonProposal(e, true)
	case e.Now-p.lastSentAt > resendAfter:
		p.lastSentAt = e.Now
		n.sendProposal()
	}
}

// decide applies the value that a quorum has voted for, announces it to all peers and finishes the operations in it.
func (n *Node) decide(e Event) {
	p := &n.proposer
	decided := *p
	p.phase = Idle
	p.value = nil
	p.valueTags = nil
	p.retries = 0
	n.apply(e.Now, decided.index, decided.value)
	p.prepared = decided.prepared
	n.sendToPeers(Message{Kind: Commit, Index: decided.index, Ballot: decided.ballot})
	n.forwarder.pending = slices.DeleteFunc(n.forwarder.pending, func(op *pendingOperation) bool {
		if !slices.Contains(decided.valueTags, op.tag) {
			return false
		}
		n.finish(op, Result{Index: decided.index})
		return true
	})
}

// foundingValue returns the value for index 1. The processes that promised become the first members. Disks written by versions
// without consensus may hold items; the newest version of each is kept.
func (n *Node) foundingValue() []config.Item {
	set := config.NewSet()
	for _, item := range n.proposer.legacyItems {
		if item.Kind != config.KindCore {
			set.Merge(item)
		}
	}
	first := membership.List{}.Change(n.proposer.promisers, nil)
	return append(set.All(), first.Item())
}

// bootstrap proposes the first epoch. The settings at the first start name the founders, identically at all of them, and a
// majority of the founders decides index 1 like any other. A process that lost its disk is no longer a founder.
func (n *Node) bootstrap(e Event) {
	position := slices.Index(n.hardState.Founders, n.self.IP)
	if position < 0 || n.proposer.phase != Idle || e.Now < n.proposer.retryAt {
		return
	}
	if e.Now-n.startedAt < int64(position)*2*staggerDelay {
		return
	}
	reachable := 1
	for _, ip := range n.hardState.Founders {
		if _, connected := n.peers[ip]; connected {
			reachable++
		}
	}
	if reachable >= n.foundersQuorum() {
		n.prepare(e)
	}
}
