package httpframing

import (
	"bytes"
	"strconv"
)

// Fields describes the framing of a request, as stated in its header.
type Fields struct {
	Lengths, TransferEncodings int  // number of Content-Length and Transfer-Encoding lines
	Lost                       bool // the start or the end of the request is unknown
}

// Ambiguous reports whether recipients may disagree about the end of the request: it has several Content-Length or
// Transfer-Encoding lines, or both fields, or is Lost.
func (f Fields) Ambiguous() bool {
	return f.Lost || f.Lengths > 1 || f.TransferEncodings > 1 || f.Lengths > 0 && f.TransferEncodings > 0
}

// Stream tracks the framing of all requests on a connection as they are received, including pipelined ones. It keeps the
// start of one line, and the Fields of each complete header until Next returns them. Their number is bounded by the requests
// that fit into the buffer of the connection's reader. The zero value is ready for use.
type Stream struct {
	headers     []Fields // complete headers that Next has not returned yet, oldest first
	current     Fields   // of the incomplete header
	started     bool     // a line of the incomplete header has been read
	line        []byte   // start of the current line, limited to maxLineKept
	headerBytes int      // bytes of the incomplete header and of empty lines before it, not counting line feeds
	remaining   int64    // unread bytes of the body, or of the chunk and the line break after it
	state       parseState
}

type parseState uint8

const (
	inHeader parseState = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	lost
)

const (
	maxLineKept   = 64 // bytes; enough for the longer field name and for a length
	chunkLineEnd  = 2  // bytes of the CRLF after a chunk
	maxLengthBits = 62 // so that a chunk size plus chunkLineEnd fits into an int64
)

// Read processes the next bytes received on the connection. It does not retain b, and ignores all bytes once the framing
// is lost.
func (s *Stream) Read(b []byte) {
	for len(b) > 0 && s.state != lost {
		if s.state == inBody || s.state == inChunk {
			b = s.skipBody(b)
		} else {
			b = s.readLine(b)
		}
	}
}

// skipBody skips bytes of a body or a chunk and returns the rest.
func (s *Stream) skipBody(b []byte) []byte {
	n := min(s.remaining, int64(len(b)))
	s.remaining -= n
	if s.remaining == 0 {
		s.endBody()
	}
	return b[n:]
}

func (s *Stream) endBody() {
	if s.state == inChunk {
		s.state = inChunkSize
	} else {
		s.state = inHeader
	}
}

// readLine processes bytes up to the end of a line and returns the rest.
func (s *Stream) readLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	content := b
	if end >= 0 {
		content = b[:end]
	}
	s.line = append(s.line, content[:min(len(content), maxLineKept-len(s.line))]...)
	if s.state == inHeader {
		s.headerBytes += len(content)
	}
	if end < 0 {
		return nil
	}
	s.processLine(bytes.TrimSuffix(s.line, []byte("\r")))
	s.line = s.line[:0]
	return b[end+1:]
}

// processLine processes a complete line, of which only the first maxLineKept bytes are given.
func (s *Stream) processLine(line []byte) {
	switch s.state {
	case inChunkSize:
		s.processChunkSize(line)
	case inTrailer:
		if len(line) == 0 {
			s.state = inHeader
		}
	default:
		s.processHeaderLine(line)
	}
}

func (s *Stream) processChunkSize(line []byte) {
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

func (s *Stream) processHeaderLine(line []byte) {
	if len(line) == 0 {
		if s.started { // ignore empty lines before a request line, as net/http does after a POST
			s.endHeader()
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

// endHeader completes the current header and prepares for what follows it.
func (s *Stream) endHeader() {
	s.headers = append(s.headers, s.current)
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
	s.headerBytes = 0
}

// parseChunkSize parses the size in a chunk's first line, ignoring chunk extensions.
func parseChunkSize(line []byte) (n int64, ok bool) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	size, err := strconv.ParseUint(string(bytes.TrimRight(line, " \t")), 16, maxLengthBits)
	return int64(size), err == nil
}

// Begun reports whether any part of a request's header has been received that Next has not returned yet.
func (s *Stream) Begun() bool {
	return len(s.headers) > 0 || s.state == inHeader && (s.started || len(s.line) > 0)
}

// HeaderComplete reports whether a complete header has been received that Next has not returned yet.
func (s *Stream) HeaderComplete() bool { return len(s.headers) > 0 }

// PendingHeaderBytes returns the number of bytes received of an incomplete header and of empty lines before it, not counting
// line feeds.
func (s *Stream) PendingHeaderBytes() int { return s.headerBytes }

// Next returns the Fields of the next request and removes them. It must be called once per request, after its header has
// been read. It returns Lost if the Stream has found no such header.
func (s *Stream) Next() Fields {
	if len(s.headers) == 0 {
		return Fields{Lost: true}
	}
	next := s.headers[0]
	s.headers = s.headers[:copy(s.headers, s.headers[1:])]
	return next
}
