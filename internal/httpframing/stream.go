package httpframing

import (
	"bytes"
	"strconv"
)

// Fields are how one request says that it is framed.
type Fields struct {
	Lengths, Codings int  // lines that state a length, and a transfer coding
	Lost             bool // where it begins or ends can't be told
}

// Doubtful tells whether it can be read in two ways: a length there twice, or beside chunks, or no beginning.
func (f Fields) Doubtful() bool {
	return f.Lost || f.Lengths > 1 || f.Codings > 1 || f.Lengths > 0 && f.Codings > 0
}

// Stream follows all requests of a connection as their bytes come: those that stand behind another in the same packet too,
// which a look from one answer to the next does not see. It keeps one line, and the fields of heads that were not taken yet:
// as many as a reader's buffer holds.
type Stream struct {
	heads []Fields
	is    Fields
	begun bool   // a line of the present head has come
	line  []byte // the beginning of the present line
	head  int    // bytes of the present head so far
	body  int64  // bytes of a body, or of a chunk and its end, that are still to come
	where place
}

type place uint8

const (
	inHead place = iota
	inBody
	inSize // of a chunk
	inChunk
	inTrailer
	lost
)

const lineKept = 64 // bytes: the longest name, and a length

// Read takes the next bytes.
func (s *Stream) Read(b []byte) {
	for len(b) > 0 && s.where != lost {
		if s.where == inBody || s.where == inChunk {
			n := min(s.body, int64(len(b)))
			if b, s.body = b[n:], s.body-n; s.body > 0 {
				return
			}
			if s.where == inChunk {
				s.where = inSize
			} else {
				s.where = inHead
			}
			continue
		}
		i := bytes.IndexByte(b, '\n')
		part := b
		if i >= 0 {
			part = b[:i]
		}
		s.line = append(s.line, part[:min(len(part), lineKept-len(s.line))]...)
		if s.where == inHead {
			s.head += len(part)
		}
		if i < 0 {
			return
		}
		b = b[i+1:]
		s.end(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
	}
}

// end takes a whole line, or its beginning where it is long.
func (s *Stream) end(line []byte) {
	switch {
	case s.where == inSize:
		n, ok := chunk(line)
		switch {
		case !ok:
			s.where = lost
		case n == 0:
			s.where = inTrailer
		default:
			s.where, s.body = inChunk, n+2
		}
	case s.where == inTrailer:
		if len(line) == 0 {
			s.where = inHead
		}
	case len(line) == 0 && !s.begun: // empty lines before a request are none of it: the library passes over them behind a POST
	case len(line) > 0 && states(line, length):
		s.begun = true
		s.is.Lengths++
		n, err := strconv.ParseUint(string(bytes.Trim(line[len(length):], " \t")), 10, 62)
		if s.body = int64(n); err != nil {
			s.is.Lost = true
		}
	case len(line) > 0:
		if s.begun = true; states(line, coding) {
			s.is.Codings++
		}
	default: // the head's end
		s.heads = append(s.heads, s.is)
		switch {
		case s.is.Lost:
			s.where = lost
		case s.is.Codings > 0:
			s.where, s.body = inSize, 0
		case s.body > 0:
			s.where = inBody
		}
		s.is, s.begun, s.head = Fields{}, false, 0
	}
}

// Begun tells whether anything of a request that was not taken yet has come.
func (s *Stream) Begun() bool {
	return len(s.heads) > 0 || s.where == inHead && (s.begun || len(s.line) > 0)
}

// Whole tells whether a whole head has come that was not taken yet.
func (s *Stream) Whole() bool { return len(s.heads) > 0 }

// Head is how many bytes of a head have come whose end has not.
func (s *Stream) Head() int { return s.head }

// chunk reads a chunk's size.
func chunk(line []byte) (n int64, ok bool) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	v, err := strconv.ParseUint(string(bytes.TrimRight(line, " \t")), 16, 62)
	return int64(v), err == nil
}

// Take is how the next request is framed, once its head has been read: Lost where it was not seen.
func (s *Stream) Take() Fields {
	if len(s.heads) == 0 {
		return Fields{Lost: true}
	}
	f := s.heads[0]
	s.heads = s.heads[:copy(s.heads, s.heads[1:])]
	return f
}
