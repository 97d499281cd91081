package server

import (
	"time"

	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// evictInterval is the time between two looks for snapshots that no proxy asks for any more.
const evictInterval = 10 * time.Second

// proxySnapshots are the snapshots that proxies are sent in chunks. The server's mu guards it.
type proxySnapshots struct {
	cache             update.SnapshotCache
	evictionScheduled bool
}

// snapshotFor is the snapshot that a proxy is to be sent. The transfer of it is nil while it is being encoded. A snapshot that is being
// sent or awaited is kept to as long as it is cached, then one of which the proxy has a part, then the newest; without any a new one
// is encoded, by a goroutine that ends with that. The caller holds mu.
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
		go snapshot.Encode(s.state.Snapshot(s.clock(), false), stream.EncodeFrame)
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

// scheduleEviction evicts idle snapshots now and then, as long as any is cached and ctx has not ended. The caller holds mu.
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
