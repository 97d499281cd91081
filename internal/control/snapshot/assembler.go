package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding"
	"errors"
	"fmt"
	"hash"

	"portflow/internal/cluster/config"
)

// Errors of Assembler.Add for a valid chunk that can't be added. All other errors mean that the chunk is invalid, its items are out of
// order, or the snapshot exceeds MaxBytes.
var (
	ErrOtherSnapshot = errors.New("the chunk belongs to another snapshot")
	ErrGap           = errors.New("the chunk does not follow the items received")
	ErrChecksum      = errors.New("the checksum of all items does not match the header")
)

// Assembler verifies the chunks of one snapshot, which must be added in order. It does not keep the items. The zero value is ready to
// use and accepts the snapshot that its first chunk belongs to. It is not safe for concurrent use.
type Assembler struct {
	header   Header
	started  bool
	received int // number of items received
	bytes    int // encoded size of the items received
	lastKey  config.Key
	digest   hash.Hash // SHA-256 of the header's numbers and the items received
	done     bool
}

// Header returns the header of the snapshot. It is the zero value until the first chunk was added; started is false until then.
func (a *Assembler) Header() (header Header, started bool) { return a.header, a.started }

// Received returns the number of items received, which is also the index of the first item of the next chunk.
func (a *Assembler) Received() int { return a.received }

// Done reports whether all items were received and their checksum matches the header.
func (a *Assembler) Done() bool { return a.done }

// Add verifies an encoded chunk and returns its items in key order, or no items if the chunk was added before. On error the Assembler is
// unchanged, and the correct chunk can still be added. The items must not be used until Done reports true.
func (a *Assembler) Add(raw []byte) ([]config.Item, error) {
	c, err := decodeChunk(raw)
	if err != nil {
		return nil, err
	}
	end := c.first + len(c.items)
	switch {
	case a.started && c.header != a.header:
		return nil, fmt.Errorf("%w: %v, not %v", ErrOtherSnapshot, c.header, a.header)
	case a.started && end <= a.received && (a.done || c.first < a.received):
		return nil, nil
	case c.first != a.received:
		return nil, fmt.Errorf("%w: it begins with item %d, want item %d", ErrGap, c.first, a.received)
	case a.bytes+len(c.encoded) > MaxBytes:
		return nil, fmt.Errorf("snapshot: more than %d bytes of items", MaxBytes)
	}
	lastKey, err := a.checkOrder(c)
	if err != nil {
		return nil, err
	}
	digest, err := a.extendDigest(c)
	if err != nil {
		return nil, err
	}
	if end == c.header.Items && !bytes.Equal(digest.Sum(nil), c.header.Checksum[:]) {
		return nil, ErrChecksum
	}
	a.header = c.header
	a.started = true
	a.digest = digest
	a.lastKey = lastKey
	a.received += len(c.items)
	a.bytes += len(c.encoded)
	a.done = a.received == c.header.Items
	return c.items, nil
}

// checkOrder checks that the keys of the next chunk continue in ascending order, and returns the last key.
func (a *Assembler) checkOrder(c chunk) (lastKey config.Key, err error) {
	lastKey = a.lastKey
	for n, i := range c.items {
		if (a.received > 0 || n > 0) && !isBefore(lastKey, i.Key()) {
			return lastKey, fmt.Errorf("snapshot: item %d, %s %s: out of order", c.first+n, i.Kind, i.Name)
		}
		lastKey = i.Key()
	}
	return lastKey, nil
}

// extendDigest returns the digest extended by the items of the next chunk. It leaves a.digest unchanged, as Add may still reject the
// chunk.
func (a *Assembler) extendDigest(c chunk) (hash.Hash, error) {
	digest := c.header.newHash()
	if a.started {
		var err error
		if digest, err = cloneHash(a.digest); err != nil {
			return nil, err
		}
	}
	digest.Write(c.encoded)
	return digest, nil
}

// cloneHash returns an independent copy of a SHA-256 hash.
func cloneHash(digest hash.Hash) (hash.Hash, error) {
	state, err := digest.(encoding.BinaryMarshaler).MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	next := sha256.New()
	if err := next.(encoding.BinaryUnmarshaler).UnmarshalBinary(state); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return next, nil
}
