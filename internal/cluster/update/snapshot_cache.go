package update

import (
	"fmt"
	"slices"
)

// SnapshotCache keeps the snapshots that are being sent to proxies, so that proxies that subscribe at about the same time share one. It
// keeps the last two; transfers of evicted ones start over. It is not safe for concurrent use. Times are in nanoseconds of one clock.
type SnapshotCache struct {
	snapshots []*PendingSnapshot // oldest first
	created   int                // number of snapshots started, for unique names
	lastUsed  int64
}

// PendingSnapshot is a snapshot that one goroutine is encoding or has encoded. Snapshot and Err may be read only after Done is closed.
type PendingSnapshot struct {
	SnapshotHeader
	Done     chan struct{}
	Snapshot *Snapshot
	Err      error
}

const (
	maxCachedSnapshots = 2
	cacheIdleTimeout   = int64(30e9) // nanoseconds without a request after which all snapshots are evicted
)

// Limits on the changes since a snapshot. A proxy without a snapshot is sent a cached one only while it is fresh; beyond these limits a
// new snapshot is cheaper, because a snapshot is encoded once for all proxies and the changes since are sent to each proxy separately.
// Sizes are estimates of the compacted changes as JSON.
const (
	MaxFreshChanges = 1024      // number of changes, before compaction, up to which a snapshot is fresh
	MaxFreshBytes   = 256 << 10 // see freshDivisor
	MaxBatchBytes   = 1 << 20   // maximum size of the changes that are sent in one batch
	freshDivisor    = 4         // a snapshot is fresh up to JSONBytes/freshDivisor, but at least minFreshBytes and at most MaxFreshBytes
	minFreshBytes   = 4 << 10   // see freshDivisor
)

// changeBytes is the approximate size of a change as JSON, without an item's name and body.
const changeBytes = 200

// EstimateSize returns the approximate size of changes as JSON, in bytes.
func EstimateSize(changes []Change) (size int) {
	for _, change := range changes {
		size += changeBytes
		if change.Item != nil {
			size += len(change.Item.Body) + len(change.Item.Name)
		}
	}
	return size
}

// compactedSize estimates the size of the changes that are sent after a snapshot, which are compacted first.
func compactedSize(changes []Change) int { return EstimateSize(Compact(slices.Clone(changes))) }

// Newest returns the newest snapshot if it is fresh or still being encoded. Otherwise it returns nil, and the caller is to start a new
// one. Proxies that wait for a snapshot being encoded obtain it with ByName, even if it is no longer fresh by then: if they required a
// fresh one, they might never get any under frequent changes.
func (c *SnapshotCache) Newest(now int64, incarnation string, log *Log) *PendingSnapshot {
	c.evictIdle(now)
	if len(c.snapshots) == 0 {
		return nil
	}
	newest := c.snapshots[len(c.snapshots)-1]
	if newest.Incarnation != incarnation || newest.failed() {
		return nil
	}
	if !newest.inProgress() && !newest.isFresh(log) {
		return nil
	}
	c.lastUsed = now
	return newest
}

// ByName returns a snapshot for a proxy that has received part of it or is waiting for it. It returns nil if the snapshot couldn't be
// encoded or is no longer cached, or if the changes since are no longer in the log or exceed MaxBatchBytes.
func (c *SnapshotCache) ByName(now int64, name, incarnation string, log *Log) *PendingSnapshot {
	c.evictIdle(now)
	for _, snapshot := range c.snapshots {
		if snapshot.Name != name || snapshot.Incarnation != incarnation || snapshot.failed() {
			continue
		}
		changes, ok := log.After(snapshot.To)
		if !ok || compactedSize(changes) > MaxBatchBytes {
			continue
		}
		c.lastUsed = now
		return snapshot
	}
	return nil
}

// isFresh reports whether the changes since the snapshot are within the limits. The snapshot must be encoded.
func (p *PendingSnapshot) isFresh(log *Log) bool {
	changes, ok := log.After(p.To)
	if !ok || len(changes) > MaxFreshChanges {
		return false
	}
	limit := min(MaxFreshBytes, max(minFreshBytes, p.Snapshot.JSONBytes/freshDivisor))
	return compactedSize(changes) <= limit
}

func (p *PendingSnapshot) failed() bool { return !p.inProgress() && p.Err != nil }

func (p *PendingSnapshot) inProgress() bool {
	select {
	case <-p.Done:
		return false
	default:
		return true
	}
}

// Start adds a new snapshot, whose Name it assigns, and may evict the oldest one. The caller must call Encode on the result.
func (c *SnapshotCache) Start(now int64, header SnapshotHeader) *PendingSnapshot {
	c.created++
	header.Name = fmt.Sprintf("%s.%d", header.Incarnation, c.created)
	pending := &PendingSnapshot{SnapshotHeader: header, Done: make(chan struct{})}
	c.snapshots = append(c.snapshots, pending)
	c.snapshots = c.snapshots[max(0, len(c.snapshots)-maxCachedSnapshots):]
	c.lastUsed = now
	return pending
}

// Encode sets Snapshot or Err, and closes Done. It must be called once, with the state as of the header's To.
func (p *PendingSnapshot) Encode(changes []Change, pack func([]byte) []byte) {
	defer close(p.Done)
	p.Snapshot, p.Err = NewSnapshot(p.SnapshotHeader, changes, pack)
}

// EvictIdle evicts all snapshots if none was requested within cacheIdleTimeout, and reports whether any is left.
func (c *SnapshotCache) EvictIdle(now int64) bool {
	c.evictIdle(now)
	return len(c.snapshots) > 0
}

func (c *SnapshotCache) evictIdle(now int64) {
	if now-c.lastUsed >= cacheIdleTimeout {
		c.snapshots = nil
	}
}

// CachedBytes returns the total size of the messages of the cached snapshots.
func (c *SnapshotCache) CachedBytes() (bytes int) {
	for _, pending := range c.snapshots {
		if !pending.inProgress() && pending.Snapshot != nil {
			bytes += pending.Snapshot.Bytes
		}
	}
	return bytes
}
