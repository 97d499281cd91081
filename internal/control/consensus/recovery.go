package consensus

import (
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// The high bits of a log index and of an epoch count forced recoveries. The bits below them are drawn at random: if two processes
// are made the only member at once, one of them is later by both, and the other gives way as soon as they are connected.
const (
	recoveryIndexShift  = 48
	recoveryEpochShift  = 32
	recoveryRandomRange = 1 << 31
	recoveryRandomShift = 16 // of the random bits in an index: it leaves room for the changes of one core
)

// RecoveryIndexJump is by how much at least the index rises when a process gives way to a core that was made by a forced recovery.
const RecoveryIndexJump = 1 << recoveryRandomShift

// forceRecovery makes this process the only member, with an index and an epoch above all that the lost members can have decided. It
// is no part of Paxos, and loses what only the others had: an operator answers for it.
func (n *Node) forceRecovery(now int64, random float64) {
	if n.hardState.Applied == 0 || n.membership.Epoch == 0 { // there is nothing to recover
		return
	}
	n.abandonProposal(Event{Now: now}, false)
	randomBits := uint64(random * recoveryRandomRange)
	index := (n.hardState.Applied>>recoveryIndexShift+1)<<recoveryIndexShift + randomBits<<recoveryRandomShift
	value := n.recoveryValue(randomBits)
	n.clearHistory()
	n.caughtUp = true
	n.acceptor.startupReplies = nil
	n.apply(now, index, value)
}

// recoveryValue returns the value that a forced recovery applies. What this process voted for at the next index may have been decided
// and confirmed, so it is kept, except for a change of members.
func (n *Node) recoveryValue(randomBits uint64) []config.Item {
	next := membership.List{
		Epoch:    (n.membership.Epoch>>recoveryEpochShift+1)<<recoveryEpochShift + randomBits,
		Members:  []membership.Member{n.self},
		Excluded: n.membership.Excluded,
	}
	if !n.hasUndecidedVote() {
		return []config.Item{next.Item()}
	}
	position := 0
	if operation.ReplacesAll(n.hardState.AcceptedValue) { // the mark stays first
		position = 1
	}
	vote := slices.Clone(n.hardState.AcceptedValue)
	rest := slices.DeleteFunc(vote, func(item config.Item) bool { return item.Key() == membership.Key })
	return slices.Insert(rest, position, next.Item())
}
