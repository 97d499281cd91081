package consensus

import (
	"maps"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// checkLag asks a peer that has had more for a while.
func (n *Node) checkLag(now int64) {
	furthest := ""
	for _, ip := range slices.Sorted(maps.Keys(n.peers)) {
		if p := n.peers[ip]; p.Applied > n.hardState.Applied && (furthest == "" || p.Applied > n.peers[furthest].Applied) {
			furthest = ip
		}
	}
	switch {
	case furthest == "":
		n.behindSince = 0
	case n.behindSince == 0:
		n.behindSince = now
		fallthrough
	default:
		if !n.caughtUp || now-n.behindSince >= fetchDelay {
			n.requestChanges(now, furthest)
		}
	}
}

// requestChanges asks a peer for what was decided since.
func (n *Node) requestChanges(now int64, ip string) {
	if n.catchUp.from != "" && now-n.catchUp.at < fetchRetryAfter || ip == n.self.IP {
		return
	}
	n.Counts.Fetches++
	sums := n.Set.PartitionSums()
	n.cancelFetch()
	n.catchUp.from, n.catchUp.at, n.catchUp.behind = ip, now, n.hardState.Applied
	n.send(ip, Message{Kind: FetchChanges, Checksums: sums[:]})
}

func (n *Node) cancelFetch() {
	n.catchUp.from, n.catchUp.parts, n.catchUp.items = "", nil, nil
}

// serveChanges tells what was decided since: the changes, as long as they are kept; else a consistent cut, in chunks.
func (n *Node) serveChanges(to string, m Message) {
	if m.Applied >= n.hardState.Applied || n.hardState.Applied == 0 {
		return
	}
	if len(n.recent) > 0 && n.recent[0].index <= m.Applied+1 {
		var batches [][]config.Item
		items, bytes := 0, 0
		for _, change := range n.recent {
			if change.index <= m.Applied {
				continue
			}
			if bytes += change.bytes; items >= maxRecentItems/4 || bytes > operation.MaxValueBytes && items > 0 { // the rest is asked for again
				break
			}
			batches = append(batches, change.items)
			items += len(change.items) + 1
		}
		n.send(to, Message{Kind: Changes, Index: m.Applied, Batches: batches})
		n.resendProposal(to)
		return
	}
	n.Counts.Cuts++
	parts := n.Set.DifferingPartitions(m.Checksums)
	chunk := Message{Kind: SnapshotChunk, Index: n.hardState.Applied, Parts: parts, Tag: n.Set.Checksum()}
	size := 0
	for _, i := range n.Set.InPartitions(parts) {
		if chunk.Value, size = append(chunk.Value, i), size+len(i.Body)+96; size >= chunkBytes {
			n.send(to, chunk)
			chunk.Value, chunk.Parts, size = nil, nil, 0
		}
	}
	chunk.Final = true
	n.send(to, chunk)
	n.resendProposal(to)
}

// handleChanges applies changes that follow on what is had.
func (n *Node) handleChanges(e Event, m Message) {
	if n.catchUp.from != e.From || m.Index > n.hardState.Applied {
		return
	}
	n.cancelFetch()
	for i, items := range m.Batches {
		if index := m.Index + uint64(i) + 1; index == n.hardState.Applied+1 {
			n.abandonProposal(e, false)
			n.apply(e.Now, index, items)
		}
	}
	if m.Applied > n.hardState.Applied {
		n.requestChanges(e.Now, e.From)
	}
}

// handleSnapshotChunk takes a chunk of a consistent cut, and puts it in the place of what is had once it is there as a whole.
func (n *Node) handleSnapshotChunk(e Event, m Message) {
	fetch := &n.catchUp
	if fetch.from != e.From || fetch.behind != n.hardState.Applied {
		return
	}
	fetch.at = e.Now
	if m.Parts != nil {
		fetch.parts, fetch.items = m.Parts, nil
	}
	if fetch.items = append(fetch.items, m.Value...); !m.Final {
		return
	}
	parts, items := fetch.parts, fetch.items
	n.cancelFetch()
	if m.Index <= n.hardState.Applied {
		return
	}
	next := n.Set.Clone()
	if next.ReplacePartitions(parts, items); next.Checksum() != m.Tag {
		return // it is asked for again
	}
	n.abandonProposal(e, false)
	updated, removed := n.Set.ReplacePartitions(parts, items)
	for _, i := range updated {
		n.stageItem(i)
	}
	for _, k := range removed {
		n.stageRemoval(k)
	}
	n.effects.Replaced = len(removed) > 0
	n.forgetChanges()
	n.afterApply(e.Now, m.Index)
}
