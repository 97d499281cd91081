package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders are headers that are said between a client and a host: Connection can't take them away.
var endToEndHeaders = []string{"Attempt-Id", "Server-Seal", "Request-Not-Run", "Time-Remaining", "Retry-After", "Cache-Control", "Content-Type",
	"Content-Encoding", "Content-Length"}

// forwardedHeader is a header without what concerns one connection only.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !slices.Contains(endToEndHeaders, name) {
				delete(out, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
