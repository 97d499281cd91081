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

// restoreTimeout is how long it is attempted to put a received snapshot in force.
const restoreTimeout = 15 * time.Second

// operatorSnapshots are the snapshots that operators read and restore. The server's mu guards it.
type operatorSnapshots struct {
	cache    snapshot.Cache  // snapshots that are being read
	upload   snapshot.Upload // the one that is being restored
	restores int             // restores that this process has begun since it started
}

// handleSnapshot answers with a chunk of a consistent snapshot, as of an index that a majority of the members has confirmed.
func (s *Server) handleSnapshot(ctx context.Context, _ string, body []byte) (any, error) {
	var req snapshot.ReadRequest
	if len(body) > 0 {
		if err := json.Unmarshal(body, &req); err != nil {
			return nil, apierror.Wrap(apierror.Malformed, err, "the body is no table")
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

// snapshotItems are all items without their history, and the epoch and index as of which they are. The caller holds mu.
func (s *Server) snapshotItems() (items []config.Item, epoch, index uint64) {
	items = s.state.Set.All()
	for i := range items {
		items[i].History = nil
	}
	return items, s.state.Node.Membership().Epoch, s.state.Node.Applied()
}

// handleRestore takes a chunk of a snapshot. With the last one the snapshot is put in force, at one index under a new epoch; sent
// again, that chunk is answered with what became of it.
func (s *Server) handleRestore(_ context.Context, _ string, body []byte) (any, error) {
	var req snapshot.RestoreRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the body is no table")
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
		return nil, apierror.New(apierror.BodyTooLarge, "chunk: the snapshot has %d bytes, of at most %d that are restored at once", size, operation.MaxValueBytes)
	}
	if err == nil && items != nil {
		go s.restore(items, header)
	}
	return resp, err
}

// restore puts a complete snapshot in force. Its goroutine ends with that, after restoreTimeout, or with ctx.
func (s *Server) restore(items []config.Item, header snapshot.Header) {
	ctx, cancel := context.WithTimeout(s.ctx, restoreTimeout)
	defer cancel()
	op := operation.Operation{Kind: operation.RestoreSnapshot, Items: items, Version: s.nextRestoreName()}
	err := apierror.New(apierror.Unavailable, "not begun")
	for err != nil && ctx.Err() == nil && apierror.KindOf(err) == apierror.Unavailable {
		op.Expected = s.epoch() // a copy of an earlier attempt has no effect once the epoch has changed
		err = s.submit(ctx, op)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorSnapshots.upload.Finish(header, err == nil)
}

// nextRestoreName is a name that no other restore of this cluster has.
func (s *Server) nextRestoreName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprintf("%s-%d", s.incarnation, s.operatorSnapshots.restores)
	s.operatorSnapshots.restores++
	return name
}

// epoch is the members' epoch.
func (s *Server) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Node.Membership().Epoch
}
