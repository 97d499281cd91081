package snapshot

import (
	"errors"
	"fmt"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/settings"
)

// Upload receives one snapshot that an operator restores. It is not safe for concurrent use. Times are nanoseconds of one clock.
type Upload struct {
	assembler   Assembler
	items       []config.Item
	lastChunkAt int64
	delivered   Header // of the last snapshot whose items were returned
	inForce     bool   // whether these came into force
}

// AddChunk receives a chunk. With the last one it returns all items and the header, once: the caller has them come into force, and
// calls Finish with the outcome. A chunk that doesn't follow is no error: the response says which item to go on with. A chunk of
// another snapshot is refused by an error of kind InProgress, until no chunk has come for 30 s.
func (u *Upload) AddChunk(now int64, raw []byte) (resp RestoreResponse, items []config.Item, header Header, err error) {
	if now-u.lastChunkAt > int64(idleTimeout) {
		u.reset()
	}
	if header, again := u.wasDelivered(raw); again {
		resp = RestoreResponse{Snapshot: header.String(), ReceivedItems: header.Items, InForce: u.inForce}
		return resp, nil, header, nil
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
	if !started { // the first chunk has not come yet
		return resp, nil, header, nil
	}
	u.lastChunkAt = now
	u.items = append(u.items, added...)
	resp = RestoreResponse{Snapshot: header.String(), ReceivedItems: u.assembler.Received()}
	if u.assembler.Done() {
		items = u.items
		u.delivered = header
		u.inForce = false
		u.reset()
	}
	return resp, items, header, nil
}

// wasDelivered reports whether a chunk is sent again, of the snapshot whose items were returned, and none of another has begun.
func (u *Upload) wasDelivered(raw []byte) (header Header, again bool) {
	if _, started := u.assembler.Header(); started {
		return Header{}, false
	}
	c, err := decodeChunk(raw)
	return c.header, err == nil && c.header == u.delivered
}

// Finish notes the outcome of a snapshot whose items were returned. If it came into force, a last chunk that is sent again is answered
// so; if it did not, all its chunks are expected again.
func (u *Upload) Finish(header Header, inForce bool) {
	if header != u.delivered {
		return
	}
	u.inForce = inForce
	if !inForce {
		u.delivered = Header{}
	}
}

// reset forgets the chunks that were received.
func (u *Upload) reset() { *u = Upload{delivered: u.delivered, inForce: u.inForce} }

// ValidateItem checks an item of a snapshot as control checks the items of a change. The error names the item, the field and the
// reason.
func ValidateItem(i config.Item) error {
	r := settings.NewReader(i.Tree())
	switch {
	case i.Kind == "" || i.Name == "":
		return errors.New("an item without a kind or a name")
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
