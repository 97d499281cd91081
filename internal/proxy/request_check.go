package proxy

import (
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/httpframing"
)

// maxTimeRemaining is the longest Time-Remaining that a client may state, milliseconds.
const maxTimeRemaining = 1e9

// checkFraming refuses a request whose end can be read in two ways; net/http ignores a transfer coding in HTTP/1.0.
func checkFraming(r *http.Request, framing httpframing.Fields) apierror.Kind {
	if framing.Ambiguous() || framing.TransferEncodings > 0 && !r.ProtoAtLeast(1, 1) {
		return apierror.Malformed
	}
	return apierror.None
}

// isServerOptions reports whether a request asks about this process and not about a service.
func isServerOptions(r *http.Request) bool {
	return r.Method == http.MethodOptions && r.RequestURI == "*"
}

// checkHeader checks a request's head in this order: target and id, size, whether this process serves, route, time that is left. It
// returns the route and the request's timeout in nanoseconds.
func (p *Proxy) checkHeader(r *http.Request, routing *config.RoutingTable) (route *config.Route, timeout int64, kind apierror.Kind) {
	if _, ok := requestTarget(r.RequestURI); !ok || len(r.Header["Attempt-Id"]) > 1 {
		return nil, 0, apierror.Malformed
	}
	if headerSize(r) > routing.Limits.HeaderBytes {
		return nil, 0, apierror.HeaderTooLarge
	}
	if !p.ready.Load() || p.refusing.Load() {
		return nil, 0, apierror.Unavailable
	}
	route = routing.Match(hostName(r.Host), r.URL.EscapedPath())
	if route == nil {
		return nil, 0, apierror.NoRoute
	}
	timeout, kind = requestTimeout(r, route.Timeout)
	return route, timeout, kind
}

// requestTimeout is the lesser of the route's timeout and the time that the client states to have left, nanoseconds.
func requestTimeout(r *http.Request, routeTimeout int64) (int64, apierror.Kind) {
	stated := r.Header.Get("Time-Remaining")
	if stated == "" {
		return routeTimeout, apierror.None
	}
	milliseconds, err := strconv.ParseFloat(stated, 64)
	if err != nil || !(milliseconds >= 0) || milliseconds > maxTimeRemaining { // NaN is none
		return 0, apierror.Malformed
	}
	return min(routeTimeout, int64(milliseconds*1e6)), apierror.None
}

// hostName is the name of a Host header without its port, in lower case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// requestTarget is a request's target as net/http writes it unchanged; ok is false where it can't.
func requestTarget(raw string) (u *url.URL, ok bool) {
	if !strings.HasPrefix(raw, "//") {
		return &url.URL{Opaque: raw}, true
	}
	path, query, hasQuery := strings.Cut(raw, "?") // net/http puts a scheme before it where it is opaque
	plain, err := url.PathUnescape(path)
	u = &url.URL{Path: plain, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	return u, err == nil && u.RequestURI() == raw
}
