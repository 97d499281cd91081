package snapshot

import (
	"errors"
	"fmt"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/settings"
)

// The calls' names.
const (
	SnapshotCall = "harbour.snapshot"
	RestoreCall  = "harbour.restore"
)

// ReadRequest is the body of harbour.snapshot: the snapshot's name, empty for one as of now, and the item that the chunk begins with.
type ReadRequest struct {
	Snapshot  string `json:"snapshot,omitempty"`
	FirstItem int    `json:"from,omitempty"`
}

// ReadResponse is its answer.
type ReadResponse struct {
	Snapshot   string `json:"snapshot"`
	Chunk      []byte `json:"chunk"` // base64 in JSON
	NextItem   int    `json:"next"`
	TotalItems int    `json:"items"`
	Done       bool   `json:"done"`
}

// RestoreRequest is the body of harbour.restore.
type RestoreRequest struct {
	Chunk []byte `json:"chunk"`
}

// RestoreResponse is its answer: how many items of which snapshot are there, and whether they are in force.
type RestoreResponse struct {
	Snapshot      string `json:"snapshot"`
	ReceivedItems int    `json:"have"`
	InForce       bool   `json:"done"`
}

const (
	maxCached   = 2                // that are kept for those who ask on
	idleTimeout = 30 * time.Second // after which nobody is expected to
)

// Cache keeps the cuts that are being asked for. It is not safe for two goroutines; times are nanoseconds of one clock.
type Cache struct{ snapshots map[string]*cachedSnapshot }

type cachedSnapshot struct {
	header     Header
	items      []config.Item
	lastUsedAt int64
}

// Serve answers an ask. present is the set as it stands, in the order of its keys; its items share their bodies with the
// set's, so that a cut costs some 90 bytes an item. Who asks on for a cut that is gone has it from any holder whose set is
// still the same, else an error of kind Missing: it starts again.
func (c *Cache) Serve(now int64, req ReadRequest, present func() (items []config.Item, epoch, number uint64)) (ReadResponse, error) {
	for name, entry := range c.snapshots {
		if now-entry.lastUsedAt > int64(idleTimeout) {
			delete(c.snapshots, name)
		}
	}
	entry := c.snapshots[req.Snapshot]
	if entry == nil {
		items, epoch, number := present()
		header, err := NewHeader(items, epoch, number)
		if err != nil {
			return ReadResponse{}, apierror.Wrap(apierror.BodyTooLarge, err, "the snapshot can't be laid out")
		}
		if req.Snapshot != "" && req.Snapshot != header.String() {
			return ReadResponse{}, apierror.New(apierror.NotFound, "snapshot: %q is gone, %q stands", req.Snapshot, header)
		}
		if entry = c.snapshots[header.String()]; entry == nil {
			entry = &cachedSnapshot{header: header, items: items}
			c.add(entry)
		}
	}
	if req.FirstItem < 0 || req.FirstItem > len(entry.items) {
		return ReadResponse{}, apierror.New(apierror.Invalid, "from: %d of %d items", req.FirstItem, len(entry.items))
	}
	entry.lastUsedAt = now
	raw, next, done := EncodeChunk(entry.items, entry.header, req.FirstItem)
	return ReadResponse{Snapshot: entry.header.String(), Chunk: raw, NextItem: next, TotalItems: len(entry.items), Done: done}, nil
}

// add keeps a cut in the place of the one that was asked for longest ago.
func (c *Cache) add(entry *cachedSnapshot) {
	if c.snapshots == nil {
		c.snapshots = map[string]*cachedSnapshot{}
	}
	if len(c.snapshots) >= maxCached {
		oldest := ""
		for name, other := range c.snapshots {
			if oldest == "" || other.lastUsedAt < c.snapshots[oldest].lastUsedAt || other.lastUsedAt == c.snapshots[oldest].lastUsedAt && name < oldest {
				oldest = name
			}
		}
		delete(c.snapshots, oldest)
	}
	c.snapshots[entry.header.String()] = entry
}

// Upload takes one snapshot in that an operator restores. It is not safe for two goroutines.
type Upload struct {
	assembler   Assembler
	items       []config.Item
	lastChunkAt int64
	delivered   Header // the last one whose items were given
	inForce     bool   // and they are in force
}

// Finish notes what became of the items that were given, so that a last piece that is sent again is answered so. Of those that
// did not come into force all pieces are wanted again.
func (u *Upload) Finish(header Header, inForce bool) {
	if header != u.delivered {
		return
	}
	if u.inForce = inForce; !inForce {
		u.delivered = Header{}
	}
}

func (u *Upload) reset() { *u = Upload{delivered: u.delivered, inForce: u.inForce} }

// AddChunk takes a piece. The items and their head are given with the last one, once: the caller puts them in force, answers with
// done, and calls Ended, whatever became of it. A piece that doesn't follow is no error: the answer says where to go on. Another snapshot is refused
// as under way while one comes in, until nothing came of that for 30 s.
func (u *Upload) AddChunk(now int64, raw []byte) (resp RestoreResponse, items []config.Item, header Header, err error) {
	if now-u.lastChunkAt > int64(idleTimeout) {
		u.reset()
	}
	if _, started := u.assembler.Header(); !started {
		if header, _, _, _, err := decodeChunk(raw); err == nil && header == u.delivered { // again, of what was given
			return RestoreResponse{Snapshot: header.String(), ReceivedItems: header.Items, InForce: u.inForce}, nil, header, nil
		}
	}
	added, err := u.assembler.Add(raw)
	switch {
	case errors.Is(err, ErrOtherSnapshot):
		return resp, nil, header, apierror.Wrap(apierror.InProgress, err, "another restore is under way")
	case errors.Is(err, ErrChecksum):
		u.reset()
		return resp, nil, header, apierror.Wrap(apierror.Invalid, err, "chunk")
	case errors.Is(err, ErrGap):
	case err != nil:
		return resp, nil, header, apierror.Wrap(apierror.Invalid, err, "chunk")
	}
	header, started := u.assembler.Header()
	if !started { // the first piece is to come
		return resp, nil, header, nil
	}
	u.lastChunkAt = now
	u.items = append(u.items, added...)
	if resp = (RestoreResponse{Snapshot: header.String(), ReceivedItems: u.assembler.Received()}); u.assembler.Done() {
		items, u.delivered, u.inForce = u.items, header, false
		u.reset()
	}
	return resp, items, header, nil
}

// ValidateItem checks an item of a snapshot as control checks a change's: the error names the item, the field and the reason.
func ValidateItem(i config.Item) error {
	r := settings.NewReader(i.Tree())
	switch {
	case i.Kind == "" || i.Name == "":
		return fmt.Errorf("an item without a kind or a name")
	case i.Deleted:
		return nil
	case i.Kind == config.KindRoutes:
		config.ParseRoute(r)
	case i.Kind == config.KindServices:
		config.ParseService(r)
	case i.Kind == config.KindQuotas:
		config.ParseQuota(r)
	case i.Kind == config.KindLimits:
		config.ParseLimits(r)
	}
	if err := r.Err(); err != nil {
		return fmt.Errorf("%s %s: %w", i.Kind, i.Name, err)
	}
	return nil
}
