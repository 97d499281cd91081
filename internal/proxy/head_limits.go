package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// headerSlop is the number of bytes by which an incomplete header may exceed the limit, the size of net/http's buffer. A complete header is
// checked by its headerSize instead.
const headerSlop = 4096

// requestLineOverhead is the number of bytes that headerSize adds for the HTTP version and separators.
const requestLineOverhead = 20

// rejectLingerTimeout is the time that a client that is still sending gets to read the rejection. Closing a connection with unread bytes
// resets it, and the client may lose the response.
const rejectLingerTimeout = 500 * time.Millisecond

var errHeaderTooLarge = errors.New("request header exceeds header-bytes")

// headerTooLarge reports whether an incomplete header exceeds the current limit by more than headerSlop.
func (c *clientConn) headerTooLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHeader && c.framing.PendingHeaderBytes() > c.limits().HeaderBytes+headerSlop
}

// rejectHeader responds to a header that is too large, and discards input for rejectLingerTimeout so that a reset doesn't destroy the response.
func (c *clientConn) rejectHeader() {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))
	c.Conn.SetReadDeadline(time.Now().Add(rejectLingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn) // until the client closes or the deadline; the connection is closed in either case
}

// headerSize returns the approximate size of a request's header in bytes, request line included.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
