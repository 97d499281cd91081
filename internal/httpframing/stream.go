package httpframing

import (
	"bytes"
	"strconv"
)

// Fields is how a request states its framing.
type Fields struct {
	Lengths, TransferEncodings int  // Content-Length and Transfer-Encoding lines
	Lost                       bool // it is not known where the request begins or ends
}

// Ambiguous says whether the request can be read in two ways: with two lengths, with a length beside chunks, or without a
// known beginning or end.
func (f Fields) Ambiguous() bool {
	return f.Lost || f.Lengths > 1 || f.TransferEncodings > 1 || f.Lengths > 0 && f.TransferEncodings > 0
}

// Stream follows all requests of a connection as their bytes come, also those that follow another in the same packet, which a
// look from one answer to the next does not see. It keeps the beginning of one line, and the Fields of heads until Next takes
// them: as many as fit in a reader's buffer.
type Stream struct {
	heads     []Fields // of complete heads
	current   Fields   // of the present head
	started   bool     // a line of the present head has come
	line      []byte   // the beginning of the present line
	head      int      // bytes of the present head so far
	remaining int64    // bytes to come of a body, or of a chunk with its line end
	state     parseState
}

type parseState uint8

const (
	inHead parseState = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	lost
)

const (
	maxLineKept   = 64 // bytes of a line: the longest name, and a length
	chunkLineEnd  = 2  // bytes after a chunk
	maxLengthBits = 62 // of lengths that are read
)

// Read takes the next bytes of the connection.
func (s *Stream) Read(b []byte) {
	for len(b) > 0 && s.state != lost {
		if s.state == inBody || s.state == inChunk {
			b = s.skipBody(b)
		} else {
			b = s.readLine(b)
		}
	}
}

// skipBody passes over bytes of a body or of a chunk, and returns the rest.
func (s *Stream) skipBody(b []byte) []byte {
	n := min(s.remaining, int64(len(b)))
	s.remaining -= n
	if s.remaining == 0 {
		s.bodyRead()
	}
	return b[n:]
}

func (s *Stream) bodyRead() {
	if s.state == inChunk {
		s.state = inChunkSize
	} else {
		s.state = inHead
	}
}

// readLine takes bytes up to the end of a line, and returns the rest.
func (s *Stream) readLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	s.line = append(s.line, part[:min(len(part), maxLineKept-len(s.line))]...)
	if s.state == inHead {
		s.head += len(part)
	}
	if end < 0 {
		return nil
	}
	s.lineRead(bytes.TrimSuffix(s.line, []byte("\r")))
	s.line = s.line[:0]
	return b[end+1:]
}

// lineRead takes a complete line, or the beginning of a long one.
func (s *Stream) lineRead(line []byte) {
	switch s.state {
	case inChunkSize:
		s.chunkSizeRead(line)
	case inTrailer:
		if len(line) == 0 {
			s.state = inHead
		}
	default:
		s.headLineRead(line)
	}
}

func (s *Stream) chunkSizeRead(line []byte) {
	n, ok := parseChunkSize(line)
	switch {
	case !ok:
		s.state = lost
	case n == 0:
		s.state = inTrailer
	default:
		s.state = inChunk
		s.remaining = n + chunkLineEnd
	}
}

func (s *Stream) headLineRead(line []byte) {
	if len(line) == 0 {
		if s.started { // empty lines before a request belong to none: net/http skips them after a POST
			s.headRead()
		}
		return
	}
	s.started = true
	switch {
	case hasFieldName(line, contentLength):
		s.current.Lengths++
		n, err := strconv.ParseUint(string(bytes.Trim(line[len(contentLength):], " \t")), 10, maxLengthBits)
		s.remaining = int64(n)
		if err != nil {
			s.current.Lost = true
		}
	case hasFieldName(line, transferEncoding):
		s.current.TransferEncodings++
	}
}

// headRead ends the present head.
func (s *Stream) headRead() {
	s.heads = append(s.heads, s.current)
	switch {
	case s.current.Lost:
		s.state = lost
	case s.current.TransferEncodings > 0:
		s.state = inChunkSize
		s.remaining = 0
	case s.remaining > 0:
		s.state = inBody
	}
	s.current = Fields{}
	s.started = false
	s.head = 0
}

// parseChunkSize reads a chunk's size, which extensions may follow.
func parseChunkSize(line []byte) (n int64, ok bool) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	size, err := strconv.ParseUint(string(bytes.TrimRight(line, " \t")), 16, maxLengthBits)
	return int64(size), err == nil
}

// Begun says whether anything has come of a request that Next has not taken.
func (s *Stream) Begun() bool {
	return len(s.heads) > 0 || s.state == inHead && (s.started || len(s.line) > 0)
}

// Whole says whether a complete head has come that Next has not taken.
func (s *Stream) Whole() bool { return len(s.heads) > 0 }

// Head returns the number of bytes that have come of a head whose end has not.
func (s *Stream) Head() int { return s.head }

// Next returns how the next request is framed, once its head has been read. It is Lost if the Stream has not seen the head.
func (s *Stream) Next() Fields {
	if len(s.heads) == 0 {
		return Fields{Lost: true}
	}
	next := s.heads[0]
	s.heads = s.heads[:copy(s.heads, s.heads[1:])]
	return next
}
