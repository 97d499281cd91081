package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// catchUpState is the state of fetching missing changes or a snapshot from a peer.
type catchUpState struct {
	from             string // the peer that was asked, empty for none
	requestedAt      int64  // when the request was sent or the last chunk was received
	appliedAtRequest uint64 // the last applied index when the request was sent
	partitions       []int  // the partitions of the set that the snapshot replaces
	items            []config.Item
	behindSince      int64 // since when some peer has applied more than this process, 0 for none
}

// reset cancels the fetch. It keeps behindSince.
func (s *catchUpState) reset() {
	s.from = ""
	s.partitions = nil
	s.items = nil
}

// checkLag requests changes from the peer that has applied the most, once some peer has been ahead for fetchDelay. During
// startup it requests them at once.
func (n *Node) checkLag(now int64) {
	peer := n.mostAdvancedPeer()
	if peer == "" {
		n.catchUp.behindSince = 0
		return
	}
	if n.catchUp.behindSince == 0 {
		n.catchUp.behindSince = now
	}
	if !n.caughtUp || now-n.catchUp.behindSince >= fetchDelay {
		n.requestChanges(now, peer)
	}
}

// mostAdvancedPeer returns the IP address of the peer that has applied the most, or "" if no peer has applied more than this
// process.
func (n *Node) mostAdvancedPeer() string {
	peer, highest := "", n.hardState.Applied
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		if applied := n.peers[ip].Applied; applied > highest {
			peer, highest = ip, applied
		}
	}
	return peer
}

// requestChanges asks a peer for the changes decided after the last applied index, unless a recent request is still
// outstanding.
func (n *Node) requestChanges(now int64, ip string) {
	pending := n.catchUp.from != "" && now-n.catchUp.requestedAt < fetchRetryAfter
	if pending || ip == n.self.IP {
		return
	}
	n.Counts.Fetches++
	checksums := n.Set.PartitionSums()
	n.catchUp.reset()
	n.catchUp.from = ip
	n.catchUp.requestedAt = now
	n.catchUp.appliedAtRequest = n.hardState.Applied
	n.send(ip, Message{Kind: FetchChanges, Checksums: checksums[:]})
}

// serveChanges sends a peer the changes that it lacks, or a snapshot if the history no longer reaches back far enough. It then
// resends the current proposal, which the peer could not vote on before.
func (n *Node) serveChanges(to string, m Message) {
	if m.Applied >= n.hardState.Applied || n.hardState.Applied == 0 {
		return
	}
	if recent := n.history.changes; len(recent) > 0 && recent[0].index <= m.Applied+1 {
		n.send(to, Message{Kind: Changes, Index: m.Applied, Batches: n.history.after(m.Applied)})
	} else {
		n.sendSnapshot(to, m.Checksums)
	}
	n.resendProposal(to)
}

// after returns the values decided after an index, up to the size limit of a message. The peer requests the rest.
func (h *changeHistory) after(index uint64) (batches [][]config.Item) {
	items, bytes := 0, 0
	for _, change := range h.changes {
		if change.index <= index {
			continue
		}
		bytes += change.bytes
		if items >= maxRecentItems/4 || bytes > operation.MaxValueBytes && items > 0 {
			break
		}
		batches = append(batches, change.items)
		items += len(change.items) + 1
	}
	return batches
}

// sendSnapshot sends the partitions of the set that differ from a peer's checksums, in chunks.
func (n *Node) sendSnapshot(to string, checksums []uint64) {
	n.Counts.Cuts++
	partitions := n.Set.DifferingPartitions(checksums)
	chunk := Message{Kind: SnapshotChunk, Index: n.hardState.Applied, Parts: partitions, Tag: n.Set.Checksum()}
	size := 0
	for _, item := range n.Set.InPartitions(partitions) {
		chunk.Value = append(chunk.Value, item)
		size += len(item.Body) + itemOverhead
		if size < chunkBytes {
			continue
		}
		n.send(to, chunk)
		chunk.Value, chunk.Parts, size = nil, nil, 0 // only the first chunk lists the partitions
	}
	chunk.Final = true
	n.send(to, chunk)
}

// handleChanges applies the requested changes that follow the last applied index.
func (n *Node) handleChanges(e Event, m Message) {
	if n.catchUp.from != e.From || m.Index > n.hardState.Applied {
		return
	}
	n.catchUp.reset()
	for i, items := range m.Batches {
		index := m.Index + uint64(i) + 1
		if index == n.nextIndex() {
			n.abandonProposal(e, false)
			n.apply(e.Now, index, items)
		}
	}
	if m.Applied > n.hardState.Applied {
		n.requestChanges(e.Now, e.From)
	}
}

// handleSnapshotChunk collects the chunks of the requested snapshot and installs it when the last one has arrived. The first
// chunk of another snapshot discards an incomplete one.
func (n *Node) handleSnapshotChunk(e Event, m Message) {
	fetch := &n.catchUp
	if fetch.from != e.From || fetch.appliedAtRequest != n.hardState.Applied {
		return
	}
	fetch.requestedAt = e.Now
	if m.Parts != nil {
		fetch.partitions = m.Parts
		fetch.items = nil
	}
	fetch.items = append(fetch.items, m.Value...)
	if !m.Final {
		return
	}
	partitions, items := fetch.partitions, fetch.items
	fetch.reset()
	if m.Index > n.hardState.Applied && n.verifySnapshot(partitions, items, m.Tag) {
		n.installSnapshot(e, m.Index, partitions, items)
	}
}

// verifySnapshot reports whether the set with the snapshot installed has the sender's checksum. After a mismatch checkLag
// requests the snapshot again.
func (n *Node) verifySnapshot(partitions []int, items []config.Item, checksum uint64) bool {
	next := n.Set.Clone()
	next.ReplacePartitions(partitions, items)
	return next.Checksum() == checksum
}

// installSnapshot replaces partitions of the set by those of a snapshot taken at index.
func (n *Node) installSnapshot(e Event, index uint64, partitions []int, items []config.Item) {
	n.abandonProposal(e, false)
	updated, removed := n.Set.ReplacePartitions(partitions, items)
	n.stageChanges(updated, removed)
	n.effects.Replaced = len(removed) > 0
	n.clearHistory()
	n.afterApply(e.Now, index)
}
