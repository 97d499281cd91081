package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// headerSlop is by how many bytes a head may exceed the limit before its end has come: as many as net/http's buffer has. A head that is
// complete by then is judged by headerSize.
const headerSlop = 4096

// requestLineOverhead is what headerSize counts beside the method, target, host and fields: the version and the separators.
const requestLineOverhead = 20

// rejectLingerTimeout is how long a refused client that still sends gets to read its answer: a connection that is closed beside unread
// bytes is reset, and the client may lose the answer by that.
const rejectLingerTimeout = 500 * time.Millisecond

var errHeaderTooLarge = errors.New("the head is longer than header-bytes")

// headerTooLarge reports whether the head that comes in is longer than the limits in force allow.
func (c *clientConn) headerTooLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHeader && c.framing.Head() > c.limits().HeaderBytes+headerSlop
}

// rejectHeader answers a head that is too long, and waits for a moment so that the answer isn't lost by a reset.
func (c *clientConn) rejectHeader() {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))
	c.Conn.SetReadDeadline(time.Now().Add(rejectLingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn) // ends at the client's end or the deadline; either way the connection is closed
}

// headerSize is about how many bytes a request's head has.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
