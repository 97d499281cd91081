package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
	"portflow/internal/control/snapshot"
)

// restoreTimeout limits the attempts to apply an uploaded snapshot.
const restoreTimeout = 15 * time.Second

// operatorSnapshots holds the snapshots that operators read and restore. The server's mu guards it.
type operatorSnapshots struct {
	cache    snapshot.Cache  // snapshots being read
	upload   snapshot.Upload // snapshot being uploaded and restored
	restores int             // number of restores begun since this process started
}

// handleSnapshot returns a chunk of a consistent snapshot. A new snapshot is created after a quorum read.
func (s *Server) handleSnapshot(ctx context.Context, _ string, body []byte) (any, error) {
	var req snapshot.ReadRequest
	if len(body) > 0 {
		if err := json.Unmarshal(body, &req); err != nil {
			return nil, apierror.Wrap(apierror.Malformed, err, "snapshot request")
		}
	}
	if req.Snapshot == "" {
		if err := s.confirmLatest(ctx); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	return s.operatorSnapshots.cache.Serve(s.clock(), req, s.snapshotItems)
}

// snapshotItems returns all items except departures, without their history, and the epoch and index that they correspond to. A restore
// leaves departures as they are. The caller holds mu.
func (s *Server) snapshotItems() (items []config.Item, epoch, index uint64) {
	items = s.state.Set.WithoutDepartures()
	for i := range items {
		items[i].History = nil
	}
	return items, s.state.Node.Membership().Epoch, s.state.Node.Applied()
}

// handleRestore handles a chunk of an uploaded snapshot. The last chunk starts the restore, which applies the snapshot at one index under
// a new epoch; when that chunk is sent again, the answer reports the outcome.
func (s *Server) handleRestore(_ context.Context, _ string, body []byte) (any, error) {
	var req snapshot.RestoreRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "restore request")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkReady(); err != nil {
		return nil, err
	}
	upload := &s.operatorSnapshots.upload
	resp, items, header, err := upload.AddChunk(s.clock(), req.Chunk)
	if size := config.EncodedSizeBound(items); err == nil && size > operation.MaxValueBytes {
		upload.Finish(header, false)
		return nil, apierror.New(apierror.BodyTooLarge, "chunk: the snapshot has %d bytes; at most %d can be restored", size, operation.MaxValueBytes)
	}
	if err == nil && items != nil {
		go s.restore(items, header)
	}
	return resp, err
}

// restore applies a complete snapshot. It runs in its own goroutine, which ends once the snapshot is applied or rejected, after
// restoreTimeout, or when ctx ends.
func (s *Server) restore(items []config.Item, header snapshot.Header) {
	ctx, cancel := context.WithTimeout(s.ctx, restoreTimeout)
	defer cancel()
	op := operation.Operation{Kind: operation.RestoreSnapshot, Items: items, Version: s.nextRestoreName()}
	err := apierror.New(apierror.Unavailable, "restore has not begun")
	for err != nil && ctx.Err() == nil && apierror.KindOf(err) == apierror.Unavailable {
		op.Expected = s.epoch() // delayed copies of earlier attempts have no effect once the epoch has changed
		err = s.submit(ctx, op)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorSnapshots.upload.Finish(header, err == nil)
}

// nextRestoreName returns a name that no other restore in the cluster has.
func (s *Server) nextRestoreName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprintf("%s-%d", s.incarnation, s.operatorSnapshots.restores)
	s.operatorSnapshots.restores++
	return name
}

// epoch returns the epoch of the member list.
func (s *Server) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Node.Membership().Epoch
}
