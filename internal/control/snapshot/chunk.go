// Package snapshot lays a whole set of items out as a snapshot: the items as of one epoch and number, in the order of their
// keys, in chunks that are bounded, each checked by itself, with one sum over all. Who has taken some of the chunks goes on
// from there, also with another holder of the same set. It is pure.
package snapshot

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"strings"

	"portflow/internal/cluster/config"
)

const (
	// MaxItems is how many items a snapshot may have; a chunk that says more is refused before anything is made for it.
	MaxItems = 1 << 20
	// MaxBytes is how many bytes all items together may have, laid out: far over the 9 MB of 36,200 items.
	MaxBytes = 64 << 20
	// MaxChunkBytes is how long a chunk may be, in bytes.
	MaxChunkBytes = chunkBytes + maxItemBytes + 1<<10

	chunkBytes   = 64 << 10 // of items, before they are packed; one more item may go over it
	maxItemBytes = 1 << 20  // bytes of one item
)

var magic = []byte("pfsd1\n")

// IsChunk tells whether bytes begin as a chunk does.
func IsChunk(b []byte) bool { return bytes.HasPrefix(b, magic) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The errors of those who take chunks; others say what is wrong with the bytes.
var (
	ErrOtherSnapshot = errors.New("a chunk of another snapshot")
	ErrGap           = errors.New("the chunk does not follow")
	ErrChecksum      = errors.New("the sum over all items is not the head's")
)

// Header says which set a snapshot is of.
type Header struct {
	Epoch, Index uint64 // of the core's members, and of the last change that is in it
	Items        int
	Checksum     [sha256.Size]byte // over the head's numbers and all items
}

// String names the snapshot; two with one name hold the same.
func (h Header) String() string { return fmt.Sprintf("%d.%d.%x", h.Epoch, h.Index, h.Checksum[:8]) }

// OlderThan tells whether h is of an earlier state than o.
func (h Header) OlderThan(o Header) bool {
	return h.Epoch < o.Epoch || h.Epoch == o.Epoch && h.Index < o.Index
}

// NewHeader works the head of a cut out. The items must be in the order of their keys, as Set.All gives them, each once, and
// within the bounds.
func NewHeader(items []config.Item, epoch, index uint64) (Header, error) {
	header := Header{Epoch: epoch, Index: index, Items: len(items)}
	if len(items) > MaxItems {
		return header, fmt.Errorf("%d items, of at most %d", len(items), MaxItems)
	}
	digest, total := header.newHash(), 0
	var buf []byte
	for n, item := range items {
		if n > 0 && !isBefore(items[n-1].Key(), item.Key()) {
			return header, fmt.Errorf("%s %s: out of order", item.Kind, item.Name)
		}
		if buf = appendItem(buf[:0], item); len(buf) > maxItemBytes {
			return header, fmt.Errorf("%s %s: %d bytes, of at most %d", item.Kind, item.Name, len(buf), maxItemBytes)
		}
		if total += len(buf); total > MaxBytes {
			return header, fmt.Errorf("more than %d bytes of items", MaxBytes)
		}
		digest.Write(buf)
	}
	digest.Sum(header.Checksum[:0])
	return header, nil
}

func (h Header) newHash() hash.Hash {
	sum := sha256.New()
	sum.Write(h.appendNumbers(nil))
	return sum
}

func (h Header) appendNumbers(b []byte) []byte {
	b = binary.AppendUvarint(b, h.Epoch)
	b = binary.AppendUvarint(b, h.Index)
	return binary.AppendUvarint(b, uint64(h.Items))
}

func isBefore(a, b config.Key) bool {
	if c := strings.Compare(a.Kind, b.Kind); c != 0 {
		return c < 0
	}
	return a.Name < b.Name
}

func appendItem(b []byte, i config.Item) []byte {
	for _, text := range []string{i.Kind, i.Name} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	b = binary.AppendUvarint(b, i.Version)
	if i.Deleted {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	b = binary.AppendUvarint(b, uint64(len(i.Body)))
	return append(b, i.Body...)
}

// EncodeChunk is the part of a cut that begins with the item at from: the bytes, where the next one begins, and whether it was the
// last. The head must be the cut's. It makes one chunk's bytes and no more.
func EncodeChunk(items []config.Item, header Header, from int) (raw []byte, next int, done bool) {
	from = max(0, min(from, len(items)))
	var encoded []byte
	for next = from; next < len(items) && len(encoded) < chunkBytes; next++ {
		encoded = appendItem(encoded, items[next])
	}
	raw = header.appendNumbers(append([]byte(nil), magic...))
	raw = append(raw, header.Checksum[:]...)
	for _, n := range []int{from, next - from, len(encoded)} {
		raw = binary.AppendUvarint(raw, uint64(n))
	}
	packed := bytes.NewBuffer(raw)
	w, _ := flate.NewWriter(packed, flate.BestSpeed)
	w.Write(encoded)
	w.Close()
	return appendChecksum(packed.Bytes()), next, next == len(items)
}

func appendChecksum(raw []byte) []byte {
	return binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoli))
}

// decoder takes fields off bytes; after the first that is missing there is nothing more.
type decoder struct {
	rest    []byte
	problem string
}

func (d *decoder) fail(what string) {
	if d.problem == "" {
		d.problem, d.rest = what, nil
	}
}

