package update

import (
	"fmt"
	"slices"
)

// SnapshotCache holds the snapshots that are being sent to proxies, so that proxies that ask at about the same time receive the same
// one. It holds two; the transfers of an older one begin anew. It is not safe for concurrent use. Times are in nanoseconds of one
// clock.
type SnapshotCache struct {
	snapshots []*PendingSnapshot // the newest last
	created   int
	lastUsed  int64
}

// PendingSnapshot is a snapshot that may still be being encoded, by one goroutine. Snapshot and Err must be read only after Done is
// closed.
type PendingSnapshot struct {
	SnapshotHeader
	Done     chan struct{}
	Snapshot *Snapshot
	Err      error
}

const (
	maxCachedSnapshots = 2
	cacheIdleTimeout   = int64(30e9) // nanoseconds without a request, after which all snapshots are dropped
)

// The bounds of what may have changed since a snapshot that is still sent, and of the changes that are sent in one frame. Beyond them a
// new snapshot is smaller.
const (
	MaxFreshChanges = 1024
	MaxFreshBytes   = 256 << 10
	MaxBatchBytes   = 1 << 20
	freshDivisor    = 4       // changes may have a fourth of the snapshot's size, as each proxy is sent them by itself
	minFreshBytes   = 4 << 10 // or so many bytes, for a small snapshot
)

// changeBytes is about how many bytes a change takes as JSON, without an item's name and body.
const changeBytes = 200

// EstimateSize returns about how many bytes changes take as JSON.
func EstimateSize(changes []Change) (size int) {
	for _, change := range changes {
		size += changeBytes
		if change.Item != nil {
			size += len(change.Item.Body) + len(change.Item.Name)
		}
	}
	return size
}

// compactedSize estimates the size of changes as they are sent behind a snapshot: compacted.
func compactedSize(changes []Change) int { return EstimateSize(Compact(slices.Clone(changes))) }

// Newest returns the newest snapshot if it is fresh or still being encoded, else nil: then a new one is to be started. Proxies wait for
// one that is being encoded, and receive it by ByName, however much has changed meanwhile: if they asked for a fresh one again, none
// would ever get one while much changes.
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

// ByName returns a snapshot for a proxy that has a part of it or waits for it. It is nil if the snapshot isn't held any more, or if
// the changes since it aren't, or are more than one batch may have.
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

// isFresh reports whether few changes came since an encoded snapshot.
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

// Start adds a snapshot that is to be encoded, by PendingSnapshot.Encode. The header's Name is set by it.
func (c *SnapshotCache) Start(now int64, header SnapshotHeader) *PendingSnapshot {
	c.created++
	header.Name = fmt.Sprintf("%s.%d", header.Incarnation, c.created)
	pending := &PendingSnapshot{SnapshotHeader: header, Done: make(chan struct{})}
	c.snapshots = append(c.snapshots, pending)
	c.snapshots = c.snapshots[max(0, len(c.snapshots)-maxCachedSnapshots):]
	c.lastUsed = now
	return pending
}

// Encode encodes the snapshot of the changes as of its number, and closes Done.
func (p *PendingSnapshot) Encode(changes []Change, pack func([]byte) []byte) {
	defer close(p.Done)
	p.Snapshot, p.Err = NewSnapshot(p.SnapshotHeader, changes, pack)
}

// EvictIdle drops all snapshots if none was asked for in the last half minute, and reports whether any is left.
func (c *SnapshotCache) EvictIdle(now int64) bool {
	c.evictIdle(now)
	return len(c.snapshots) > 0
}

func (c *SnapshotCache) evictIdle(now int64) {
	if now-c.lastUsed >= cacheIdleTimeout {
		c.snapshots = nil
	}
}

// CachedBytes returns how many bytes the encoded snapshots take.
func (c *SnapshotCache) CachedBytes() (bytes int) {
	for _, pending := range c.snapshots {
		if !pending.inProgress() && pending.Snapshot != nil {
			bytes += pending.Snapshot.Bytes
		}
	}
	return bytes
}
