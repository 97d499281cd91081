package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// Phase is where this process's own proposal stands.
type Phase uint8

const (
	Idle Phase = iota
	Preparing
	Accepting
)

func (p Phase) String() string { return [...]string{"idle", "preparing", "accepting"}[p] }

// prepare begins a proposal with a new ballot.
func (n *Node) prepare(e Event) {
	n.highestBallot++
	n.Counts.Prepared++
	n.phase, n.index, n.ballot = Preparing, n.hardState.Applied+1, Ballot{n.highestBallot, n.incarnation}
	n.acks, n.rejections, n.highestAccepted, n.highestAcceptedValue, n.promisers, n.legacyItems, n.value, n.valueTags = map[string]string{}, map[string]bool{}, Ballot{}, nil, nil, nil, nil, nil
	n.phaseStartedAt, n.lastSentAt, n.confirmedLatest = e.Now, e.Now, false
	n.sendProposal()
}

// accept asks for votes: on the value of the highest ballot that was told, or on this process's own orders.
func (n *Node) accept(e Event) {
	value, tags := n.highestAcceptedValue, []uint64(nil)
	switch {
	case n.highestAccepted != (Ballot{}):
		n.Counts.TakenOver++
	case n.hardState.Applied == 0:
		value = n.foundingValue()
	default:
		n.confirmedLatest = true
		n.settleUndecidedReads(e)
		value, tags = n.buildValue(e.Now)
	}
	if len(value) == 0 {
		n.phase, n.prepared = Idle, true
		n.retries = 0
		n.lastAcceptedAt = e.Now // what may be voted for here alone is looked at again in a while
		return
	}
	n.proposeValue(e, value, tags)
}

// proposeValue asks for votes on a value; with a ballot this is done once a number.
func (n *Node) proposeValue(e Event, value []config.Item, tags []uint64) {
	n.Counts.Proposed++
	n.phase, n.index, n.value, n.valueTags, n.acks = Accepting, n.hardState.Applied+1, value, tags, map[string]string{}
	n.rejections = map[string]bool{}
	n.phaseStartedAt, n.lastSentAt, n.prepared = e.Now, e.Now, true
	for _, p := range n.pending {
		if slices.Contains(tags, p.tag) {
			p.proposedIndex = n.index
			if !p.operation.Conditional { // the vote may be brought to its end by another: it is not made once more on what comes after
				p.operation = operation.Bind(n.Set, p.operation)
			}
		}
	}
	n.sendProposal()
}

// currentProposal is the present step.
func (n *Node) currentProposal() Message {
	if n.phase == Accepting {
		return Message{Kind: Accept, Index: n.index, Ballot: n.ballot, Value: n.value}
	}
	return Message{Kind: Prepare, Index: n.index, Ballot: n.ballot}
}

// sendProposal says the present step to all who haven't answered it.
func (n *Node) sendProposal() {
	m := n.currentProposal()
	for _, ip := range n.voters() {
		if _, said := n.acks[ip]; !said && ip != n.self.IP {
			n.send(ip, m)
		}
	}
	if _, said := n.acks[n.self.IP]; !said && slices.Contains(n.voters(), n.self.IP) {
		n.send(n.self.IP, m)
	}
}

// resendProposal says the present proposal to one that was behind, right after what it lacked.
func (n *Node) resendProposal(to string) {
	if _, said := n.acks[to]; n.phase != Idle && !said && slices.Contains(n.voters(), to) {
		n.send(to, n.currentProposal())
	}
}

// handleAcceptorReply is the proposer, as answers come.
func (n *Node) handleAcceptorReply(e Event, m Message) {
	switch {
	case m.Kind == Behind:
		return
	case m.Kind == Ahead:
		if m.Applied > n.hardState.Applied {
			if n.phase != Idle && m.Index == n.index && m.Ballot == n.ballot {
				n.abandonProposal(e, false)
				n.retryAt = e.Now + fetchDelay // at the latest; what is fetched ends it
			}
			n.requestChanges(e.Now, e.From)
		}
		return
	case m.Kind == Rejected:
		n.highestBallot = max(n.highestBallot, m.Ballot.Number)
		if n.phase == Idle || m.Index != n.index || m.Accepted != n.ballot {
			return
		}
		n.Counts.Beaten++
		n.prepared = false
		if n.rejections[e.From] = true; len(n.voters())-len(n.rejections) < len(n.voters())/2+1 {
			n.abandonProposal(e, true)
		}
		return
	case m.Index != n.index || m.Ballot != n.ballot || !n.isVoter(e.From, m.DiskID, n.value):
		return
	}
	switch {
	case m.Kind == Promise && n.phase == Preparing:
		n.acks[e.From] = m.DiskID
		if m.Accepted != (Ballot{}) && n.highestAccepted.Less(m.Accepted) {
			n.highestAccepted, n.highestAcceptedValue = m.Accepted, m.Value
		}
		if m.Member != nil {
			n.promisers = append(n.promisers, *m.Member)
		}
		for _, batch := range m.Batches {
			n.legacyItems = append(n.legacyItems, batch...)
		}
		n.tryAccept(e)
	case m.Kind == Accepted && n.phase == Accepting:
		if n.acks[e.From] = m.DiskID; n.reachesQuorum(n.acks, n.value) {
			n.decide(e)
		}
	}
}

