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

// maxTimeRemaining is the maximum Time-Remaining of a client, in milliseconds.
const maxTimeRemaining = 1e9

// checkFraming rejects a request whose end is ambiguous. That includes Transfer-Encoding in HTTP/1.0, which net/http ignores.
func checkFraming(r *http.Request, framing httpframing.Fields) apierror.Kind {
	if framing.Ambiguous() || framing.TransferEncodings > 0 && !r.ProtoAtLeast(1, 1) {
		return apierror.Malformed
	}
	return apierror.None
}

// isServerOptions reports whether a request is OPTIONS *, which is about the proxy itself and not about a service.
func isServerOptions(r *http.Request) bool {
	return r.Method == http.MethodOptions && r.RequestURI == "*"
}

// checkHeader checks a request in this order: target and Attempt-Id, header size, whether the proxy is serving, route, time remaining. It
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

// requestTimeout returns the route's timeout or the client's Time-Remaining, whichever is shorter, in nanoseconds.
func requestTimeout(r *http.Request, routeTimeout int64) (int64, apierror.Kind) {
	stated := r.Header.Get("Time-Remaining")
	if stated == "" {
		return routeTimeout, apierror.None
	}
	milliseconds, err := strconv.ParseFloat(stated, 64)
	if err != nil || !(milliseconds >= 0) || milliseconds > maxTimeRemaining { // negated to reject NaN
		return 0, apierror.Malformed
	}
	return min(routeTimeout, int64(milliseconds*1e6)), apierror.None
}

// hostName returns the host of a Host header in lower case, without the port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// requestTarget returns a URL that net/http writes as exactly this request target. ok is false if there is none.
func requestTarget(raw string) (u *url.URL, ok bool) {
	if !strings.HasPrefix(raw, "//") {
		return &url.URL{Opaque: raw}, true
	}
	path, query, hasQuery := strings.Cut(raw, "?") // as Opaque it would get a scheme from net/http
	plain, err := url.PathUnescape(path)
	u = &url.URL{Path: plain, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	return u, err == nil && u.RequestURI() == raw
}
