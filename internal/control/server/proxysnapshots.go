package server

import (
	"time"

	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// evictInterval is the interval between evictions of snapshots that no proxy requests any more.
const evictInterval = 10 * time.Second

// proxySnapshots holds the snapshots that are sent to proxies in chunks. The server's mu guards it.
type proxySnapshots struct {
	cache             update.SnapshotCache
	evictionScheduled bool
}

// snapshotFor returns the snapshot to send to a proxy and its transfer, which is nil until the snapshot has been encoded. It selects the
// awaited snapshot as long as that is cached, else the one that the proxy has received in part, else the newest. If there is none, it
// starts a goroutine that encodes a new one and then ends. If the encoding failed, it closes the proxy's stream. The caller holds mu.
func (s *Server) snapshotFor(sub *subscriber, awaited string, transfer *update.Transfer, header update.SnapshotHeader) (*update.PendingSnapshot, *update.Transfer) {
	now, log, cache := s.clock(), s.state.Updates, &s.proxySnapshots.cache
	snapshot := cache.ByName(now, awaited, header.Incarnation, log)
	if snapshot != nil && transfer != nil {
		return snapshot, transfer
	}
	if snapshot == nil {
		snapshot = cache.ByName(now, sub.progress.Name, header.Incarnation, log)
	}
	if snapshot == nil {
		snapshot = cache.Newest(now, header.Incarnation, log)
	}
	if snapshot == nil {
		snapshot = cache.Start(now, header)
		go snapshot.Encode(s.state.ChunkedSnapshot(s.clock()), stream.EncodeFrame)
		s.scheduleEviction()
	}
	select {
	case <-snapshot.Done:
	default:
		return snapshot, nil
	}
	if snapshot.Err != nil {
		sub.stream.Close(snapshot.Err)
		return snapshot, nil
	}
	return snapshot, update.NewTransfer(snapshot.Snapshot, *sub.progress)
}

// scheduleEviction evicts idle snapshots every evictInterval as long as any is cached and ctx has not ended. The caller holds mu.
func (s *Server) scheduleEviction() {
	if s.proxySnapshots.evictionScheduled {
		return
	}
	s.proxySnapshots.evictionScheduled = true
	time.AfterFunc(evictInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.proxySnapshots.evictionScheduled = false
		if s.ctx.Err() == nil && s.proxySnapshots.cache.EvictIdle(s.clock()) {
			s.scheduleEviction()
		}
	})
}
