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

// The errors of Assembler.Add for a valid chunk that doesn't fit; other errors say what is wrong with its bytes.
var (
	ErrOtherSnapshot = errors.New("a chunk of another snapshot")
	ErrGap           = errors.New("the chunk does not follow")
	ErrChecksum      = errors.New("the sum over all items is not the head's")
)

// Assembler receives the chunks of a snapshot in their order and checks them. It holds no items. The zero value receives the
// snapshot that its first chunk is of. It is not safe for concurrent use.
type Assembler struct {
	header   Header
	started  bool
	received int // items
	bytes    int // of these items, encoded
	lastKey  config.Key
	digest   hash.Hash // of the header's numbers and the items received
	done     bool
}

// Header returns the header of the snapshot, and whether a chunk was received.
func (a *Assembler) Header() (header Header, started bool) { return a.header, a.started }

// Received returns how many items were received: the next chunk begins with the item of this index.
func (a *Assembler) Received() int { return a.received }

// Done reports whether all items were received and have the checksum of the header.
func (a *Assembler) Done() bool { return a.done }

// Add receives a chunk and returns its items in their order; none for a chunk that was received before. After an error nothing has
// changed, and the right chunk may follow. The items must not be used before Done.
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
		return nil, fmt.Errorf("%w: it begins with item %d, %d are there", ErrGap, c.first, a.received)
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

// checkOrder checks that the items of the next chunk follow in the order of keys, and returns the last key.
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

// extendDigest returns the digest with the items of the next chunk. It doesn't change the assembler's own, as the chunk may be
// refused.
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

// cloneHash returns a copy of a SHA-256 that goes on by itself.
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
