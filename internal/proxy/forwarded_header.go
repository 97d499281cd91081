package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopHeaders are the header fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders are header fields between a client and a host: Connection can't remove them.
var endToEndHeaders = []string{"Attempt-Id", "Server-Seal", "Request-Not-Run", "Time-Remaining", "Retry-After", "Cache-Control", "Content-Type",
	"Content-Encoding", "Content-Length"}

// forwardedHeader is a header without the fields that concern one connection only.
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
