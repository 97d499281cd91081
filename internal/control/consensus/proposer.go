package consensus

import (
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// Phase is the phase of this process's own proposal.
type Phase uint8

// The phases of a proposal.
const (
	Idle      Phase = iota // there is no proposal
	Preparing              // phase 1 of Paxos: promises are collected
	Accepting              // phase 2: votes are collected
)

// String returns the phase's name for logs.
func (p Phase) String() string { return [...]string{"idle", "preparing", "accepting"}[p] }

// proposerState is the state of this process's own proposal. It is not kept on disk: a new incarnation uses new ballots.
type proposerState struct {
	phase           Phase
	index           uint64 // the log index that is proposed for
	ballot          Ballot // the present ballot, or the last
	highestBallot   uint64 // the highest number of a ballot that was seen
	prepared        bool   // the ballot is the last that a majority promised, as far as is known: phase 1 can be left out
	confirmedLatest bool   // a majority has promised for the next index, so nothing is decided beyond what is applied here

	value     []config.Item // what is voted on
	valueTags []uint64      // tags of the pending operations in it

	acks                 map[string]string   // disk IDs of those that promised or voted, by IP address
	rejections           map[string]bool     // IP addresses of those that refused the ballot
	promisers            []membership.Member // those that promised for the first index
	legacyItems          []config.Item       // the items that they hold
	highestAccepted      Ballot              // the highest ballot of a vote that a promise reported, zero for none
	highestAcceptedValue []config.Item       // the value of that vote

	phaseStartedAt int64
	lastSentAt     int64
	retryAt        int64 // no new proposal begins before
	retries        int   // rejected proposals in a row
}

// isCurrent reports whether a reply is about the present index and ballot.
func (s *proposerState) isCurrent(index uint64, ballot Ballot) bool {
	return index == s.index && ballot == s.ballot
}

// prepare begins a proposal with a new ballot (phase 1a).
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

// accept begins phase 2, once a majority has promised. By the rule of Paxos it must propose the value of the highest ballot that a
// promise reported, as that may be decided; only where there is none may it propose a value of its own.
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
	n.acceptor.votedAt = e.Now // a vote that only this process has is looked at again after orphanedVoteTimeout
}

// proposeValue asks for votes on a value (phase 2a). With one ballot this happens at most once for an index, so that a ballot stands
// for one value.
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
		op.bind(n.Set) // another member may finish the vote: the operation must not be made again on a later state
	}
	n.sendProposal()
}

// currentProposal returns the message of the present phase.
func (n *Node) currentProposal() Message {
	p := &n.proposer
	if p.phase == Accepting {
		return Message{Kind: Accept, Index: p.index, Ballot: p.ballot, Value: p.value}
	}
	return Message{Kind: Prepare, Index: p.index, Ballot: p.ballot}
}

// sendProposal sends the message of the present phase to all voters that have not answered it, to this process last.
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

// awaitsAnswer reports whether a process is a voter and has not answered the present phase.
func (n *Node) awaitsAnswer(ip string) bool {
	_, answered := n.proposer.acks[ip]
	return !answered && slices.Contains(n.voters(), ip)
}

// resendProposal sends the present proposal to one that was behind, right after the changes that it lacked.
func (n *Node) resendProposal(to string) {
	if n.proposer.phase != Idle && n.awaitsAnswer(to) {
		n.send(to, n.currentProposal())
	}
}

// handleAcceptorReply handles the replies of acceptors.
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

// isCurrentReply reports whether a reply is about the present proposal and comes from a voter.
func (n *Node) isCurrentReply(from string, m Message) bool {
	return n.proposer.isCurrent(m.Index, m.Ballot) && n.isVoter(from, m.DiskID, n.proposer.value)
}

// handleAhead abandons a proposal for an index that is decided already, and fetches what is missing.
func (n *Node) handleAhead(e Event, m Message) {
	if m.Applied <= n.hardState.Applied {
		return
	}
	if n.proposer.phase != Idle && n.proposer.isCurrent(m.Index, m.Ballot) {
		n.abandonProposal(e, false)
		n.proposer.retryAt = e.Now + fetchDelay // or as soon as the changes have come
	}
	n.requestChanges(e.Now, e.From)
}

// handleRejected counts a refusal by an acceptor that promised a higher ballot. The proposal is abandoned once those that did not
// refuse are no majority.
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

// handlePromise counts a promise, and keeps the vote of the highest ballot that any promise reports.
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

// handleAccepted counts a vote; the value is decided once a quorum has voted for it in one ballot.
func (n *Node) handleAccepted(e Event, m Message) {
	n.proposer.acks[e.From] = m.DiskID
	if n.reachesQuorum(n.proposer.acks, n.proposer.value) {
		n.decide(e)
	}
}

// tryAccept goes on to phase 2 once a quorum has promised, and nobody is worth waiting for.
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

// awaitsFounder reports whether a reachable founder has not promised yet for the first index. Those that have will be the first
// members, and a bare majority of the founders would tolerate no loss.
func (n *Node) awaitsFounder() bool {
	if n.hardState.Applied > 0 {
		return false
	}
	return slices.ContainsFunc(n.hardState.Founders, func(ip string) bool {
		_, connected := n.peers[ip]
		return n.proposer.acks[ip] == "" && (connected || ip == n.self.IP)
	})
}

// awaitsMember reports whether a change of members is to be proposed, and a reachable member has not promised yet: whether the
// change is safe is judged by those that promised.
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

// isOwnMembershipChange reports whether an operation changes the members and is proposed here.
func (op *pendingOperation) isOwnMembershipChange() bool {
	return op.proposeHere && op.operation.Kind == operation.ChangeMembers
}

// abandonProposal gives a proposal up, if there is one; its value may still be decided by another. After a rejection the next one
// waits for a random time.
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

// retryTime returns when a proposal may follow on one that was rejected. Rival proposers would go on rejecting each other, so the
// preferred one goes on at once, and the others leave it time.
func (n *Node) retryTime(e Event) int64 {
	delay := int64(e.Random * float64(staggerDelay) * float64(1+n.proposer.retries))
	preferred := n.preferredProposer() == n.self.IP
	switch {
	case preferred && n.proposer.retries == 0: // its ballot may only have been too low
		return e.Now
	case !preferred && n.hardState.Applied > 0:
		return e.Now + delay + 2*staggerDelay
	}
	return e.Now + delay
}

// retryProposal abandons a proposal without progress, or sends it again.
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

// decide applies the value that a quorum has voted for, announces it to all peers and ends the operations in it.
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

// foundingValue returns the value of the first index: those that promised are the first members. Disks from before there was
// consensus may hold items; the newest version of each is kept.
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

// bootstrap proposes the first epoch. The settings of the first start name the founders, the same ones at all of them, and a majority
// of the founders decides the first index like any other. A process that lost its disk is no founder any more.
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
