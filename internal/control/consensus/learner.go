package consensus

import (
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

type recentChange struct {
	index uint64
	items []config.Item
	bytes int // bytes
}

// handleCommit learns a decision that another's proposal brought.
func (n *Node) handleCommit(e Event, m Message) {
	if m.Index <= n.hardState.Applied {
		return
	}
	if m.Index == n.hardState.Applied+1 && n.hardState.AcceptedIndex == m.Index && n.hardState.Accepted == m.Ballot {
		value := n.hardState.AcceptedValue
		if n.phase != Idle {
			n.abandonProposal(e, false)
		}
		n.prepared = false
		n.apply(e.Now, m.Index, value)
		return
	}
	n.requestChanges(e.Now, e.From)
}

// apply is the one place where a decided change comes into the set.
func (n *Node) apply(now int64, index uint64, items []config.Item) {
	if operation.ReplacesAll(items) {
		changed, gone := n.Set.ReplaceAll(items[1:])
		for _, i := range changed {
			n.stageItem(i)
		}
		for _, k := range gone {
			n.stageRemoval(k)
		}
		n.effects.Replaced = true
		items = nil // it is kept for nobody: who is behind takes a cut
		n.forgetChanges()
	}
	for _, i := range items {
		if n.Set.Merge(i) {
			n.stageItem(i)
		}
	}
	for _, k := range n.Set.TakeEvicted() {
		n.stageRemoval(k)
	}
	if items != nil {
		k := recentChange{index, items, config.EncodedSizeBound(items)}
		n.recent, n.recentItems, n.recentBytes = append(n.recent, k), n.recentItems+len(items), n.recentBytes+k.bytes
	}
	for len(n.recent) > maxRecentChanges || (n.recentItems > maxRecentItems || n.recentBytes > maxRecentBytes) && len(n.recent) > 0 {
		n.recentItems, n.recentBytes = n.recentItems-len(n.recent[0].items), n.recentBytes-n.recent[0].bytes
		n.recent = n.recent[1:]
	}
	n.afterApply(now, index)
	n.Counts.Decided++
}

func (n *Node) afterApply(now int64, index uint64) {
	n.hardState.Applied = index
	saved := n.hardState.AcceptedIndex == index && len(n.unsaved) <= maxBatchItems
	if n.hardState.AcceptedIndex <= index {
		n.hardState.Accepted, n.hardState.AcceptedIndex, n.hardState.AcceptedValue = Ballot{}, 0, nil
	}
	n.membership = membership.FromSet(n.Set)
	n.retryAt = 0
	n.effects.Changed = true
	if !saved {
		n.requestWrite()
	}
	for _, tag := range n.pendingReadTags() {
		n.advanceRead(now, tag, n.reads[tag])
	}
	if !n.caughtUp && n.reads[0] == nil {
		n.startRead(now, 0)
	}
}

// forgetChanges forgets the last changes, as the set isn't what they made any more.
func (n *Node) forgetChanges() { n.recent, n.recentItems, n.recentBytes = nil, 0, 0 }

// commitPersistedVote finds out whether the vote of this process on the next number is one of those that have decided it already: more
// than half have it on their disks. After a loss of power of all nobody need propose anything.
func (n *Node) commitPersistedVote(e Event, r *pendingRead) {
	index, vote := n.hardState.Applied+1, n.hardState.Accepted
	if n.hardState.AcceptedIndex != index || vote == (Ballot{}) || n.hardState.Applied == 0 {
		return
	}
	acks := map[string]string{}
	for ip, m := range r.replies {
		if m.Index == index && m.Accepted == vote {
			acks[ip] = m.DiskID
		}
	}
	if n.reachesQuorum(acks, n.hardState.AcceptedValue) {
		value := n.hardState.AcceptedValue
		if n.phase != Idle {
			n.abandonProposal(e, false)
		}
		n.prepared = false
		n.apply(e.Now, index, value)
	}
}
