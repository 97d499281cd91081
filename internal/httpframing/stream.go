package httpframing

import (
	"bytes"
	"strconv"
)

// Fields are how one request says that it is framed.
type Fields struct {
	Lengths, TransferEncodings int  // lines that state a length, and a transfer coding
	Lost                       bool // where it begins or ends can't be told
}

// Ambiguous tells whether it can be read in two ways: a length there twice, or beside chunks, or no beginning.
func (f Fields) Ambiguous() bool {
	return f.Lost || f.Lengths > 1 || f.TransferEncodings > 1 || f.Lengths > 0 && f.TransferEncodings > 0
}

// Stream follows all requests of a connection as their bytes come: those that stand behind another in the same packet too,
// which a look from one answer to the next does not see. It keeps one line, and the fields of heads that were not taken yet:
// as many as a reader's buffer holds.
type Stream struct {
	heads     []Fields
	current   Fields
	started   bool   // a line of the present head has come
	line      []byte // the beginning of the present line
	head      int    // bytes of the present head so far
	remaining int64  // bytes of a body, or of a chunk and its end, that are still to come
	state     parseState
}

type parseState uint8

const (
	inHead parseState = iota
	inBody
	inChunkSize // of a chunk
	inChunk
	inTrailer
	lost
)

const maxLineKept = 64 // bytes: the longest name, and a length

// Read takes the next bytes.
func (s *Stream) Read(b []byte) {
	for len(b) > 0 && s.state != lost {
		if s.state == inBody || s.state == inChunk {
			n := min(s.remaining, int64(len(b)))
			if b, s.remaining = b[n:], s.remaining-n; s.remaining > 0 {
				return
			}
			if s.state == inChunk {
				s.state = inChunkSize
			} else {
				s.state = inHead
			}
			continue
		}
		i := bytes.IndexByte(b, '\n')
		part := b
		if i >= 0 {
			part = b[:i]
		}
		s.line = append(s.line, part[:min(len(part), maxLineKept-len(s.line))]...)
		if s.state == inHead {
			s.head += len(part)
		}
		if i < 0 {
			return
		}
		b = b[i+1:]
		s.lineRead(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
	}
}

// lineRead takes a whole line, or its beginning where it is long.
func (s *Stream) lineRead(line []byte) {
	switch {
	case s.state == inChunkSize:
		n, ok := parseChunkSize(line)
		switch {
		case !ok:
			s.state = lost
		case n == 0:
			s.state = inTrailer
		default:
			s.state, s.remaining = inChunk, n+2
		}
	case s.state == inTrailer:
		if len(line) == 0 {
			s.state = inHead
		}
	case len(line) == 0 && !s.started: // empty lines before a request are none of it: the library passes over them behind a POST
	case len(line) > 0 && hasFieldName(line, contentLength):
		s.started = true
		s.current.Lengths++
		n, err := strconv.ParseUint(string(bytes.Trim(line[len(contentLength):], " \t")), 10, 62)
		if s.remaining = int64(n); err != nil {
			s.current.Lost = true
		}
	case len(line) > 0:
		if s.started = true; hasFieldName(line, transferEncoding) {
			s.current.TransferEncodings++
		}
	default: // the head's end
		s.heads = append(s.heads, s.current)
		switch {
		case s.current.Lost:
			s.state = lost
		case s.current.TransferEncodings > 0:
			s.state, s.remaining = inChunkSize, 0
		case s.remaining > 0:
			s.state = inBody
		}
		s.current, s.started, s.head = Fields{}, false, 0
	}
}

// Begun tells whether anything of a request that was not taken yet has come.
func (s *Stream) Begun() bool {
	return len(s.heads) > 0 || s.state == inHead && (s.started || len(s.line) > 0)
}

// Whole tells whether a whole head has come that was not taken yet.
func (s *Stream) Whole() bool { return len(s.heads) > 0 }

// Head is how many bytes of a head have come whose end has not.
func (s *Stream) Head() int { return s.head }

// parseChunkSize reads a chunk's size.
func parseChunkSize(line []byte) (n int64, ok bool) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	v, err := strconv.ParseUint(string(bytes.TrimRight(line, " \t")), 16, 62)
	return int64(v), err == nil
}

// Next is how the next request is framed, once its head has been read: Lost where it was not seen.
func (s *Stream) Next() Fields {
	if len(s.heads) == 0 {
		return Fields{Lost: true}
	}
	f := s.heads[0]
	s.heads = s.heads[:copy(s.heads, s.heads[1:])]
	return f
}
