package consensus

import (
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// foundingIndex is the log index of the value that founds the cluster. Sets are empty before it, except for items that releases without
// consensus left on disk.
const foundingIndex = 1

// recentChange is a value that was decided recently.
type recentChange struct {
	index uint64
	items []config.Item
	bytes int // upper bound on the encoded size of items
}

// changeHistory keeps the most recent decided values for peers that catch up. A peer that lacks older ones gets a snapshot.
type changeHistory struct {
	changes []recentChange // with consecutive indexes, oldest first
	items   int            // total number of items in changes
	bytes   int            // total of their bytes fields
}

// add appends a change, and drops the oldest changes while the limits are exceeded.
func (h *changeHistory) add(index uint64, items []config.Item) {
	change := recentChange{index, items, config.EncodedSizeBound(items)}
	h.changes = append(h.changes, change)
	h.items += len(items)
	h.bytes += change.bytes
	for h.exceedsBounds() {
		oldest := h.changes[0]
		h.items -= len(oldest.items)
		h.bytes -= oldest.bytes
		h.changes = h.changes[1:]
	}
}

func (h *changeHistory) exceedsBounds() bool {
	return len(h.changes) > maxRecentChanges || (h.items > maxRecentItems || h.bytes > maxRecentBytes) && len(h.changes) > 0
}

// clearHistory drops all recent changes. It is called when the set no longer results from them.
func (n *Node) clearHistory() { n.history = changeHistory{} }

// nextIndex returns the index after the last applied one. It is the only index at which this process promises, votes and
// proposes.
func (n *Node) nextIndex() uint64 { return n.hardState.Applied + 1 }

// handleCommit handles the announcement that a value was decided. If this process voted at that index in the same ballot, it
// has the value, as a ballot proposes only one value per index. Otherwise it fetches the changes.
func (n *Node) handleCommit(e Event, m Message) {
	if m.Index <= n.hardState.Applied {
		return
	}
	if m.Index == n.nextIndex() && n.hasUndecidedVote() && n.hardState.Accepted == m.Ballot {
		n.applyVote(e)
		return
	}
	n.requestChanges(e.Now, e.From)
}

// applyVote applies the value that this process voted for at the next index. The value must have been decided.
func (n *Node) applyVote(e Event) {
	index, value := n.hardState.AcceptedIndex, n.hardState.AcceptedValue
	if n.proposer.phase != Idle {
		n.abandonProposal(e, false)
	}
	n.proposer.prepared = false
	n.apply(e.Now, index, value)
}

// commitPersistedVote applies the vote of this process at the next index if the replies to a read show that a quorum has the
// same vote on disk: the value is then decided. This avoids a new proposal after all processes lost power at once.
func (n *Node) commitPersistedVote(e Event, read *pendingRead) {
	vote := n.hardState.Accepted
	if !n.hasUndecidedVote() || vote == (Ballot{}) || n.hardState.Applied == 0 {
		return
	}
	acks := map[string]string{}
	for ip, reply := range read.replies {
		if reply.Index == n.nextIndex() && reply.Accepted == vote {
			acks[ip] = reply.DiskID
		}
	}
	if n.reachesQuorum(acks, n.hardState.AcceptedValue) {
		n.applyVote(e)
	}
}

// apply applies a decided value to the set. Values are applied in index order, each once.
func (n *Node) apply(now int64, index uint64, items []config.Item) {
	switch {
	case operation.ReplacesAll(items):
		n.stageChanges(n.Set.ReplaceAll(operation.RestoredItems(n.Set, items)))
		n.effects.Replaced = true
		n.clearHistory() // peers that are behind get a snapshot
	case index == foundingIndex:
		n.mergeItems(items)
	default:
		n.applyItems(items)
	}
	if items != nil && !operation.ReplacesAll(items) {
		n.history.add(index, items)
	}
	n.afterApply(now, index)
	n.Counts.Decided++
}

// applyItems applies the items of a decided value to the set, and stages those that change it. It doesn't compare versions: the proposer
// did so on the state before this index, and every member must follow that decision. Sets may differ in their tombstones, as earlier
// releases evict them; if each member compared for itself, the members' live items would come to differ as well.
func (n *Node) applyItems(items []config.Item) {
	for _, item := range items {
		if old, exists := n.Set.Lookup(item.Key()); exists && old.Equal(item) {
			continue
		}
		n.Set.Apply([]config.Item{item})
		n.stageItem(item)
	}
}

// mergeItems merges the items of the founding value into the set, and stages those that change it. The founding value has the newest
// version of each item on the disks of the processes that promised; the disk of another founder may have a newer one.
func (n *Node) mergeItems(items []config.Item) {
	for _, item := range items {
		if n.Set.Merge(item) {
			n.stageItem(item)
		}
	}
}

// afterApply updates everything that depends on the set or on the applied index.
func (n *Node) afterApply(now int64, index uint64) {
	voteOnDisk := n.hardState.AcceptedIndex == index && len(n.unsaved.items) <= maxBatchItems
	n.hardState.Applied = index
	if n.hardState.AcceptedIndex <= index {
		n.hardState.Accepted = Ballot{}
		n.hardState.AcceptedIndex = 0
		n.hardState.AcceptedValue = nil
	}
	n.membership = membership.FromSet(n.Set)
	n.proposer.retryAt = 0
	n.effects.Changed = true
	if !voteOnDisk {
		n.requestWrite()
	}
	n.advanceReads(now)
	n.ensureStartupRead(now)
}
