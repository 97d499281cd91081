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
	Epoch, Index uint64            // epoch of the member list, and log index of the last change in the snapshot
	Items        int               // number of items
	Checksum     [sha256.Size]byte // SHA-256 of the encodings of the numbers above and all items
}

// String returns the name of the snapshot, which contains a prefix of the checksum. Snapshots with the same name have the same items.
func (h Header) String() string { return fmt.Sprintf("%d.%d.%x", h.Epoch, h.Index, h.Checksum[:8]) }

// OlderThan reports whether h has a lower epoch than o, or the same epoch and a lower index.
func (h Header) OlderThan(o Header) bool {
	return h.Epoch < o.Epoch || h.Epoch == o.Epoch && h.Index < o.Index
}

// NewHeader returns the header of a snapshot of items. It fails if the keys are not in strictly ascending order, as returned by Set.All,
// or a size limit is exceeded.
func NewHeader(items []config.Item, epoch, index uint64) (Header, error) {
	header := Header{Epoch: epoch, Index: index, Items: len(items)}
	if len(items) > MaxItems {
		return header, fmt.Errorf("%d items exceed the maximum of %d", len(items), MaxItems)
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
			return header, fmt.Errorf("%s %s: %d bytes exceed the maximum of %d", item.Kind, item.Name, len(encoded), maxItemBytes)
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

// newHash returns the hash for Checksum with the header's numbers written to it. The caller writes all encoded items.
func (h Header) newHash() hash.Hash {
	digest := sha256.New()
	digest.Write(h.appendNumbers(nil))
	return digest
}

// appendNumbers appends the encoding of the header without its checksum.
func (h Header) appendNumbers(b []byte) []byte {
	b = binary.AppendUvarint(b, h.Epoch)
	b = binary.AppendUvarint(b, h.Index)
	return binary.AppendUvarint(b, uint64(h.Items))
}

// isBefore reports whether a sorts before b in a snapshot: by kind, then by name.
func isBefore(a, b config.Key) bool {
	if c := strings.Compare(a.Kind, b.Kind); c != 0 {
		return c < 0
	}
	return a.Name < b.Name
}
