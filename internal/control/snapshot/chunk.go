// Package snapshot owns the form in which a complete configuration is transferred and stored: the items as of one epoch and index,
// in the order of their keys, in bounded chunks, each with a checksum, and one checksum of all items. A reader that has some of the
// chunks can get the rest from another process that holds the same items.
//
// The package does no input or output, reads no clock and starts no goroutine; it never decides whether a restored snapshot comes
// into force. Begin reading at Header and EncodeChunk; Cache serves snapshots, Assembler and Upload receive them.
package snapshot

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"portflow/internal/cluster/config"
)

const (
	// MaxItems is how many items a snapshot may have. A chunk that claims more is refused before memory is allocated for it.
	MaxItems = 1 << 20
	// MaxBytes is how many bytes all items together may have, encoded; 36,200 items take 9 MB.
	MaxBytes = 64 << 20
	// MaxChunkBytes is the maximum length of a chunk, in bytes.
	MaxChunkBytes = chunkBytes + maxItemBytes + 1<<10

	chunkBytes    = 64 << 10 // of encoded items, before compression; the last item may exceed it
	maxItemBytes  = 1 << 20  // of one encoded item
	checksumBytes = 4        // of the CRC-32C that ends a chunk
)

// magic begins each chunk.
var magic = []byte("pfsd1\n")

// IsChunk reports whether bytes begin as a chunk does.
func IsChunk(b []byte) bool { return bytes.HasPrefix(b, magic) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendItem appends an item, encoded.
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

// EncodeChunk returns the chunk of a snapshot that begins with the item at from, the index of the item that the next chunk begins
// with, and whether this is the last chunk. The header must be the one of the items. It allocates no more than one chunk.
func EncodeChunk(items []config.Item, header Header, from int) (raw []byte, next int, done bool) {
	from = max(0, min(from, len(items)))
	var encoded []byte
	for next = from; next < len(items) && len(encoded) < chunkBytes; next++ {
		encoded = appendItem(encoded, items[next])
	}
	raw = header.appendNumbers(bytes.Clone(magic))
	raw = append(raw, header.Checksum[:]...)
	for _, number := range []int{from, next - from, len(encoded)} {
		raw = binary.AppendUvarint(raw, uint64(number))
	}
	return appendChecksum(appendCompressed(raw, encoded)), next, next == len(items)
}

// appendCompressed appends data by DEFLATE (RFC 1951). Compressing into memory fails only by a wrong level.
func appendCompressed(raw, data []byte) []byte {
	buffer := bytes.NewBuffer(raw)
	w, err := flate.NewWriter(buffer, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data)
	_ = w.Close()
	return buffer.Bytes()
}

// appendChecksum appends the CRC-32C of the bytes before it.
func appendChecksum(raw []byte) []byte {
	return binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoli))
}

// decoder reads fields from bytes. After the first field that is invalid it reads zero values.
type decoder struct {
	rest    []byte
	problem string // with the first invalid field; "" if there is none
}

func (d *decoder) fail(problem string) {
	if d.problem == "" {
		d.problem = problem
		d.rest = nil
	}
}

// number reads a number of variable length, at most limit.
func (d *decoder) number(field string, limit uint64) uint64 {
	n, size := binary.Uvarint(d.rest)
	switch {
	case d.problem != "":
		return 0
	case size <= 0:
		d.fail(field + ": cut short")
		return 0
	case n > limit:
		d.fail(fmt.Sprintf("%s: %d, of at most %d", field, n, limit))
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

// bytes reads n bytes; they share memory with what is read.
func (d *decoder) bytes(field string, n int) []byte {
	if n > len(d.rest) {
		d.fail(field + ": cut short")
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

// text reads a text with its length before it.
func (d *decoder) text(field string) string {
	length := int(d.number(field, maxItemBytes))
	return string(d.bytes(field, length))
}

// item reads an item; it shares no memory with what is read.
func (d *decoder) item() config.Item {
	item := config.Item{
		Kind:    d.text("kind"),
		Name:    d.text("name"),
		Version: d.number("version", unlimited),
		Deleted: d.number("dropped", 1) == 1,
	}
	length := int(d.number("body", maxItemBytes))
	if length == 0 {
		return item
	}
	item.Body = bytes.Clone(d.bytes("body", length))
	if d.problem == "" && !json.Valid(item.Body) {
		d.fail("body: no JSON")
	}
	return item
}

const unlimited = ^uint64(0)

// chunk is a decoded chunk.
type chunk struct {
	header  Header
	first   int // index of the first item
	items   []config.Item
	encoded []byte // the items, encoded
}

// decodeChunk decodes a chunk. The items share no memory with raw.
func decodeChunk(raw []byte) (chunk, error) {
	decoded, err := decodeChecked(raw)
	if err != nil {
		return chunk{}, fmt.Errorf("snapshot: %w", err)
	}
	return decoded, nil
}

func decodeChecked(raw []byte) (c chunk, err error) {
	if len(raw) > MaxChunkBytes {
		return c, fmt.Errorf("a chunk of %d bytes, of at most %d", len(raw), MaxChunkBytes)
	}
	if len(raw) < len(magic)+checksumBytes || !IsChunk(raw) {
		return c, errors.New("these are other bytes")
	}
	body := raw[:len(raw)-checksumBytes]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(raw[len(body):]) {
		return c, errors.New("a chunk is spoilt")
	}
	dec := &decoder{rest: body[len(magic):]}
	c.header.Epoch = dec.number("epoch", unlimited)
	c.header.Index = dec.number("number", unlimited)
	c.header.Items = int(dec.number("items", MaxItems))
	copy(c.header.Checksum[:], dec.bytes("sum", len(c.header.Checksum)))
	c.first = int(dec.number("from", MaxItems))
	count := int(dec.number("count", MaxItems))
	length := int(dec.number("length", chunkBytes+maxItemBytes))
	if dec.problem != "" {
		return c, errors.New(dec.problem)
	}
	if c.first+count > c.header.Items || count == 0 && c.header.Items > 0 || count > length {
		return c, fmt.Errorf("%d items from %d on, of %d, in %d bytes", count, c.first, c.header.Items, length)
	}
	if c.encoded, err = decompress(dec.rest, length); err != nil {
		return c, err
	}
	c.items, err = decodeItems(c.encoded, c.first, count)
	return c, err
}

// decompress returns the data of a length that is compressed in all bytes of raw.
func decompress(raw []byte, length int) ([]byte, error) {
	compressed := bytes.NewReader(raw)
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(compressed), int64(length)+1))
	if err != nil {
		return nil, fmt.Errorf("the packed items are not %d bytes: %w", length, err)
	}
	if len(data) != length || compressed.Len() > 0 {
		return nil, fmt.Errorf("the packed items are not %d bytes: <nil>", length)
	}
	return data, nil
}

// decodeItems decodes the items of a chunk, the first of which is the snapshot's item at first.
func decodeItems(encoded []byte, first, count int) (items []config.Item, err error) {
	dec := &decoder{rest: encoded}
	for n := range count {
		item := dec.item()
		if dec.problem != "" {
			return nil, fmt.Errorf("item %d, %s %s: %s", first+n, item.Kind, item.Name, dec.problem)
		}
		items = append(items, item)
	}
	if len(dec.rest) > 0 {
		return nil, fmt.Errorf("%d bytes after the last item of a chunk", len(dec.rest))
	}
	return items, nil
}
