// Package httpframing follows how requests are framed (RFC 9112, section 6) as their bytes come, beside net/http, which does not say
// all of it to a handler. It reads no connection and rejects nothing: its users pass the bytes in, and decide. Begin reading at
// Stream; Head is for connections with one request.
package httpframing

import "bytes"

// Head finds the end of a request's head as its bytes come, and counts the fields that frame its body.
type Head struct {
	Started           bool // the first byte has come; set by users
	Lengths           int  // Content-Length lines
	TransferEncodings int  // Transfer-Encoding lines
	BodyBytes         int  // bytes after the head

	done bool
	line []byte // the beginning of the present line, up to the length of transferEncoding
}

// The fields that frame a body, in lower case.
var (
	contentLength    = []byte("content-length:")
	transferEncoding = []byte("transfer-encoding:")
)

// Read takes the next bytes of the connection.
func (h *Head) Read(b []byte) {
	for !h.done && len(b) > 0 {
		b = h.readLine(b)
	}
	h.BodyBytes += len(b)
}

// readLine takes bytes up to the end of a line, and returns the rest.
func (h *Head) readLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	h.line = append(h.line, part[:min(len(part), len(transferEncoding)-len(h.line))]...)
	if end < 0 {
		return nil
	}
	switch {
	case hasFieldName(h.line, contentLength):
		h.Lengths++
	case hasFieldName(h.line, transferEncoding):
		h.TransferEncodings++
	}
	h.done = len(h.line) == 0 || string(h.line) == "\r"
	h.line = h.line[:0]
	return b[end+1:]
}

// hasFieldName says whether a line begins with a field's name, in any case.
func hasFieldName(line, name []byte) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], name)
}
