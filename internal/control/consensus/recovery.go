package consensus

import (
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// The high bits of a log index and of an epoch count forced recoveries. The bits below them are random: if two processes are
// each made the only member at the same time, one of them has both the higher index and the higher epoch, and the other adopts
// its state once they are connected.
const (
	recoveryIndexShift  = 48
	recoveryEpochShift  = 32
	recoveryRandomRange = 1 << 31
	recoveryRandomShift = 16 // position of the random bits in an index; the bits below count the changes after a recovery
)

// RecoveryIndexJump is the minimum increase of the log index when a process adopts the state of a cluster that was created by a
// forced recovery.
const RecoveryIndexJump = 1 << recoveryRandomShift

// forceRecovery makes this process the only member, with an index and an epoch higher than any that the lost members can have
// decided. It is not part of Paxos: changes known only to the lost members are lost, so it runs only at an operator's request.
func (n *Node) forceRecovery(now int64, random float64) {
	if n.hardState.Applied == 0 || n.membership.Epoch == 0 { // nothing to recover
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

// recoveryValue returns the value that a forced recovery applies. It includes the value that this process voted for at the next
// index, which may have been decided and acknowledged to a client, except for a membership change.
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
	if operation.ReplacesAll(n.hardState.AcceptedValue) { // the ReplaceAll marker must remain the first item
		position = 1
	}
	vote := slices.Clone(n.hardState.AcceptedValue)
	rest := slices.DeleteFunc(vote, func(item config.Item) bool { return item.Key() == membership.Key })
	return slices.Insert(rest, position, next.Item())
}
