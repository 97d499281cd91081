// Package httpframing tracks how HTTP/1.1 requests are framed (RFC 9112, section 6) while net/http reads them, because
// net/http does not pass all framing fields on to a handler. The package does no I/O and rejects nothing: its users pass in the
// bytes that were received, and decide. Start reading at Stream, which follows all requests of a connection. Head reads a
// single request.
package httpframing

import "bytes"

// Head scans the header of one request as it is received, and counts the fields that frame the body. The zero value is
// ready for use.
type Head struct {
	Started           bool // for use by callers; Read neither sets nor reads it
	Lengths           int  // number of Content-Length lines
	TransferEncodings int  // number of Transfer-Encoding lines
	BodyBytes         int  // bytes received after the end of the header

	done bool
	line []byte // start of the current line, limited to the length of transferEncoding
}

// Names of the fields that frame a body, in lower case and with the colon.
var (
	contentLength    = []byte("content-length:")
	transferEncoding = []byte("transfer-encoding:")
)

// Read processes the next bytes received on the connection. It does not retain b.
func (h *Head) Read(b []byte) {
	for !h.done && len(b) > 0 {
		b = h.readLine(b)
	}
	h.BodyBytes += len(b)
}

// readLine processes bytes up to the end of a line and returns the rest.
func (h *Head) readLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	content := b
	if end >= 0 {
		content = b[:end]
	}
	h.line = append(h.line, content[:min(len(content), len(transferEncoding)-len(h.line))]...)
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

// hasFieldName reports whether a line starts with a field name, ignoring case.
func hasFieldName(line, name []byte) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], name)
}