// tryAccept goes on once more than half have promised; for the first list it waits a moment for the founders that are heard, as
// one of a bare majority bears no loss, and for a later one for the members that are heard, as takes goes by who promised.
func (n *Node) tryAccept(e Event) {
	if n.phase != Preparing || !n.reachesQuorum(n.acks, nil) {
		return
	}
	if n.hardState.Applied == 0 && e.Now-n.phaseStartedAt < foundersWait {
		for _, ip := range n.hardState.Founders {
			if _, heard := n.peers[ip]; heard && n.acks[ip] == "" || ip == n.self.IP && n.acks[ip] == "" {
				return
			}
		}
	}
	if n.hardState.Applied > 0 && e.Now-n.phaseStartedAt < membershipWait && slices.ContainsFunc(n.pending, func(p *pendingOperation) bool { return p.proposeHere && p.operation.Kind == operation.ChangeMembers }) {
		for _, member := range n.membership.Members {
			if p, heard := n.peers[member.IP]; n.acks[member.IP] == "" && (member.IP == n.self.IP && n.IsMember() || heard && p.Member.ID == member.ID) {
				return
			}
		}
	}
	n.accept(e)
}

// abandonProposal ends a proposal without an end.
func (n *Node) abandonProposal(e Event, rejected bool) {
	if n.phase != Idle && rejected {
		n.retryAt = e.Now + int64(e.Random*float64(turnDelay)*float64(1+n.retries))
		if first := n.preferredProposer(); first == n.self.IP && n.retries == 0 { // it may have known too low a ballot
			n.retryAt = e.Now
		} else if first != n.self.IP && n.hardState.Applied > 0 { // that one goes on
			n.retryAt += 2 * turnDelay
		}
		n.retries = min(n.retries+1, 4)
	}
	n.phase, n.prepared, n.value, n.valueTags, n.promisers, n.legacyItems, n.highestAcceptedValue = Idle, false, nil, nil, nil, nil, nil
}

// decide is where a number is decided by this process's proposal.
func (n *Node) decide(e Event) {
	value, tags, ballot, index, prepared := n.value, n.valueTags, n.ballot, n.index, n.prepared
	n.phase, n.value, n.valueTags, n.retries = Idle, nil, nil, 0
	n.apply(e.Now, index, value)
	n.prepared = prepared
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		n.send(ip, Message{Kind: Commit, Index: index, Ballot: ballot})
	}
	n.pending = slices.DeleteFunc(n.pending, func(p *pendingOperation) bool {
		if slices.Contains(tags, p.tag) {
			n.finish(p, Result{Index: index})
			return true
		}
		return false
	})
}

// foundingValue is the first value: those who promised are the first members. On disks of before the agreement there may be items:
// the newest of all hold.
func (n *Node) foundingValue() []config.Item {
	all := config.NewSet()
	for _, i := range n.legacyItems {
		if i.Kind != config.KindCore {
			all.Merge(i)
		}
	}
	return append(all.All(), membership.List{}.Change(n.promisers, nil).Item())
}

// bootstrap makes the first epoch: the founders are named by the settings of the first start, alike at all, and more than half
// of them decide the first number as any other. A process whose disk was lost is no founder any more.
func (n *Node) bootstrap(e Event) {
	position := slices.Index(n.hardState.Founders, n.self.IP)
	if position < 0 || n.phase != Idle || e.Now < n.retryAt || e.Now-n.startedAt < int64(position)*2*turnDelay {
		return
	}
	reachable := 1
	for _, ip := range n.hardState.Founders {
		if _, heard := n.peers[ip]; heard {
			reachable++
		}
	}
	if reachable >= len(n.hardState.Founders)/2+1 {
		n.prepare(e)
	}
}
