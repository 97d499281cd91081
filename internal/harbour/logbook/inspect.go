package logbook

import (
	"encoding/binary"
	"hash/crc32"
)

// The layout of a journal: blocks of 32 KB that hold chunks, each a checksum of four bytes, a length of two, a type and
// its bytes. A record is one whole chunk, or a first, some middle ones and a last one (the LevelDB log format).
const (
	block     = 32 << 10
	head      = 7
	wholeType = 1
	firstType = 2
	lastType  = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// chunk reads the chunk that begins b, and tells its type and its length with the head; 0 where none is whole there.
func chunk(b []byte) (kind byte, length int) {
	if len(b) < head {
		return 0, 0
	}
	n := int(binary.LittleEndian.Uint16(b[4:]))
	if kind = b[6]; kind < wholeType || kind > lastType || head+n > len(b) {
		return 0, 0
	}
	sum := crc32.Checksum(b[6:head+n], castagnoli)
	if binary.LittleEndian.Uint32(b) != (sum>>15|sum<<17)+0xa282ead8 {
		return 0, 0
	}
	return kind, head + n
}

// Spoilt tells whether a journal has bad bytes before a record that begins after them. Each write is synced before the next
// one begins, so that a loss of power can only tear the last record; what is bad before another was spoilt later, and
// records that were synced are missing.
func Spoilt(journal []byte) bool {
	bad := false
	for start := 0; start < len(journal); start += block {
		b := journal[start:min(start+block, len(journal))]
		for at := 0; at < len(b); {
			kind, n := chunk(b[at:])
			switch {
			case n > 0:
				if bad && kind <= firstType {
					return true
				}
				at += n
			case len(b)-at < head && len(b) == block: // the rest of a block that holds no chunk
				at = len(b)
			default: // each place may be where the next one begins
				bad = true
				at++
			}
		}
	}
	return false
}
