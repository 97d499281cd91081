package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopHeaders are the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders are header fields that a Connection field cannot remove.
var endToEndHeaders = []string{"Attempt-Id", "Server-Seal", "Request-Not-Run", "Time-Remaining", "Retry-After", "Cache-Control", "Content-Type",
	"Content-Encoding", "Content-Length"}

// forwardedHeader returns a copy of a header without hop-by-hop fields, including those that its Connection fields name.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, options := range h["Connection"] {
		for _, option := range strings.Split(options, ",") {
			name := textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option))
			if !slices.Contains(endToEndHeaders, name) {
				delete(out, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
