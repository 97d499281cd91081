package harbourmaster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/soundings"
)

// restoring is for how long a snapshot that has come as a whole is tried to be put in force.
const restoring = 15 * time.Second

// snapshot answers with a chunk of a consistent cut: it is as of a number that more than half of the members have confirmed.
func (m *Master) snapshot(ctx context.Context, _ string, body []byte) (any, error) {
	var ask soundings.Ask
	if len(body) > 0 {
		if err := json.Unmarshal(body, &ask); err != nil {
			return nil, faults.Wrap(faults.Malformed, err, "the body is no table")
		}
	}
	if ask.Snapshot == "" {
		if err := m.confirm(ctx); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.ready(); err != nil {
		return nil, err
	}
	return m.shelf.Answer(m.clock(), ask, func() ([]manifest.Item, uint64, uint64) {
		all := m.state.Set.All()
		for n := range all {
			all[n].Past = nil
		}
		return all, m.state.Node.List().Epoch, m.state.Node.Applied()
	})
}

// restore takes a piece of a snapshot; with the last one the whole is put in force, as one number under a new epoch. Who sends
// that piece again hears what became of it.
func (m *Master) restore(_ context.Context, _ string, body []byte) (any, error) {
	var piece soundings.Piece
	if err := json.Unmarshal(body, &piece); err != nil {
		return nil, faults.Wrap(faults.Malformed, err, "the body is no table")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.ready(); err != nil {
		return nil, err
	}
	landed, items, head, err := m.dock.Take(m.clock(), piece.Chunk)
	if size := manifest.Laid(items); err == nil && size > orders.MostLaid {
		m.dock.Ended(head, false)
		return nil, faults.New(faults.Oversized, "chunk: the snapshot has %d bytes, of at most %d that are restored at once", size, orders.MostLaid)
	}
	if err == nil && items != nil {
		go func() {
			ctx, cancel := context.WithTimeout(m.ctx, restoring)
			defer cancel()
			m.mu.Lock()
			o := orders.Order{Kind: orders.Restore, Items: items, Version: fmt.Sprintf("%s-%d", m.life, m.restores)}
			m.restores++
			m.mu.Unlock()
			err := faults.New(faults.Unready, "not begun")
			for err != nil && ctx.Err() == nil && faults.Of(err) == faults.Unready {
				m.mu.Lock()
				o.Number = m.state.Node.List().Epoch // no copy of a try that is out comes in force once that has moved
				m.mu.Unlock()
				err = m.submit(ctx, o)
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			m.dock.Ended(head, err == nil)
		}()
	}
	return landed, err
}
