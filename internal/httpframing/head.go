// Package httpframing watches how the bytes of a request are framed.
package httpframing

import "bytes"

// Head finds the end of a request's head as its bytes come, and sees what net/http doesn't tell a handler.
type Head struct {
	Started           bool // something of it has come
	Lengths           int  // lines that state a length
	TransferEncodings int  // lines that state a transfer coding
	BodyBytes         int  // bytes after the head

	done bool
	line []byte // the beginning of the present line, as long as the longest name below
}

var contentLength, transferEncoding = []byte("content-length:"), []byte("transfer-encoding:")

// Read takes the next bytes.
func (h *Head) Read(b []byte) {
	for !h.done && len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		part := b
		if i >= 0 {
			part = b[:i]
		}
		h.line = append(h.line, part[:min(len(part), len(transferEncoding)-len(h.line))]...)
		if i < 0 {
			return
		}
		if hasFieldName(h.line, contentLength) {
			h.Lengths++
		} else if hasFieldName(h.line, transferEncoding) {
			h.TransferEncodings++
		}
		h.done = len(h.line) == 0 || string(h.line) == "\r"
		h.line = h.line[:0]
		b = b[i+1:]
	}
	h.BodyBytes += len(b)
}

// hasFieldName tells whether a line begins with a field's name.
func hasFieldName(line, name []byte) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], name)
}
