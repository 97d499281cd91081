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

// restoreTimeout is for how long a snapshot that has come as a whole is tried to be put in force.
const restoreTimeout = 15 * time.Second

// handleSnapshot answers with a chunk of a consistent cut: it is as of a number that more than half of the members have confirmed.
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
	return s.snapshots.Serve(s.clock(), req, func() ([]config.Item, uint64, uint64) {
		items := s.state.Set.All()
		for n := range items {
			items[n].History = nil
		}
		return items, s.state.Node.Membership().Epoch, s.state.Node.Applied()
	})
}

// handleRestore takes a piece of a snapshot; with the last one the whole is put in force, as one number under a new epoch. Who sends
// that piece again hears what became of it.
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
	resp, items, header, err := s.upload.AddChunk(s.clock(), req.Chunk)
	if size := config.EncodedSizeBound(items); err == nil && size > operation.MaxValueBytes {
		s.upload.Finish(header, false)
		return nil, apierror.New(apierror.BodyTooLarge, "chunk: the snapshot has %d bytes, of at most %d that are restored at once", size, operation.MaxValueBytes)
	}
	if err == nil && items != nil {
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, restoreTimeout)
			defer cancel()
			s.mu.Lock()
			op := operation.Operation{Kind: operation.RestoreSnapshot, Items: items, Version: fmt.Sprintf("%s-%d", s.incarnation, s.restoreCount)}
			s.restoreCount++
			s.mu.Unlock()
			err := apierror.New(apierror.Unavailable, "not begun")
			for err != nil && ctx.Err() == nil && apierror.KindOf(err) == apierror.Unavailable {
				s.mu.Lock()
				op.Expected = s.state.Node.Membership().Epoch // no copy of a try that is out comes in force once that has moved
				s.mu.Unlock()
				err = s.submit(ctx, op)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.upload.Finish(header, err == nil)
		}()
	}
	return resp, err
}
