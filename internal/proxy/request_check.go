package proxy

import (
	"net"
	"net/url"
	"strings"
)

func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// requestTarget is a request's target as the library writes it unchanged; ok is false where it can't.
func requestTarget(raw string) (u *url.URL, ok bool) {
	if !strings.HasPrefix(raw, "//") {
		return &url.URL{Opaque: raw}, true
	}
	path, query, more := strings.Cut(raw, "?") // the library puts a scheme before it where it is opaque
	plain, err := url.PathUnescape(path)
	u = &url.URL{Path: plain, RawPath: path, RawQuery: query, ForceQuery: more && query == ""}
	return u, err == nil && u.RequestURI() == raw
}