func (d *decoder) number(what string, limit uint64) uint64 {
	n, size := binary.Uvarint(d.rest)
	switch {
	case d.problem != "":
		return 0
	case size <= 0:
		d.fail(what + ": cut short")
		return 0
	case n > limit:
		d.fail(fmt.Sprintf("%s: %d, of at most %d", what, n, limit))
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) bytes(what string, n int) []byte {
	if n > len(d.rest) {
		d.fail(what + ": cut short")
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

const unlimited = ^uint64(0)

// decodeChunk reads a chunk: whose it is, where it begins, its items, and they as they were laid out. The items share no bytes with
// what was read.
func decodeChunk(raw []byte) (header Header, first int, items []config.Item, encoded []byte, err error) {
	fail := func(format string, args ...any) (Header, int, []config.Item, []byte, error) {
		return Header{}, 0, nil, nil, fmt.Errorf("snapshot: "+format, args...)
	}
	if len(raw) > MaxChunkBytes {
		return fail("a chunk of %d bytes, of at most %d", len(raw), MaxChunkBytes)
	}
	if len(raw) < len(magic)+4 || !bytes.Equal(raw[:len(magic)], magic) {
		return fail("these are other bytes")
	}
	body := raw[:len(raw)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(raw[len(body):]) {
		return fail("a chunk is spoilt")
	}
	dec := &decoder{rest: body[len(magic):]}
	header.Epoch, header.Index = dec.number("epoch", unlimited), dec.number("number", unlimited)
	header.Items = int(dec.number("items", MaxItems))
	copy(header.Checksum[:], dec.bytes("sum", len(header.Checksum)))
	first = int(dec.number("from", MaxItems))
	count := int(dec.number("count", MaxItems))
	length := int(dec.number("length", chunkBytes+maxItemBytes))
	if dec.problem != "" {
		return fail("%s", dec.problem)
	}
	if first+count > header.Items || count == 0 && header.Items > 0 || count > length {
		return fail("%d items from %d on, of %d, in %d bytes", count, first, header.Items, length)
	}
	packed := bytes.NewReader(dec.rest)
	encoded, err = io.ReadAll(io.LimitReader(flate.NewReader(packed), int64(length)+1))
	if err != nil || len(encoded) != length || packed.Len() > 0 {
		return fail("the packed items are not %d bytes: %v", length, err)
	}
	dec.rest = encoded
	for pos := range count {
		item := config.Item{Kind: string(dec.bytes("kind", int(dec.number("kind", maxItemBytes)))),
			Name: string(dec.bytes("name", int(dec.number("name", maxItemBytes)))), Version: dec.number("version", unlimited),
			Deleted: dec.number("dropped", 1) == 1}
		if n := int(dec.number("body", maxItemBytes)); n > 0 {
			item.Body = bytes.Clone(dec.bytes("body", n))
			if dec.problem == "" && !json.Valid(item.Body) {
				dec.fail("body: no JSON")
			}
		}
		if dec.problem != "" {
			return fail("item %d, %s %s: %s", first+pos, item.Kind, item.Name, dec.problem)
		}
		items = append(items, item)
	}
	if len(dec.rest) > 0 {
		return fail("%d bytes after the last item of a chunk", len(dec.rest))
	}
	return header, first, items, encoded, nil
}

// Assembler takes a snapshot's chunks in their order and tells when they are all there and right. It holds one sum, no items.
// The zero value begins with whatever snapshot its first chunk is of.
type Assembler struct {
	header   Header
	started  bool
	received int
	bytes    int
	lastKey  config.Key
	digest   hash.Hash
	done     bool
}

// Header says which snapshot it is, once a chunk was taken.
func (a *Assembler) Header() (h Header, begun bool) { return a.header, a.started }

// Received is how many items were taken: the next chunk begins there.
func (a *Assembler) Received() int { return a.received }

// Done tells whether all items were taken, and their sum is the head's.
func (a *Assembler) Done() bool { return a.done }

// Add takes a chunk and gives its items, in their order; none of one that was taken before. After an error nothing has
// changed, and the right chunk may follow; but nothing may be made of the items before Done.
func (a *Assembler) Add(raw []byte) ([]config.Item, error) {
	header, first, items, encoded, err := decodeChunk(raw)
	switch {
	case err != nil:
		return nil, err
	case a.started && header != a.header:
		return nil, fmt.Errorf("%w: %v, not %v", ErrOtherSnapshot, header, a.header)
	case a.started && first+len(items) <= a.received && (a.done || first < a.received):
		return nil, nil
	case first != a.received:
		return nil, fmt.Errorf("%w: it begins with item %d, %d are there", ErrGap, first, a.received)
	case a.bytes+len(encoded) > MaxBytes:
		return nil, fmt.Errorf("snapshot: more than %d bytes of items", MaxBytes)
	}
	lastKey := a.lastKey
	for n, i := range items {
		if (a.received > 0 || n > 0) && !isBefore(lastKey, i.Key()) {
			return nil, fmt.Errorf("snapshot: item %d, %s %s: out of order", first+n, i.Kind, i.Name)
		}
		lastKey = i.Key()
	}
	sum := header.newHash()
	if a.started {
		if sum, err = cloneHash(a.digest); err != nil {
			return nil, err
		}
	}
	sum.Write(encoded)
	if first+len(items) == header.Items && !bytes.Equal(sum.Sum(nil), header.Checksum[:]) {
		return nil, ErrChecksum
	}
	a.header, a.started, a.digest, a.lastKey = header, true, sum, lastKey
	a.received += len(items)
	a.bytes += len(encoded)
	a.done = a.received == header.Items
	return items, nil
}

// cloneHash is a sum that goes on by itself, so that a chunk that is refused leaves nothing in the other.
func cloneHash(sum hash.Hash) (hash.Hash, error) {
	state, err := sum.(encoding.BinaryMarshaler).MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	next := sha256.New()
	if err := next.(encoding.BinaryUnmarshaler).UnmarshalBinary(state); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return next, nil
}
