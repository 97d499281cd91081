package snapshot

import (
	"errors"
	"fmt"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/settings"
)

// Upload receives a snapshot that an operator restores, one snapshot at a time. The zero value is ready to use. It is not safe for
// concurrent use. Times are in nanoseconds; all must come from the same clock.
type Upload struct {
	assembler   Assembler
	items       []config.Item // received so far
	lastChunkAt int64         // when the last chunk of the snapshot was received
	delivered   Header        // header of the last snapshot whose items AddChunk returned; zeroed if it was not applied
	inForce     bool          // whether the snapshot of delivered was applied
}

// AddChunk adds an encoded chunk. With the last one it returns all items and the header, once; the caller then applies the items and
// calls Finish with the outcome. A chunk that does not follow the items received is not an error: the response has the index of the item to
// continue with. While a restore is in progress, a chunk of another snapshot is rejected with an error of kind InProgress; that ends
// when no chunk was received for idleTimeout.
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
		return resp, nil, header, apierror.Wrap(apierror.InProgress, err, "another restore is in progress")
	case errors.Is(err, ErrChecksum):
		u.reset()
		return resp, nil, header, apierror.Wrap(apierror.Invalid, err, "chunk")
	case errors.Is(err, ErrGap):
	case err != nil:
		return resp, nil, header, apierror.Wrap(apierror.Invalid, err, "chunk")
	}
	header, started := u.assembler.Header()
	if !started { // the first chunk is still missing
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

// wasDelivered reports whether raw is a retransmitted chunk of the snapshot whose items were returned last, and no other restore has
// started since. If so, it returns the header of that snapshot.
func (u *Upload) wasDelivered(raw []byte) (header Header, again bool) {
	if _, started := u.assembler.Header(); started {
		return Header{}, false
	}
	c, err := decodeChunk(raw)
	return c.header, err == nil && c.header == u.delivered
}

// Finish records whether the snapshot whose items AddChunk returned was applied. If it was, a retransmitted chunk gets a response that
// says so; if not, the snapshot has to be uploaded again from its first chunk.
func (u *Upload) Finish(header Header, inForce bool) {
	if header != u.delivered {
		return
	}
	u.inForce = inForce
	if !inForce {
		u.delivered = Header{}
	}
}

// reset discards the chunks received so far, but keeps the outcome of the last complete snapshot.
func (u *Upload) reset() { *u = Upload{delivered: u.delivered, inForce: u.inForce} }

// ValidateItem applies the checks that control applies to the items of a configuration change. The error names the item, and each
// invalid field with the reason. Deleted items and kinds other than routes, services, quotas and limits only need a kind and a name.
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
