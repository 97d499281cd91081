package server

import (
	"slices"
	"time"

	"portflow/internal/cluster/update"
	"portflow/internal/control/registry"
)

const (
	statusInterval       = 3 * time.Second         // between statuses without a change
	statusChangeInterval = 200 * time.Millisecond  // minimum time between statuses to a control process, except for urgent changes
	rolloutAnnounceTime  = int64(time.Hour)        // nanoseconds for which a rollout's start is announced to other control processes
	batchInterval        = 40 * time.Millisecond   // minimum time between batches, so that changes in quick succession share one
	maxUnackedBatches    = 4                       // sent to a subscriber; in batchIntervals, a round trip between regions
	maxSkippedUpdates    = registry.MaxUpdates / 4 // consecutive updates that may be filtered out before an empty batch is sent
)

// updateSender sends updates to one subscriber; see Server.sendUpdates. Only the goroutine of sendUpdates accesses its fields.
type updateSender struct {
	server       *Server
	sub          *subscriber
	identity     update.Hello // the subscriber's hello; its Incarnation is cleared once the subscriber can't resume from its Offset
	sentUpTo     uint64       // number of the last update that was sent or filtered out
	following    bool         // the subscriber has been sent everything up to sentUpTo
	sentStatus   update.Status
	statusSentAt time.Time
	clockSentAt  time.Time
	batchSentAt  time.Time
	unacked      []uint64         // last update of each batch that the subscriber hasn't acknowledged, in order
	transfer     *update.Transfer // the snapshot being sent; nil if there is none
	awaited      string           // name of the last snapshot that was sent or whose encoding was awaited
}

// position identifies the state that a message is built from: the number of the last update, the epoch and the applied log index.
type position struct{ last, epoch, index uint64 }

// sendUpdates sends updates to a subscriber until its stream ends. All pending changes go into one batch. If changes that the subscriber
// lacks are no longer available, it is sent a snapshot: a control process as a single batch, a proxy that accepts chunks in chunks,
// followed by one batch with the changes since, with which the proxy applies everything at once. A proxy that accepts chunks is also
// sent a snapshot if its batch would exceed update.MaxBatchBytes.
func (s *Server) sendUpdates(sub *subscriber) {
	sender := updateSender{server: s, sub: sub}
	select {
	case sender.identity = <-sub.helloReceived:
	case <-sub.stream.Done():
		return
	}
	for sender.awaitBatchInterval() {
		updated, snapshotReady, wait := sender.sendAvailable()
		select {
		case <-updated:
		case <-sub.ackReceived:
		case <-snapshotReady:
		case <-time.After(wait):
		case <-sub.stream.Done():
			return
		}
	}
}

// awaitBatchInterval waits until the next batch may be sent. It reports false if the stream has ended.
func (u *updateSender) awaitBatchInterval() bool {
	if pause := batchInterval - time.Since(u.batchSentAt); pause > 0 {
		select {
		case <-time.After(pause):
		case <-u.sub.stream.Done():
			return false
		}
	}
	select {
	case <-u.sub.stream.Done():
		return false
	default:
		return true
	}
}

// sendAvailable sends everything that is due. It returns when to call it again: when updated is closed by new updates, when snapshotReady
// is closed because the awaited snapshot has been encoded (nil if none is awaited), or after wait.
func (u *updateSender) sendAvailable() (updated, snapshotReady <-chan struct{}, wait time.Duration) {
	s := u.server
	s.mu.Lock()
	defer s.mu.Unlock()
	updated = s.subscriptions.updated
	status := s.state.PeerStatus()
	status.Leaving = s.stopping && u.identity.Control
	at := position{last: s.state.Updates.Last(), epoch: status.Epoch, index: status.Number}
	if !u.identity.Control {
		status.ConfigChecksum, status.Epoch, status.Number = 0, 0, 0 // not used by proxies
	}
	if u.statusDue(status, time.Now()) {
		u.sendStatus(status)
	}
	if (u.identity.Control || status.Complete && !u.sub.provisional) && u.mayBatch() {
		snapshotReady = u.sendChanges(at)
	}
	if status != u.sentStatus { // held back by statusDue because another one was sent recently
		return updated, snapshotReady, statusChangeInterval
	}
	return updated, snapshotReady, statusInterval
}

// mayBatch reports whether fewer than maxUnackedBatches batches are unacknowledged. While a subscriber applies updates more slowly than they
// arise, they are merged here into its next batch; batches queued on the connection would each be older by the time it takes them. The
// caller holds mu.
func (u *updateSender) mayBatch() bool {
	for len(u.unacked) > 0 && u.unacked[0] <= u.sub.acked {
		u.unacked = u.unacked[1:]
	}
	u.sub.awaitsAck = len(u.unacked) >= maxUnackedBatches
	return !u.sub.awaitsAck
}

// batchSent records a batch that ends with the given update. The caller holds mu.
func (u *updateSender) batchSent(to uint64) {
	u.sentUpTo = to
	u.unacked = append(u.unacked, to)
}

// statusDue reports whether to send a status. A proxy is sent each change immediately. A control process is sent urgent changes
// immediately and others once statusChangeInterval has passed since the last status.
func (u *updateSender) statusDue(status update.Status, now time.Time) bool {
	age := now.Sub(u.statusSentAt)
	if age >= statusInterval {
		return true
	}
	if status == u.sentStatus {
		return false
	}
	sent := u.sentStatus
	urgent := status.Complete != sent.Complete || status.HasQuorum != sent.HasQuorum || status.Member != sent.Member || status.Leaving != sent.Leaving
	return !u.identity.Control || urgent || age > statusChangeInterval
}

