package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// acceptorState is the volatile state of the acceptor. HardState is the part that is kept on disk.
type acceptorState struct {
	// startupReplies holds the replies of the members to this incarnation's startup queries, by IP address. It is nil once this
	// process may vote; see tryResumeVoting.
	startupReplies   map[string]Message
	startupQueriedAt int64         // when the members were last queried for startupReplies
	persistedVote    persistedVote // the latest vote that is known to be on disk
	muted            bool          // the disk lacks some of HardState; no message that depends on it may be sent
	votedAt          int64         // when this process last voted
}

// persistedVote identifies a vote that has been synced to disk.
type persistedVote struct {
	index  uint64
	ballot Ballot
}

// handleProposal handles Prepare and Accept (phases 1 and 2 of Paxos). The acceptor promises and votes only at the index after
// the last one it has applied, so a process that is behind or lost its disk never counts towards a quorum. It rejects ballots
// lower than the one it has promised.
func (n *Node) handleProposal(e Event, m Message) {
	next := n.nextIndex()
	switch {
	case m.Index < next:
		n.send(e.From, Message{Kind: Ahead, Index: m.Index, Ballot: m.Ballot})
		return
	case m.Index > next:
		n.send(e.From, Message{Kind: Behind, Index: m.Index, Ballot: m.Ballot})
		n.requestChanges(e.Now, e.From)
		return
	case !n.isVoter(n.self.IP, n.self.ID, m.Value) || !n.isVoter(e.From, m.DiskID, nil):
		return
	case n.acceptor.muted || !n.mayVote():
		return
	case m.Ballot.Less(n.hardState.Promised):
		n.send(e.From, Message{Kind: Rejected, Index: m.Index, Ballot: n.hardState.Promised, Accepted: m.Ballot})
		return
	}
	n.recordBallot(e.Now, m)
	if m.Kind == Accept {
		n.sendAfterSync(e.From, Message{Kind: Accepted, Index: m.Index, Ballot: m.Ballot})
		return
	}
	n.sendAfterSync(e.From, n.promise(m))
}

// promise returns the reply to a Prepare. It reports the vote that this process has cast at that index, if any; the proposer
// must propose the value with the highest ballot among the reported votes. At index 1 the reply also carries this process's
// identity and items.
func (n *Node) promise(m Message) Message {
	reply := Message{Kind: Promise, Index: m.Index, Ballot: m.Ballot}
	if n.hardState.AcceptedIndex == m.Index {
		reply.Accepted = n.hardState.Accepted
		reply.Value = n.hardState.AcceptedValue
	}
	if m.Index != foundingIndex {
		return reply
	}
	self := n.self
	reply.Member = &self
	if items := n.Set.All(); len(items) > 0 {
		reply.Batches = [][]config.Item{items}
	}
	return reply
}

// recordBallot records the promise or vote requested by a Prepare or an Accept. It is the only place where the ballots in
// HardState increase. A vote is also a promise: this process will not vote in a lower ballot afterwards.
func (n *Node) recordBallot(now int64, m Message) {
	n.hardState.Promised = m.Ballot
	n.proposer.highestBallot = max(n.proposer.highestBallot, m.Ballot.Number)
	if m.Kind != Accept {
		return
	}
	n.hardState.Accepted = m.Ballot
	n.hardState.AcceptedIndex = m.Index
	n.hardState.AcceptedValue = m.Value
	n.acceptor.votedAt = now
	n.sendAfterSync(n.self.IP, Message{Kind: VotePersisted, Index: m.Index, Ballot: m.Ballot})
}

// hasUndecidedVote reports whether this process has voted at the next index. The value may have been decided without this
// process knowing it yet.
func (n *Node) hasUndecidedVote() bool { return n.hardState.AcceptedIndex == n.nextIndex() }

// mayVote reports whether this process may promise and vote; see tryResumeVoting.
func (n *Node) mayVote() bool { return n.acceptor.startupReplies == nil || n.hardState.Applied == 0 }

// tryResumeVoting allows this process to promise and vote again after a restart. Its disk may have been restored from an old
// image and lack promises and votes that it has since made. If it voted at once, it could form a majority with a member that is
// behind, and an index could be decided twice. It therefore waits for replies from all members, or after startupWait from a
// majority, and until it has applied everything that any of them has applied. Then it adopts the vote with the highest ballot
// that they report, as if that Accept had just arrived.
func (n *Node) tryResumeVoting(now int64) {
	if n.acceptor.startupReplies == nil || n.hardState.Applied == 0 || n.acceptor.muted {
		return
	}
	acks := map[string]string{}
	highest := Message{}
	if n.hasUndecidedVote() {
		highest.Accepted = n.hardState.Accepted
	}
	for _, ip := range slices.Sorted(maps.Keys(n.acceptor.startupReplies)) {
		reply := n.acceptor.startupReplies[ip]
		if reply.Applied > n.hardState.Applied {
			return
		}
		acks[ip] = reply.DiskID
		if reply.Index == n.nextIndex() && highest.Accepted.Less(reply.Accepted) && len(reply.Value) > 0 {
			highest = reply
		}
	}
	missing := slices.ContainsFunc(n.membership.Members, func(m membership.Member) bool { return acks[m.IP] != m.ID })
	if !n.membership.HasQuorum(acks) || missing && now-n.startedAt < startupWait {
		return
	}
	n.acceptor.startupReplies = nil
	n.adoptVote(now, highest)
}

// adoptVote records a vote reported by another member as this process's own, unless it has promised a higher ballot.
func (n *Node) adoptVote(now int64, vote Message) {
	if len(vote.Value) == 0 || vote.Accepted.Less(n.hardState.Promised) || !n.isVoter(n.self.IP, n.self.ID, vote.Value) {
		return
	}
	n.recordBallot(now, Message{Kind: Accept, Index: n.nextIndex(), Ballot: vote.Accepted, Value: vote.Value})
}

// queryStartupReplies queries the members that have not replied since this process started. The membership may have changed
// since the last query.
func (n *Node) queryStartupReplies(now int64) {
	waiting := n.acceptor.startupReplies != nil && n.caughtUp && n.hardState.Applied > 0
	if !waiting || now-n.acceptor.startupQueriedAt <= resendAfter {
		return
	}
	n.acceptor.startupQueriedAt = now
	for _, member := range n.membership.Members {
		if n.acceptor.startupReplies[member.IP].DiskID != member.ID {
			n.send(member.IP, Message{Kind: ReadIndex})
		}
	}
}
