package consensus

import (
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// The high bits of a number and of an epoch count how often an operator has made one process the whole core. What follows
// them is drawn: of two that were made so at once, one is the later by both, and the other gives way as soon as they meet.
const recoveryIndexShift, recoveryEpochShift, recoveryDrawRange = 48, 32, 1 << 31

// RecoveryIndexJump is by how much at least a number goes up where one core gives way to another that an operator made.
const RecoveryIndexJump = 1 << 16

// forceRecovery makes this process the whole core: a number and an epoch that fence all that was before.
func (n *Node) forceRecovery(now int64, chance float64) {
	if n.hardState.Applied == 0 || n.membership.Epoch == 0 { // it has nothing to go on from
		return
	}
	n.abandonProposal(Event{Now: now}, false)
	drawn := uint64(chance * recoveryDrawRange)
	next := membership.List{Epoch: (n.membership.Epoch>>recoveryEpochShift+1)<<recoveryEpochShift + drawn, Members: []membership.Member{n.self}, Excluded: n.membership.Excluded}
	items := []config.Item{next.Item()}
	if n.hardState.AcceptedIndex == n.hardState.Applied+1 { // what it voted for may have been decided, and confirmed: it is kept, but for its list
		position := 0
		if operation.ReplacesAll(n.hardState.AcceptedValue) {
			position = 1
		}
		rest := slices.DeleteFunc(slices.Clone(n.hardState.AcceptedValue), func(i config.Item) bool { return i.Key() == membership.Key })
		items = slices.Insert(rest, position, items...)
	}
	n.forgetChanges()
	n.caughtUp, n.startReplies = true, nil
	n.apply(now, (n.hardState.Applied>>recoveryIndexShift+1)<<recoveryIndexShift+drawn<<16, items)
}
