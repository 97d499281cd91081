// Package soundings lays a whole set of items out as a snapshot: the items as of one epoch and number, in the order of their
// keys, in chunks that are bounded, each checked by itself, with one sum over all. Who has taken some of the chunks goes on
// from there, also with another holder of the same set. It is pure.
package soundings

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

	"portflow/internal/harbour/manifest"
)

const (
	// MostItems is how many items a snapshot may have; a chunk that says more is refused before anything is made for it.
	MostItems = 1 << 20
	// MostBytes is how many bytes all items together may have, laid out: far over the 9 MB of 36,200 items.
	MostBytes = 64 << 20
	// MostChunk is how long a chunk may be, in bytes.
	MostChunk = chunkBytes + longestItem + 1<<10

	chunkBytes  = 64 << 10 // of items, before they are packed; one more item may go over it
	longestItem = 1 << 20  // bytes of one item
)

var magic = []byte("pfsd1\n")

// Begins tells whether bytes begin as a chunk does.
func Begins(b []byte) bool { return bytes.HasPrefix(b, magic) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The errors of those who take chunks; others say what is wrong with the bytes.
var (
	ErrOther = errors.New("a chunk of another snapshot")
	ErrGap   = errors.New("the chunk does not follow")
	ErrSum   = errors.New("the sum over all items is not the head's")
)

// Head says which set a snapshot is of.
type Head struct {
	Epoch, Number uint64 // of the core's members, and of the last change that is in it
	Items         int
	Sum           [sha256.Size]byte // over the head's numbers and all items
}

// String names the snapshot; two with one name hold the same.
func (h Head) String() string { return fmt.Sprintf("%d.%d.%x", h.Epoch, h.Number, h.Sum[:8]) }

// Before tells whether h is of an earlier state than o.
func (h Head) Before(o Head) bool {
	return h.Epoch < o.Epoch || h.Epoch == o.Epoch && h.Number < o.Number
}

// NewHead works the head of a cut out. The items must be in the order of their keys, as Set.All gives them, each once, and
// within the bounds.
func NewHead(items []manifest.Item, epoch, number uint64) (Head, error) {
	h := Head{Epoch: epoch, Number: number, Items: len(items)}
	if len(items) > MostItems {
		return h, fmt.Errorf("%d items, of at most %d", len(items), MostItems)
	}
	sum, all := h.begin(), 0
	var b []byte
	for at, i := range items {
		if at > 0 && !follows(items[at-1].Key(), i.Key()) {
			return h, fmt.Errorf("%s %s: out of order", i.Kind, i.Name)
		}
		if b = appendItem(b[:0], i); len(b) > longestItem {
			return h, fmt.Errorf("%s %s: %d bytes, of at most %d", i.Kind, i.Name, len(b), longestItem)
		}
		if all += len(b); all > MostBytes {
			return h, fmt.Errorf("more than %d bytes of items", MostBytes)
		}
		sum.Write(b)
	}
	sum.Sum(h.Sum[:0])
	return h, nil
}

func (h Head) begin() hash.Hash {
	sum := sha256.New()
	sum.Write(h.numbers(nil))
	return sum
}

func (h Head) numbers(b []byte) []byte {
	b = binary.AppendUvarint(b, h.Epoch)
	b = binary.AppendUvarint(b, h.Number)
	return binary.AppendUvarint(b, uint64(h.Items))
}

func follows(a, b manifest.Key) bool {
	if c := strings.Compare(a.Kind, b.Kind); c != 0 {
		return c < 0
	}
	return a.Name < b.Name
}

func appendItem(b []byte, i manifest.Item) []byte {
	for _, text := range []string{i.Kind, i.Name} {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	b = binary.AppendUvarint(b, i.Version)
	if i.Dropped {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	b = binary.AppendUvarint(b, uint64(len(i.Body)))
	return append(b, i.Body...)
}

// Chunk is the part of a cut that begins with the item at from: the bytes, where the next one begins, and whether it was the
// last. The head must be the cut's. It makes one chunk's bytes and no more.
func Chunk(items []manifest.Item, head Head, from int) (raw []byte, next int, done bool) {
	from = max(0, min(from, len(items)))
	var laid []byte
	for next = from; next < len(items) && len(laid) < chunkBytes; next++ {
		laid = appendItem(laid, items[next])
	}
	raw = head.numbers(append([]byte(nil), magic...))
	raw = append(raw, head.Sum[:]...)
	for _, n := range []int{from, next - from, len(laid)} {
		raw = binary.AppendUvarint(raw, uint64(n))
	}
	packed := bytes.NewBuffer(raw)
	w, _ := flate.NewWriter(packed, flate.BestSpeed)
	w.Write(laid)
	w.Close()
	return appendSum(packed.Bytes()), next, next == len(items)
}

func appendSum(raw []byte) []byte {
	return binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoli))
}

// reader takes fields off bytes; after the first that is missing there is nothing more.
type reader struct {
	b   []byte
	bad string
}

func (r *reader) fail(what string) {
	if r.bad == "" {
		r.bad, r.b = what, nil
	}
}

func (r *reader) number(what string, most uint64) uint64 {
	n, size := binary.Uvarint(r.b)
	switch {
	case r.bad != "":
		return 0
	case size <= 0:
		r.fail(what + ": cut short")
		return 0
	case n > most:
		r.fail(fmt.Sprintf("%s: %d, of at most %d", what, n, most))
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) bytes(what string, n int) []byte {
	if n > len(r.b) {
		r.fail(what + ": cut short")
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

const anything = ^uint64(0)

// read reads a chunk: whose it is, where it begins, its items, and they as they were laid out. The items share no bytes with
// what was read.
func read(raw []byte) (h Head, from int, items []manifest.Item, laid []byte, err error) {
	fail := func(format string, args ...any) (Head, int, []manifest.Item, []byte, error) {
		return Head{}, 0, nil, nil, fmt.Errorf("snapshot: "+format, args...)
	}
	if len(raw) > MostChunk {
		return fail("a chunk of %d bytes, of at most %d", len(raw), MostChunk)
	}
	if len(raw) < len(magic)+4 || !bytes.Equal(raw[:len(magic)], magic) {
		return fail("these are other bytes")
	}
	body := raw[:len(raw)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(raw[len(body):]) {
		return fail("a chunk is spoilt")
	}
	r := &reader{b: body[len(magic):]}
	h.Epoch, h.Number = r.number("epoch", anything), r.number("number", anything)
	h.Items = int(r.number("items", MostItems))
	copy(h.Sum[:], r.bytes("sum", len(h.Sum)))
	from = int(r.number("from", MostItems))
	count := int(r.number("count", MostItems))
	long := int(r.number("length", chunkBytes+longestItem))
	if r.bad != "" {
		return fail("%s", r.bad)
	}
	if from+count > h.Items || count == 0 && h.Items > 0 || count > long {
		return fail("%d items from %d on, of %d, in %d bytes", count, from, h.Items, long)
	}
	packed := bytes.NewReader(r.b)
	laid, err = io.ReadAll(io.LimitReader(flate.NewReader(packed), int64(long)+1))
	if err != nil || len(laid) != long || packed.Len() > 0 {
		return fail("the packed items are not %d bytes: %v", long, err)
	}
	r.b = laid
	for at := range count {
		i := manifest.Item{Kind: string(r.bytes("kind", int(r.number("kind", longestItem)))),
			Name: string(r.bytes("name", int(r.number("name", longestItem)))), Version: r.number("version", anything),
			Dropped: r.number("dropped", 1) == 1}
		if n := int(r.number("body", longestItem)); n > 0 {
			i.Body = bytes.Clone(r.bytes("body", n))
			if r.bad == "" && !json.Valid(i.Body) {
				r.fail("body: no JSON")
			}
		}
		if r.bad != "" {
			return fail("item %d, %s %s: %s", from+at, i.Kind, i.Name, r.bad)
		}
		items = append(items, i)
	}
	if len(r.b) > 0 {
		return fail("%d bytes after the last item of a chunk", len(r.b))
	}
	return h, from, items, laid, nil
}

// Gather takes a snapshot's chunks in their order and tells when they are all there and right. It holds one sum, no items.
// The zero value begins with whatever snapshot its first chunk is of.
type Gather struct {
	head  Head
	begun bool
	have  int
	bytes int
	last  manifest.Key
	sum   hash.Hash
	done  bool
}

// Head says which snapshot it is, once a chunk was taken.
func (g *Gather) Head() (h Head, begun bool) { return g.head, g.begun }

// Have is how many items were taken: the next chunk begins there.
func (g *Gather) Have() int { return g.have }

// Done tells whether all items were taken, and their sum is the head's.
func (g *Gather) Done() bool { return g.done }

// Take takes a chunk and gives its items, in their order; none of one that was taken before. After an error nothing has
// changed, and the right chunk may follow; but nothing may be made of the items before Done.
func (g *Gather) Take(raw []byte) ([]manifest.Item, error) {
	h, from, items, laid, err := read(raw)
	switch {
	case err != nil:
		return nil, err
	case g.begun && h != g.head:
		return nil, fmt.Errorf("%w: %v, not %v", ErrOther, h, g.head)
	case g.begun && from+len(items) <= g.have && (g.done || from < g.have):
		return nil, nil
	case from != g.have:
		return nil, fmt.Errorf("%w: it begins with item %d, %d are there", ErrGap, from, g.have)
	case g.bytes+len(laid) > MostBytes:
		return nil, fmt.Errorf("snapshot: more than %d bytes of items", MostBytes)
	}
	last := g.last
	for at, i := range items {
		if (g.have > 0 || at > 0) && !follows(last, i.Key()) {
			return nil, fmt.Errorf("snapshot: item %d, %s %s: out of order", from+at, i.Kind, i.Name)
		}
		last = i.Key()
	}
	sum := h.begin()
	if g.begun {
		if sum, err = clone(g.sum); err != nil {
			return nil, err
		}
	}
	sum.Write(laid)
	if from+len(items) == h.Items && !bytes.Equal(sum.Sum(nil), h.Sum[:]) {
		return nil, ErrSum
	}
	g.head, g.begun, g.sum, g.last = h, true, sum, last
	g.have += len(items)
	g.bytes += len(laid)
	g.done = g.have == h.Items
	return items, nil
}

// clone is a sum that goes on by itself, so that a chunk that is refused leaves nothing in the other.
func clone(sum hash.Hash) (hash.Hash, error) {
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
