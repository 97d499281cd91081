// Package snapshot implements the format in which a complete configuration is transferred and stored: the items as of one epoch and
// index, in key order, split into chunks of limited size. Each chunk has a checksum, and the header has one of all items. A reader that
// has some of the chunks can get the rest from another process that has the same items.
//
// The package does no I/O, reads no clock and starts no goroutine; it does not decide whether a restored snapshot is applied. Start
// reading at Header and EncodeChunk. Cache serves snapshots; Assembler and Upload receive them.
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
	// MaxItems is the maximum number of items in a snapshot. A chunk that claims more is rejected before memory is allocated for it.
	MaxItems = 1 << 20
	// MaxBytes is the maximum size of all encoded items together, before compression; 36,200 items take 9 MB.
	MaxBytes = 64 << 20
	// MaxChunkBytes is the maximum size of an encoded chunk.
	MaxChunkBytes = chunkBytes + maxItemBytes + 1<<10

	chunkBytes    = 64 << 10 // a chunk ends with the item that reaches this encoded size, before compression
	maxItemBytes  = 1 << 20  // maximum size of one encoded item
	checksumBytes = 4        // size of the CRC-32C at the end of a chunk
)

// magic is the prefix of each chunk.
var magic = []byte("pfsd1\n")

// IsChunk reports whether b begins like an encoded chunk. It verifies nothing else.
func IsChunk(b []byte) bool { return bytes.HasPrefix(b, magic) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendItem appends the encoding of an item: the length-prefixed kind and name, the version, the deletion flag and the length-prefixed
// body, with uvarints for numbers and lengths.
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

// EncodeChunk encodes the chunk that begins with the item at index from. next is the index of the first item of the next chunk; done
// reports whether this chunk is the last. items must be all items of the snapshot, and header the result of NewHeader for them.
// EncodeChunk needs memory for one chunk only.
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

// appendCompressed appends data compressed with DEFLATE (RFC 1951). Writing to memory can't fail, and NewWriter fails only for an invalid level.
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

// decoder reads consecutive fields. After the first invalid field it returns zero values only.
type decoder struct {
	rest    []byte
	problem string // describes the first invalid field; "" if there is none
}

func (d *decoder) fail(problem string) {
	if d.problem == "" {
		d.problem = problem
		d.rest = nil
	}
}

// number reads a uvarint of at most limit.
func (d *decoder) number(field string, limit uint64) uint64 {
	n, size := binary.Uvarint(d.rest)
	switch {
	case d.problem != "":
		return 0
	case size <= 0:
		d.fail(field + ": truncated data")
		return 0
	case n > limit:
		d.fail(fmt.Sprintf("%s: %d exceeds the maximum of %d", field, n, limit))
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

// bytes reads n bytes. The result is a subslice of the decoder's input.
func (d *decoder) bytes(field string, n int) []byte {
	if n > len(d.rest) {
		d.fail(field + ": truncated data")
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

// text reads a length-prefixed string.
func (d *decoder) text(field string) string {
	length := int(d.number(field, maxItemBytes))
	return string(d.bytes(field, length))
}

// item reads an item, which shares no memory with the decoder's input.
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
		d.fail("body: invalid JSON")
	}
	return item
}

const unlimited = ^uint64(0)

// chunk is a decoded chunk.
type chunk struct {
	header  Header
	first   int // index of the first item within the snapshot
	items   []config.Item
	encoded []byte // the items as encoded, decompressed
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
		return c, fmt.Errorf("a chunk of %d bytes exceeds the maximum of %d", len(raw), MaxChunkBytes)
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
		return c, fmt.Errorf("invalid range: %d items from item %d, in a snapshot of %d items, in %d bytes", count, c.first, c.header.Items, length)
	}
	if c.encoded, err = decompress(dec.rest, length); err != nil {
		return c, err
	}
	c.items, err = decodeItems(c.encoded, c.first, count)
	return c, err
}

// decompress decompresses raw. It fails unless the result has exactly length bytes and the compressed data ends where raw ends.
func decompress(raw []byte, length int) ([]byte, error) {
	compressed := bytes.NewReader(raw)
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(compressed), int64(length)+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing the items to %d bytes: %w", length, err)
	}
	if len(data) != length || compressed.Len() > 0 {
		return nil, fmt.Errorf("the compressed items don't decompress to exactly %d bytes", length)
	}
	return data, nil
}

// decodeItems decodes count items, which must fill encoded. first is the index of the first one within the snapshot, for errors.
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
		return nil, fmt.Errorf("%d trailing bytes after the last item of a chunk", len(dec.rest))
	}
	return items, nil
}
