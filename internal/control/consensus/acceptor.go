package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// handleProposal is the acceptor: it votes on the number after the last that it has applied, and on no other.
func (n *Node) handleProposal(e Event, m Message) {
	next := n.hardState.Applied + 1
	switch {
	case m.Index < next:
		n.send(e.From, Message{Kind: Ahead, Index: m.Index, Ballot: m.Ballot})
		return
	case m.Index > next:
		n.send(e.From, Message{Kind: Behind, Index: m.Index, Ballot: m.Ballot})
		n.requestChanges(e.Now, e.From)
		return
	case !n.isVoter(n.self.IP, n.self.ID, m.Value) || !n.isVoter(e.From, m.DiskID, nil) || n.muted || !n.mayVote():
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
	r := Message{Kind: Promise, Index: m.Index, Ballot: m.Ballot}
	if n.hardState.AcceptedIndex == m.Index {
		r.Accepted, r.Value = n.hardState.Accepted, n.hardState.AcceptedValue
	}
	if m.Index == 1 {
		self := n.self
		r.Member = &self
		if all := n.Set.All(); len(all) > 0 {
			r.Batches = [][]config.Item{all}
		}
	}
	n.sendAfterSync(e.From, r)
}

// recordBallot notes a promise or a vote for the disk, the only place that does.
func (n *Node) recordBallot(now int64, m Message) {
	n.hardState.Promised = m.Ballot
	n.highestBallot = max(n.highestBallot, m.Ballot.Number)
	if m.Kind == Accept {
		n.hardState.Accepted, n.hardState.AcceptedIndex, n.hardState.AcceptedValue = m.Ballot, m.Index, m.Value
		n.lastAcceptedAt = now
		n.sendAfterSync(n.self.IP, Message{Kind: VotePersisted, Index: m.Index, Ballot: m.Ballot})
	}
}

// mayVote tells whether this process may promise and vote.
func (n *Node) mayVote() bool { return n.startReplies == nil || n.hardState.Applied == 0 }

// tryResumeVoting looks whether this process may promise and vote: since it started, it has asked the others, and lacks nothing that one
// of them has applied. All members are waited for a moment, as an image of a disk that was put back, and one that is behind,
// might be more than half. The highest vote that was told of is taken for this process's own, as if its Accept had come just
// now: by an image it may have been forgotten.
func (n *Node) tryResumeVoting(now int64) {
	if n.startReplies == nil || n.hardState.Applied == 0 || n.muted {
		return
	}
	acks, next, highest := map[string]string{}, n.hardState.Applied+1, Message{}
	if n.hardState.AcceptedIndex == next {
		highest.Accepted = n.hardState.Accepted
	}
	for _, ip := range slices.Sorted(maps.Keys(n.startReplies)) {
		m := n.startReplies[ip]
		if m.Applied > n.hardState.Applied {
			return
		}
		if acks[ip] = m.DiskID; m.Index == next && highest.Accepted.Less(m.Accepted) && len(m.Value) > 0 {
			highest = m
		}
	}
	all := !slices.ContainsFunc(n.membership.Members, func(m membership.Member) bool { return acks[m.IP] != m.ID })
	if !n.membership.HasQuorum(acks) || !all && now-n.startedAt < startupWait {
		return
	}
	n.startReplies = nil
	if len(highest.Value) > 0 && !highest.Accepted.Less(n.hardState.Promised) && n.isVoter(n.self.IP, n.self.ID, highest.Value) {
		n.recordBallot(now, Message{Kind: Accept, Index: next, Ballot: highest.Accepted, Value: highest.Value})
	}
}
