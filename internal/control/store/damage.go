package store

import "bytes"

// Damaged reports whether a journal is corrupted, as opposed to ending in a torn write.
//
// Each record is fsynced before the next one is written, so a power loss can tear only the last record. Invalid bytes before a later
// record are therefore corruption. A torn record either is cut short or has sectors that were never written and read as zeros; a last
// record that is present to its end but invalid is corrupted too. Ambiguous cases count as corruption, which costs a catch-up from
// other control processes, unless the last byte of the journal is zero.
func Damaged(journal []byte) bool {
	scan := logScan{file: journal, isComplete: isCompleteBatch, minZeros: 1}
	return scan.damaged()
}

// versionLogDamaged is like Damaged for a manifest file, which has the same format and whose records are also fsynced one by one.
func versionLogDamaged(file []byte) bool {
	scan := logScan{file: file, isComplete: isCompleteEdit, minZeros: minUnwritten}
	return scan.damaged()
}

// logScan checks a file of the LevelDB log format for corruption.
type logScan struct {
	file       []byte
	isComplete func([]byte) bool // reports whether the bytes contain an entire record; false for a truncated one
	minZeros   int               // minimum number of zeros at the end of the file that count as never written

	record    []byte // data of the current record, from the valid chunks read so far
	damagedAt int    // offset of the first invalid byte, -1 if none was found
	torn      bool   // some of the invalid bytes were never written
}

// damaged scans the file once, block by block.
func (s *logScan) damaged() bool {
	s.damagedAt = -1
	for start := 0; start < len(s.file); start += blockSize {
		if s.blockDamaged(start) {
			return true
		}
	}
	return s.endDamaged()
}

// blockDamaged scans the block at offset start. It reports whether a valid chunk follows invalid bytes that a torn write does not
// explain.
func (s *logScan) blockDamaged(start int) bool {
	block := s.file[start:min(start+blockSize, len(s.file))]
	for at := 0; at < len(block); {
		kind, length := readChunk(block[at:])
		switch {
		case length > 0:
			if s.damagedBefore(start+at, kind) {
				return true
			}
			if startsRecord(kind) {
				s.record = s.record[:0]
			}
			s.record = append(s.record, block[at+chunkHeaderSize:at+length]...)
			at += length
		case len(block)-at < chunkHeaderSize && len(block) == blockSize: // block trailer
			at = len(block)
		default: // the next chunk may begin at any byte
			if s.damagedAt < 0 {
				s.damagedAt = start + at
			}
			at++
		}
	}
	return false
}

// damagedBefore reports whether the invalid bytes before the valid chunk at offset chunk are corruption. They are not if some of them
// were never written and the chunk continues a record: then the last write is torn in its middle.
func (s *logScan) damagedBefore(chunk int, kind byte) bool {
	if s.damagedAt < 0 {
		return false
	}
	s.torn = s.torn || s.unwritten(s.damagedAt, chunk)
	return !s.torn || startsRecord(kind)
}

// endDamaged reports whether the invalid bytes at the end of the file, if any, are corruption rather than a torn record.
func (s *logScan) endDamaged() bool {
	if s.damagedAt < 0 || s.torn || s.unwritten(s.damagedAt, len(s.file)) {
		return false
	}
	rest := s.file[s.damagedAt:]
	if len(rest) < chunkHeaderSize {
		return false
	}
	if chunkHeaderSize+dataLength(rest) <= len(rest) {
		return true // the entire chunk is present
	}
	if s.damagedAt/blockSize != (len(s.file)-1)/blockSize {
		return true // its length extends past the end of its block
	}
	var record []byte
	if !startsRecord(rest[typeOffset]) {
		record = s.record
	}
	return s.isComplete(append(bytes.Clone(record), rest[chunkHeaderSize:]...))
}

const (
	sectorSize   = 512 // bytes that a disk writes atomically
	minUnwritten = 8   // minimum number of zero bytes that count as never written; no number in a record has as many
)

// unwritten reports whether some of the bytes from start to end were apparently never written: either the part of the range in one sector
// has at least minUnwritten bytes, all zero, or the range extends to the end of the file and ends with at least minZeros zeros.
func (s *logScan) unwritten(start, end int) bool {
	for at := start; at < end; {
		next := min(end, at-at%sectorSize+sectorSize)
		if next-at >= minUnwritten && isZero(s.file[at:next]) {
			return true
		}
		at = next
	}
	return end == len(s.file) && end-start >= s.minZeros && isZero(s.file[end-s.minZeros:])
}

func isZero(b []byte) bool { return len(bytes.Trim(b, "\x00")) == 0 }
