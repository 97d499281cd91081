package server

import (
	"slices"
	"time"

	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/registry"
)

const (
	statusInterval       = 3 * time.Second // where nothing has changed
	statusChangeInterval = 200 * time.Millisecond
	rolloutAnnounceTime  = int64(time.Hour)      // for so long the others are told when a rollout began
	batchInterval        = 40 * time.Millisecond // at least between two batches of news: what comes close together goes together
	evictInterval        = 10 * time.Second      // of snapshots that were made for routers
)

// sendUpdates sends news as it comes: all that is there at once goes into one batch. Who can't be given changes alone, or to whom they
// would be more than a snapshot, is sent one: a router in chunks, then the changes since it in one batch, with which it takes all
// in at once.
func (s *Server) sendUpdates(sub *subscriber) {
	var identity update.Hello
	select {
	case identity = <-sub.helloReceived:
	case <-sub.stream.Done():
		return
	}
	sentUpTo, following := uint64(0), false
	var sentStatus update.Status
	statusSentAt, clockSentAt := time.Time{}, time.Time{}
	var transfer *update.Transfer // of the snapshot that it is being sent
	awaited := ""                 // for which snapshot
	batchSentAt := time.Time{}    // news, the last time
	for {
		if pause := batchInterval - time.Since(batchSentAt); pause > 0 {
			select {
			case <-time.After(pause):
			case <-sub.stream.Done():
				return
			}
		}
		select {
		case <-sub.stream.Done():
			return
		default:
		}
		var snapshotReady chan struct{}
		s.mu.Lock()
		updated, status := s.updated, s.state.PeerStatus()
		status.Leaving = s.stopping && identity.Control
		epoch, index := status.Epoch, status.Number
		if !identity.Control {
			status.Sum, status.Epoch, status.Number = 0, 0, 0 // of no use to a router
		}
		if status != sentStatus && (!identity.Control || time.Since(statusSentAt) > statusChangeInterval || status.Complete != sentStatus.Complete ||
			status.HasQuorum != sentStatus.HasQuorum || status.Member != sentStatus.Member || status.Leaving != sentStatus.Leaving) || time.Since(statusSentAt) >= statusInterval {
			if status != sentStatus || identity.Control {
				msg := update.Message{Status: &status}
				if time.Since(clockSentAt) >= statusInterval { // not with each change: that would cost each order its bytes
					if msg.Now, clockSentAt = s.clock(), time.Now(); identity.Control {
						msg.RolloutStarts = s.state.RolloutAges.Announcements(msg.Now, rolloutAnnounceTime)
					}
				}
				sub.stream.Send(msg)
			}
			sentStatus, statusSentAt = status, time.Now()
		}
		if identity.Control || status.Complete && !sub.provisional {
			last := s.state.Updates.Last()
			if _, available := s.state.Updates.After(identity.Offset); !following && transfer == nil && available && identity.Incarnation == s.incarnation { // it has been here before
				sentUpTo, following = identity.Offset, true
			}
			changes, available := s.state.Updates.After(sentUpTo)
			batch := registry.Filter(changes, identity.Control)
			if sub.received != nil && update.EstimateSize(batch) > update.MaxBatchBytes {
				available = false
			}
			switch {
			case following && available:
				if len(batch) > 0 || last-sentUpTo > registry.MaxUpdates/4 {
					msg := update.Message{Batch: &update.Batch{Incarnation: s.incarnation, From: sentUpTo, To: last, Changes: batch, Epoch: epoch, Number: index}}
					if slices.ContainsFunc(batch, update.Change.HasTimes) {
						msg.Now = s.clock()
					}
					sub.stream.Send(msg)
					sentUpTo, batchSentAt = last, time.Now()
				} // else nothing of it is for this one: the numbers go with the next batch
			case sub.received == nil:
				sub.stream.Send(update.Message{Batch: &update.Batch{Incarnation: s.incarnation, To: last, Snapshot: true, Changes: s.state.Snapshot(s.clock(), identity.Control), Epoch: epoch, Number: index}, Now: s.clock()})
				sentUpTo, following = last, true
			default:
				following, identity.Incarnation = false, ""
				var snapshot *update.PendingSnapshot
				if transfer != nil {
					awaited = transfer.Snapshot.Name
				}
				if snapshot, transfer = s.snapshotFor(sub, awaited, transfer, update.SnapshotHeader{Incarnation: s.incarnation, To: last, Epoch: epoch, Number: index}); transfer == nil {
					snapshotReady, awaited = snapshot.Done, snapshot.Name
					break
				}
				chunks, done := transfer.Next(*sub.received)
				for _, msg := range chunks {
					sub.stream.SendFrame(msg)
				}
				if !done {
					break
				}
				changes, _ = s.state.Updates.After(transfer.Snapshot.To) // it is all kept, or the cut weren't sent any more
				sub.stream.Send(update.Message{Batch: &update.Batch{Incarnation: s.incarnation, From: transfer.Snapshot.To, To: last, Changes: registry.Filter(changes, false), Epoch: epoch, Number: index}, Now: s.clock()})
				sentUpTo, following, transfer = last, true, nil
			}
		}
		wait := statusInterval
		if status != sentStatus { // it has only just said another: this one follows soon, or others miss what has changed
			wait = statusChangeInterval
		}
		s.mu.Unlock()
		select {
		case <-updated:
		case <-sub.chunkAcked:
		case <-snapshotReady:
		case <-time.After(wait):
		case <-sub.stream.Done():
			return
		}
	}
}

// snapshotFor finds the snapshot that a router is to be sent, and has one made where none is there: sent is nil until it is. The one that
// it is being sent or waits for goes on as long as it is kept, and one of which the router has a part; else it begins with the
// newest. The caller holds the lock.
func (s *Server) snapshotFor(sub *subscriber, awaited string, transfer *update.Transfer, header update.SnapshotHeader) (*update.PendingSnapshot, *update.Transfer) {
	now, log := s.clock(), s.state.Updates
	snapshot := s.proxySnapshots.ByName(now, awaited, header.Incarnation, log)
	if snapshot != nil && transfer != nil {
		return snapshot, transfer
	}
	if snapshot == nil {
		snapshot = s.proxySnapshots.ByName(now, sub.received.Name, header.Incarnation, log)
	}
	if snapshot == nil {
		snapshot = s.proxySnapshots.Newest(now, header.Incarnation, log)
	}
	if snapshot == nil {
		snapshot = s.proxySnapshots.Start(now, header)
		go snapshot.Encode(s.state.Snapshot(s.clock(), false), stream.EncodeFrame)
		s.scheduleEviction()
	}
	select {
	case <-snapshot.Done:
		if snapshot.Err != nil {
			sub.stream.Close(snapshot.Err)
			return snapshot, nil
		}
		return snapshot, update.NewTransfer(snapshot.Snapshot, *sub.received)
	default:
		return snapshot, nil
	}
}

// scheduleEviction looks for cuts that nobody asks for any more, as long as one is kept; the caller holds the lock.
func (s *Server) scheduleEviction() {
	if s.evictionScheduled {
		return
	}
	s.evictionScheduled = true
	time.AfterFunc(evictInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.evictionScheduled = false; s.ctx.Err() == nil && s.proxySnapshots.EvictIdle(s.clock()) {
			s.scheduleEviction()
		}
	})
}
