package store

import (
	"encoding/binary"
	"hash/crc32"
)

// The LevelDB log format (doc/log_format.md of LevelDB), used by each journal and manifest file. A file consists of 32 KB blocks of chunks.
// A chunk has a masked CRC-32C (4 bytes), the length of its data (2 bytes), a type (1 byte) and the data. A record is either one full
// chunk, or a first chunk, any number of middle chunks and a last chunk.
const (
	blockSize       = 32 << 10
	chunkHeaderSize = 7
	lengthOffset    = 4
	typeOffset      = 6
	fullType        = 1
	firstType       = 2
	lastType        = 4
	crcMaskDelta    = 0xa282ead8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// maskCRC returns a checksum in its stored form. LevelDB masks CRCs because the CRC of data that embeds CRCs is weak.
func maskCRC(sum uint32) uint32 { return (sum>>15 | sum<<17) + crcMaskDelta }

// readChunk returns the type of the chunk at the beginning of b and its length including the header. Both are 0 if the chunk is invalid.
func readChunk(b []byte) (kind byte, length int) {
	if len(b) < chunkHeaderSize {
		return 0, 0
	}
	kind = b[typeOffset]
	length = chunkHeaderSize + dataLength(b)
	if kind < fullType || kind > lastType || length > len(b) {
		return 0, 0
	}
	sum := crc32.Checksum(b[typeOffset:length], castagnoli)
	if binary.LittleEndian.Uint32(b) != maskCRC(sum) {
		return 0, 0
	}
	return kind, length
}

// dataLength returns the length of the data according to the chunk's header.
func dataLength(chunk []byte) int {
	return int(binary.LittleEndian.Uint16(chunk[lengthOffset:]))
}

// startsRecord reports whether a chunk of this type is the first one of a record.
func startsRecord(kind byte) bool { return kind <= firstType }

// fieldReader reads consecutive fields of a record.
type fieldReader struct{ rest []byte }

// number reads a uvarint.
func (r *fieldReader) number() (n uint64, ok bool) {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		return 0, false
	}
	r.rest = r.rest[size:]
	return n, true
}

// skipBytes skips a length-prefixed byte string. It returns false if the string is incomplete.
func (r *fieldReader) skipBytes() bool {
	n, ok := r.number()
	if !ok || n > uint64(len(r.rest)) {
		return false
	}
	r.rest = r.rest[n:]
	return true
}

// A journal record is a batch of writes: a sequence number (8 bytes), the number of writes (4 bytes), and for each write its kind
// (1 byte), the length-prefixed key and, for a put, the length-prefixed value.
const (
	batchHeaderSize  = 12
	batchCountOffset = 8
	batchKindPut     = 1
)

// isCompleteBatch reports whether b begins with an entire batch.
func isCompleteBatch(b []byte) bool {
	if len(b) < batchHeaderSize {
		return false
	}
	count := binary.LittleEndian.Uint32(b[batchCountOffset:])
	r := fieldReader{rest: b[batchHeaderSize:]}
	for ; count > 0; count-- {
		if len(r.rest) == 0 {
			return false
		}
		kind := r.rest[0]
		r.rest = r.rest[1:]
		if !r.skipBytes() {
			return false
		}
		if kind == batchKindPut && !r.skipBytes() {
			return false
		}
	}
	return true
}

// editFields describes the fields of a version edit, the record of a manifest file (LevelDB's db/version_edit.cc), by tag. Each letter is
// one component of the field: n is a uvarint, b a length-prefixed byte string.
var editFields = map[uint64]string{
	1: "b",     // comparator
	2: "n",     // journal
	3: "n",     // next file
	4: "n",     // last sequence number
	5: "nb",    // compaction pointer: level, key
	6: "nn",    // deleted table: level, file
	7: "nnnbb", // new table: level, file, size, smallest key, largest key
	9: "n",     // previous journal
}

// isCompleteEdit reports whether b is an entire version edit without trailing bytes.
func isCompleteEdit(b []byte) bool {
	if len(b) == 0 {
		return false
	}
	r := fieldReader{rest: b}
	for len(r.rest) > 0 {
		tag, ok := r.number()
		parts, known := editFields[tag]
		if !ok || !known {
			return false
		}
		for _, part := range parts {
			if part == 'b' {
				ok = r.skipBytes()
			} else {
				_, ok = r.number()
			}
			if !ok {
				return false
			}
		}
	}
	return true
}