// sendStatus sends a status, except to a proxy that already has it. The caller holds mu.
func (u *updateSender) sendStatus(status update.Status) {
	if status != u.sentStatus || u.identity.Control {
		msg := update.Message{Status: &status}
		if time.Since(u.clockSentAt) >= statusInterval { // not in every status, as that would add to the traffic of each operation
			msg.Now = u.server.clock()
			u.clockSentAt = time.Now()
			if u.identity.Control {
				msg.RolloutStarts = u.server.state.RolloutAges.Announcements(msg.Now, rolloutAnnounceTime)
			}
		}
		u.sub.stream.Send(msg)
	}
	u.sentStatus = status
	u.statusSentAt = time.Now()
}

// sendChanges sends the changes since the last batch, or a snapshot. If the snapshot is still being encoded, it returns a channel that is
// closed once that is done, otherwise nil. The caller holds mu.
func (u *updateSender) sendChanges(at position) (snapshotReady <-chan struct{}) {
	s := u.server
	u.resume()
	changes, available := s.state.Updates.After(u.sentUpTo)
	batch := registry.Filter(changes, u.identity.Control)
	acceptsChunks := u.sub.progress != nil
	if acceptsChunks && update.EstimateSize(batch) > update.MaxBatchBytes {
		available = false
	}
	switch {
	case u.following && available:
		u.sendBatch(batch, at)
	case !acceptsChunks:
		u.sendSnapshot(at)
	default:
		u.following = false
		u.identity.Incarnation = ""
		return u.sendChunks(at)
	}
	return nil
}

// resume lets a subscriber that reconnects continue after its Offset if all updates since are still available.
func (u *updateSender) resume() {
	if u.following || u.transfer != nil || u.identity.Incarnation != u.server.incarnation {
		return
	}
	if _, available := u.server.state.Updates.After(u.identity.Offset); available {
		u.sentUpTo = u.identity.Offset
		u.following = true
	}
}

// sendBatch sends changes up to the given position. If there are none for this subscriber, it sends nothing until more than
// maxSkippedUpdates updates have been filtered out; the next batch covers their numbers.
func (u *updateSender) sendBatch(changes []update.Change, at position) {
	if len(changes) == 0 && at.last-u.sentUpTo <= maxSkippedUpdates {
		return
	}
	msg := update.Message{Batch: &update.Batch{
		Incarnation: u.server.incarnation,
		From:        u.sentUpTo,
		To:          at.last,
		Changes:     changes,
		Epoch:       at.epoch,
		Number:      at.index,
	}}
	if slices.ContainsFunc(changes, update.Change.HasTimes) {
		msg.Now = u.server.clock()
	}
	u.sub.stream.Send(msg)
	u.batchSent(at.last)
	u.batchSentAt = time.Now()
}

// sendSnapshot sends a snapshot as a single batch.
func (u *updateSender) sendSnapshot(at position) {
	s := u.server
	batch := update.Batch{
		Incarnation: s.incarnation,
		To:          at.last,
		Snapshot:    true,
		Changes:     s.state.Snapshot(s.clock(), u.identity.Control),
		Epoch:       at.epoch,
		Number:      at.index,
	}
	u.sub.stream.Send(update.Message{Batch: &batch, Now: s.clock()})
	u.batchSent(at.last)
	u.following = true
}

// sendChunks sends the next chunks of a snapshot and, after the last one, the changes since. If the snapshot is still being encoded, it
// returns a channel that is closed once that is done, otherwise nil.
func (u *updateSender) sendChunks(at position) (snapshotReady <-chan struct{}) {
	s := u.server
	if u.transfer != nil {
		u.awaited = u.transfer.Snapshot.Name
	}
	header := update.SnapshotHeader{Incarnation: s.incarnation, To: at.last, Epoch: at.epoch, Number: at.index}
	var snapshot *update.PendingSnapshot
	if snapshot, u.transfer = s.snapshotFor(u.sub, u.awaited, u.transfer, header); u.transfer == nil {
		u.awaited = snapshot.Name
		return snapshot.Done
	}
	chunks, complete := u.transfer.Next(*u.sub.progress)
	for _, chunk := range chunks {
		u.sub.stream.SendFrame(chunk)
	}
	if complete {
		u.sendChangesSince(u.transfer.Snapshot.To, at)
	}
	return nil
}

// sendChangesSince sends the batch that completes a snapshot: all changes after snapshotEnd, the last update in the snapshot.
func (u *updateSender) sendChangesSince(snapshotEnd uint64, at position) {
	s := u.server
	changes, _ := s.state.Updates.After(snapshotEnd) // available, since the cache returns only snapshots for which they are
	batch := update.Batch{
		Incarnation: s.incarnation,
		From:        snapshotEnd,
		To:          at.last,
		Changes:     registry.Filter(changes, false),
		Epoch:       at.epoch,
		Number:      at.index,
	}
	u.sub.stream.Send(update.Message{Batch: &batch, Now: s.clock()})
	u.batchSent(at.last)
	u.following = true
	u.transfer = nil
}
