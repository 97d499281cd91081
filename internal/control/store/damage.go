package store

import "bytes"

// Damaged reports whether a journal has bad bytes in a record that was synced.
//
// Each write is synced before the next one begins, so that a power loss can only tear the last record: what is bad before another
// record was damaged later. Of the last record a power loss leaves the beginning, or sectors that were never written, which read as
// zeros; a record that is there to its end, and bad, was damaged too. What may be either is taken for damage, which costs a catch-up,
// unless the last byte is zero.
func Damaged(journal []byte) bool {
	scan := logScan{file: journal, isComplete: isCompleteBatch, minZeros: 1}
	return scan.damaged()
}

// manifestDamaged is Damaged for a manifest file, which has the same format and is synced as a journal is.
func manifestDamaged(file []byte) bool {
	scan := logScan{file: file, isComplete: isCompleteEdit, minZeros: minUnwritten}
	return scan.damaged()
}

// logScan looks for damage in a file of the log format.
type logScan struct {
	file       []byte
	isComplete func([]byte) bool // whether bytes are a record to its end, which its beginning is not
	minZeros   int               // zeros at the end of the file that are no part of a record

	record    []byte // the valid chunks of the record that is not at its end
	damagedAt int    // offset of the first bad byte, -1 if there is none
	torn      bool   // the bad bytes were never written
}

// damaged reads the file once.
func (s *logScan) damaged() bool {
	s.damagedAt = -1
	for start := 0; start < len(s.file); start += blockSize {
		if s.blockDamaged(start) {
			return true
		}
	}
	return s.endDamaged()
}

// blockDamaged reads the block at an offset. It reports whether a valid chunk follows on bad bytes that are no torn record.
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
		case len(block)-at < chunkHeaderSize && len(block) == blockSize: // the trailer of a block
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

// damagedBefore reports whether bad bytes before a valid chunk show damage. They don't if they were never written, and the chunk is
// a later one of the same record.
func (s *logScan) damagedBefore(chunk int, kind byte) bool {
	if s.damagedAt < 0 {
		return false
	}
	s.torn = s.torn || s.unwritten(s.damagedAt, chunk)
	return !s.torn || startsRecord(kind)
}

// endDamaged reports whether the bad bytes at the end of the file, if any, are damage and not a torn record.
func (s *logScan) endDamaged() bool {
	if s.damagedAt < 0 || s.torn || s.unwritten(s.damagedAt, len(s.file)) {
		return false
	}
	rest := s.file[s.damagedAt:]
	if len(rest) < chunkHeaderSize {
		return false
	}
	if chunkHeaderSize+dataLength(rest) <= len(rest) {
		return true // the chunk is there to its end
	}
	if s.damagedAt/blockSize != (len(s.file)-1)/blockSize {
		return true // it exceeds the end of its block
	}
	var record []byte
	if !startsRecord(rest[typeOffset]) {
		record = s.record
	}
	return s.isComplete(append(bytes.Clone(record), rest[chunkHeaderSize:]...))
}

const (
	sectorSize   = 512 // bytes that a disk writes completely or not at all
	minUnwritten = 8   // zeros that are no part of a number in a record
)

// unwritten reports whether a part of the bytes that lies in one sector is all zeros, or the file ends with enough of them.
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
