package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"strings"

	"portflow/internal/cluster/config"
)

// Header identifies a snapshot.
type Header struct {
	Epoch, Index uint64 // of the voting members, and of the last change that is in it
	Items        int
	Checksum     [sha256.Size]byte // SHA-256 of the numbers above and all items, encoded
}

// String returns the name of the snapshot. Two snapshots of one name hold the same items.
func (h Header) String() string { return fmt.Sprintf("%d.%d.%x", h.Epoch, h.Index, h.Checksum[:8]) }

// OlderThan reports whether h is of an earlier state than o.
func (h Header) OlderThan(o Header) bool {
	return h.Epoch < o.Epoch || h.Epoch == o.Epoch && h.Index < o.Index
}

// NewHeader returns the header of a snapshot of items. The items must be in the order of their keys, as Set.All returns them, each
// once, and within the bounds; an error names the item.
func NewHeader(items []config.Item, epoch, index uint64) (Header, error) {
	header := Header{Epoch: epoch, Index: index, Items: len(items)}
	if len(items) > MaxItems {
		return header, fmt.Errorf("%d items, of at most %d", len(items), MaxItems)
	}
	digest := header.newHash()
	total := 0
	var encoded []byte
	for n, item := range items {
		if n > 0 && !isBefore(items[n-1].Key(), item.Key()) {
			return header, fmt.Errorf("%s %s: out of order", item.Kind, item.Name)
		}
		encoded = appendItem(encoded[:0], item)
		if len(encoded) > maxItemBytes {
			return header, fmt.Errorf("%s %s: %d bytes, of at most %d", item.Kind, item.Name, len(encoded), maxItemBytes)
		}
		total += len(encoded)
		if total > MaxBytes {
			return header, fmt.Errorf("more than %d bytes of items", MaxBytes)
		}
		digest.Write(encoded)
	}
	digest.Sum(header.Checksum[:0])
	return header, nil
}

// newHash returns a hash that has the header's numbers; all items, encoded, are to be added.
func (h Header) newHash() hash.Hash {
	digest := sha256.New()
	digest.Write(h.appendNumbers(nil))
	return digest
}

// appendNumbers appends the header without its checksum, encoded.
func (h Header) appendNumbers(b []byte) []byte {
	b = binary.AppendUvarint(b, h.Epoch)
	b = binary.AppendUvarint(b, h.Index)
	return binary.AppendUvarint(b, uint64(h.Items))
}

// isBefore reports whether a key comes before another in a snapshot: by kind, then by name.
func isBefore(a, b config.Key) bool {
	if c := strings.Compare(a.Kind, b.Kind); c != 0 {
		return c < 0
	}
	return a.Name < b.Name
}
