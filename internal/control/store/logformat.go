package store

import (
	"encoding/binary"
	"hash/crc32"
)

// The LevelDB log format (doc/log_format.md of LevelDB), which a journal and a manifest file have: blocks of 32 KB that hold chunks, each a
// masked CRC-32C of four bytes, a length of two bytes, a type and the data. A record is one full chunk, or a first, any number of
// middle ones and a last one.
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

// maskCRC returns a checksum as it is stored: LevelDB masks it, as the CRC of data that holds its own CRC is a poor one.
func maskCRC(sum uint32) uint32 { return (sum>>15 | sum<<17) + crcMaskDelta }

// readChunk returns the type of the chunk at the beginning of b, and its length with the header; 0 if there is no valid chunk.
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

// dataLength returns the length of a chunk's data, by its header.
func dataLength(chunk []byte) int {
	return int(binary.LittleEndian.Uint16(chunk[lengthOffset:]))
}

// startsRecord reports whether a chunk of a type is the first one of a record.
func startsRecord(kind byte) bool { return kind <= firstType }

// fieldReader reads the fields of a record.
type fieldReader struct{ rest []byte }

// number reads a number of variable length.
func (r *fieldReader) number() (n uint64, ok bool) {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		return 0, false
	}
	r.rest = r.rest[size:]
	return n, true
}

// skipBytes reads bytes with their length before them.
func (r *fieldReader) skipBytes() bool {
	n, ok := r.number()
	if !ok || n > uint64(len(r.rest)) {
		return false
	}
	r.rest = r.rest[n:]
	return true
}

// The format of a batch of writes, which is a record of a journal: a sequence number of eight bytes, a count of four, and for each
// write its kind, the length of the key, the key, and unless it is a deletion the length of the value and the value.
const (
	batchHeaderSize  = 12
	batchCountOffset = 8
	batchKindPut     = 1
)

// isCompleteBatch reports whether b has all bytes of a batch; more bytes may follow.
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

// editFields are the fields of a version edit, which is a record of a manifest file, by their tags. Each has its parts: n for a number, b
// for bytes with their length before them (LevelDB's db/version_edit.cc).
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

// isCompleteEdit reports whether b is a version edit and nothing more.
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
