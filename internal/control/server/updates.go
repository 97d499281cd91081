package server

import (
	"slices"
	"time"

	"portflow/internal/cluster/update"
	"portflow/internal/control/registry"
)

const (
	statusInterval       = 3 * time.Second // between statuses where nothing changes
	statusChangeInterval = 200 * time.Millisecond
	rolloutAnnounceTime  = int64(time.Hour)      // nanoseconds, for which other control processes are sent when a rollout began
	batchInterval        = 40 * time.Millisecond // at least between two batches: changes that come close together are sent together
	maxSkippedUpdates    = registry.MaxUpdates / 4
)

// updateSender sends one subscriber its updates; see Server.sendUpdates. Its fields are its goroutine's alone.
type updateSender struct {
	server       *Server
	sub          *subscriber
	identity     update.Hello // of the subscriber; its Incarnation is cleared once the Offset in it is of no use
	sentUpTo     uint64       // number of the last update that was sent, or didn't have to be
	following    bool         // the subscriber has everything up to sentUpTo
	sentStatus   update.Status
	statusSentAt time.Time
	clockSentAt  time.Time
	batchSentAt  time.Time
	transfer     *update.Transfer // the snapshot that is being sent, nil for none
	awaited      string           // name of the snapshot that was sent or awaited last
}

// position is how far the state is that a message is made from.
type position struct{ last, epoch, index uint64 }

// sendUpdates sends a subscriber what changes, until its stream ends. Everything that has changed goes into one batch. A subscriber
// that can't be sent changes alone, or for which they would be more than a snapshot, is sent a snapshot: a proxy in chunks, and then
// the changes since in one batch, with which it puts everything in force at once.
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
		case <-sub.chunkAcked:
		case <-snapshotReady:
		case <-time.After(wait):
		case <-sub.stream.Done():
			return
		}
	}
}

// awaitBatchInterval waits until the next batch may be sent. It reports false once the stream has ended.
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

// sendAvailable sends what there is to send now. It returns when to look again: on new updates, once a snapshot is encoded (nil where
// none is awaited), or after a time.
func (u *updateSender) sendAvailable() (updated, snapshotReady <-chan struct{}, wait time.Duration) {
	s := u.server
	s.mu.Lock()
	defer s.mu.Unlock()
	updated = s.subscriptions.updated
	status := s.state.PeerStatus()
	status.Leaving = s.stopping && u.identity.Control
	at := position{last: s.state.Updates.Last(), epoch: status.Epoch, index: status.Number}
	if !u.identity.Control {
		status.Sum, status.Epoch, status.Number = 0, 0, 0 // of no use to a proxy
	}
	if u.statusDue(status, time.Now()) {
		u.sendStatus(status)
	}
	if u.identity.Control || status.Complete && !u.sub.provisional {
		snapshotReady = u.sendChanges(at)
	}
	if status != u.sentStatus { // another one was sent just now: this one must follow soon
		return updated, snapshotReady, statusChangeInterval
	}
	return updated, snapshotReady, statusInterval
}

// statusDue reports whether a status is to be sent. A proxy is sent each change at once, a control process those that matter at once.
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

// sendStatus sends a status; a proxy isn't sent one that it has. The caller holds mu.
func (u *updateSender) sendStatus(status update.Status) {
	if status != u.sentStatus || u.identity.Control {
		msg := update.Message{Status: &status}
		if time.Since(u.clockSentAt) >= statusInterval { // not with each change, as each operation would cost these bytes
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

// sendChanges sends the changes since the last batch, or a snapshot. It returns a channel that is closed once the snapshot that is to be
// sent is encoded, nil for none. The caller holds mu.
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

// resume has a subscriber that has subscribed before go on where it was, if all changes since are available.
func (u *updateSender) resume() {
	if u.following || u.transfer != nil || u.identity.Incarnation != u.server.incarnation {
		return
	}
	if _, available := u.server.state.Updates.After(u.identity.Offset); available {
		u.sentUpTo = u.identity.Offset
		u.following = true
	}
}

// sendBatch sends changes. Where none of them is for this subscriber, their numbers are sent with the next batch, unless that takes
// long.
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
	u.sentUpTo = at.last
	u.batchSentAt = time.Now()
}

// sendSnapshot sends a snapshot in one batch.
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
	u.sentUpTo = at.last
	u.following = true
}

// sendChunks sends the next chunks of a snapshot and, after the last one, the changes since. It returns a channel that is closed once the
// snapshot is encoded, nil where it is.
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

// sendChangesSince sends the batch that completes a snapshot, which holds all updates up to a number.
func (u *updateSender) sendChangesSince(snapshotEnd uint64, at position) {
	s := u.server
	changes, _ := s.state.Updates.After(snapshotEnd) // available, or the snapshot would not have been sent any more
	batch := update.Batch{
		Incarnation: s.incarnation,
		From:        snapshotEnd,
		To:          at.last,
		Changes:     registry.Filter(changes, false),
		Epoch:       at.epoch,
		Number:      at.index,
	}
	u.sub.stream.Send(update.Message{Batch: &batch, Now: s.clock()})
	u.sentUpTo = at.last
	u.following = true
	u.transfer = nil
}
