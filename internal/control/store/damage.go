package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// The layout of a journal: blocks of 32 KB that hold chunks, each a checksum of four bytes, a length of two, a type and
// its bytes. A record is one whole chunk, or a first, some middle ones and a last one (the LevelDB log format).
const (
	blockSize       = 32 << 10
	chunkHeaderSize = 7
	fullType        = 1
	firstType       = 2
	lastType        = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// readChunk reads the chunk that begins b, and tells its type and its length with the head; 0 where none is whole there.
func readChunk(b []byte) (kind byte, length int) {
	if len(b) < chunkHeaderSize {
		return 0, 0
	}
	n := int(binary.LittleEndian.Uint16(b[4:]))
	if kind = b[6]; kind < fullType || kind > lastType || chunkHeaderSize+n > len(b) {
		return 0, 0
	}
	sum := crc32.Checksum(b[6:chunkHeaderSize+n], castagnoli)
	if binary.LittleEndian.Uint32(b) != (sum>>15|sum<<17)+0xa282ead8 {
		return 0, 0
	}
	return kind, chunkHeaderSize + n
}

// Damaged tells whether a journal has bad bytes in a record that was synced. Each write is synced before the next one begins,
// so that a loss of power can only tear the last record: what is bad before another was spoilt later. Of the last record a
// loss of power leaves the beginning, or sectors that were never written, which read as zeros; one that is there to its end,
// and bad, was spoilt too. What looks like both is taken for spoilt, which costs a catching up, unless the last byte is zero.
func Damaged(journal []byte) bool { return damaged(journal, isCompleteBatch, 1) }

// manifestDamaged does it for the list of the store's tables, which has the same layout and is synced as a journal is.
func manifestDamaged(list []byte) bool { return damaged(list, isCompleteEdit, minUnwritten) }

// damaged does it for any file of that layout; complete tells whether bytes are a record to its end, which its beginning
// isn't; tail is how many zeros at the file's end are none of a record's own.
func damaged(file []byte, complete func([]byte) bool, minZeros int) bool {
	var record []byte // what is good of the one that goes on
	damagedAt := -1   // where bad bytes began
	torn := false     // they were never written
	for start := 0; start < len(file); start += blockSize {
		block := file[start:min(start+blockSize, len(file))]
		for at := 0; at < len(block); {
			kind, length := readChunk(block[at:])
			switch {
			case length > 0:
				if damagedAt >= 0 {
					if torn = torn || unwritten(file, damagedAt, start+at, minZeros); !torn || kind <= firstType {
						return true
					}
				}
				if kind <= firstType {
					record = record[:0]
				}
				record = append(record, block[at+chunkHeaderSize:at+length]...)
				at += length
			case len(block)-at < chunkHeaderSize && len(block) == blockSize: // the rest of a block that holds no chunk
				at = len(block)
			default: // each place may be where the next one begins
				if damagedAt < 0 {
					damagedAt = start + at
				}
				at++
			}
		}
	}
	if damagedAt < 0 || torn || unwritten(file, damagedAt, len(file), minZeros) || len(file)-damagedAt < chunkHeaderSize {
		return false
	}
	end := damagedAt + chunkHeaderSize + int(binary.LittleEndian.Uint16(file[damagedAt+4:]))
	if end <= len(file) || damagedAt/blockSize != (len(file)-1)/blockSize {
		return true // it is there to its end, or runs over the end of a block
	}
	if file[damagedAt+6] <= firstType {
		record = nil
	}
	return complete(append(record[:len(record):len(record)], file[damagedAt+chunkHeaderSize:]...))
}

const (
	sectorSize   = 512 // bytes that a disk writes whole or not at all
	minUnwritten = 8   // zeros that are no part of a number in a record
)

// unwritten tells whether a part of the bytes that lies in one sector is all zeros, or the file ends with so many.
func unwritten(file []byte, start, end, minZeros int) bool {
	zeros := func(b []byte) bool { return len(bytes.Trim(b, "\x00")) == 0 }
	for at := start; at < end; {
		next := min(end, at-at%sectorSize+sectorSize)
		if next-at >= minUnwritten && zeros(file[at:next]) {
			return true
		}
		at = next
	}
	return end == len(file) && end-start >= minZeros && zeros(file[end-minZeros:])
}

// isCompleteBatch tells whether bytes are a batch of writes to its end: a number of eight bytes, how many there are in four, and
// each: its kind, the length of its key, the key, and but for a deletion the length of the value and the value.
func isCompleteBatch(b []byte) bool {
	if len(b) < 12 {
		return false
	}
	count := binary.LittleEndian.Uint32(b[8:])
	b = b[12:]
	field := func() bool {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > uint64(len(b)-size) {
			return false
		}
		b = b[size+int(n):]
		return true
	}
	for ; count > 0; count-- {
		if len(b) == 0 {
			return false
		}
		put := b[0] == 1
		if b = b[1:]; !field() || put && !field() {
			return false
		}
	}
	return true
}

// isCompleteEdit tells whether bytes are a change of the list of tables to its end: fields, each a number that says what it is, and
// its parts: n for a number, b for bytes with their length before them.
func isCompleteEdit(b []byte) bool {
	fields := map[uint64]string{1: "b", 2: "n", 3: "n", 4: "n", 5: "nb", 6: "nn", 7: "nnnbb", 9: "n"}
	number := func() (n uint64, ok bool) {
		n, size := binary.Uvarint(b)
		if size <= 0 {
			return 0, false
		}
		b = b[size:]
		return n, true
	}
	if len(b) == 0 {
		return false
	}
	for len(b) > 0 {
		tag, ok := number()
		parts, known := fields[tag]
		if !ok || !known {
			return false
		}
		for _, p := range parts {
			n, ok := number()
			if !ok || p == 'b' && n > uint64(len(b)) {
				return false
			}
			if p == 'b' {
				b = b[n:]
			}
		}
	}
	return true
}
