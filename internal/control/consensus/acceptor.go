package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// acceptorState is the state of the acceptor beside HardState.
type acceptorState struct {
	startupReplies   map[string]Message // replies of the members since this incarnation began, by IP address; nil once this process may vote
	startupQueriedAt int64              // when the members were last asked for them
	persistedVote    persistedVote      // the vote that is on disk
	muted            bool               // the disk lacks some of HardState: nothing that depends on it is sent
	votedAt          int64              // when this process last voted
}

// persistedVote identifies a vote that is on disk.
type persistedVote struct {
	index  uint64
	ballot Ballot
}

// handleProposal handles Prepare and Accept (phases 1 and 2 of Paxos). The acceptor votes only at the index after the last that it
// has applied, so a process that is behind, or lost its disk, never counts. It refuses ballots below the one that it promised.
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

// promise returns the reply to a Prepare. It carries the vote that this process has at the index, which the proposer must propose if
// it is the highest. At the first index it also says who this process is and which items it holds.
func (n *Node) promise(m Message) Message {
	reply := Message{Kind: Promise, Index: m.Index, Ballot: m.Ballot}
	if n.hardState.AcceptedIndex == m.Index {
		reply.Accepted = n.hardState.Accepted
		reply.Value = n.hardState.AcceptedValue
	}
	if m.Index != 1 {
		return reply
	}
	self := n.self
	reply.Member = &self
	if items := n.Set.All(); len(items) > 0 {
		reply.Batches = [][]config.Item{items}
	}
	return reply
}

// recordBallot records the promise or the vote that a Prepare or an Accept asks for. Nothing else changes HardState's ballots to
// higher ones. A vote is a promise too: no lower ballot is voted in afterwards.
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

// hasUndecidedVote reports whether this process has voted at the next index; that value may be decided or not.
func (n *Node) hasUndecidedVote() bool { return n.hardState.AcceptedIndex == n.nextIndex() }

// mayVote reports whether this process may promise and vote; see tryResumeVoting.
func (n *Node) mayVote() bool { return n.acceptor.startupReplies == nil || n.hardState.Applied == 0 }

// tryResumeVoting lets this process promise and vote once it has asked the other members since it started, and lacks nothing that
// one of them has applied. A disk may have been restored from an old image, and have forgotten promises and votes; with a bare
// majority such a disk and one that is behind might decide again what is decided. So for a while all members are waited for,
// and the highest vote that any of them reports becomes this process's own, as if its Accept had arrived just now.
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

// adoptVote takes over a vote that another member reports, unless a higher ballot is promised.
func (n *Node) adoptVote(now int64, vote Message) {
	if len(vote.Value) == 0 || vote.Accepted.Less(n.hardState.Promised) || !n.isVoter(n.self.IP, n.self.ID, vote.Value) {
		return
	}
	n.recordBallot(now, Message{Kind: Accept, Index: n.nextIndex(), Ballot: vote.Accepted, Value: vote.Value})
}

// queryStartupReplies asks the members that have not replied since this process started; they may be others since the last time.
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
