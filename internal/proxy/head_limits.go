package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// headSlop is by how many bytes a head may exceed the limit before its end has come: as many as net/http's buffer has. A head that is
// complete by then is judged by headSize.
const headSlop = 4096

// requestLineSize is what headSize counts beside the method, target, host and fields: the version and the separators.
const requestLineSize = 20

// resetAvoidance is how long a refused client that still sends gets to read its answer: a connection that is closed beside unread
// bytes is reset, and the client may lose the answer by that.
const resetAvoidance = 500 * time.Millisecond

var errLongHead = errors.New("the head is longer than header-bytes")

// headTooLong reports whether the head that comes in is longer than the limits in force allow.
func (c *clientConn) headTooLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == readingHead && c.framing.PendingHeaderBytes() > c.limits().HeaderBytes+headSlop
}

// refuseHead answers a head that is too long, and waits for a moment so that the answer isn't lost by a reset.
func (c *clientConn) refuseHead() {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))
	c.Conn.SetReadDeadline(time.Now().Add(resetAvoidance))
	_, _ = io.Copy(io.Discard, c.Conn) // ends at the client's end or the deadline; either way the connection is closed
}

// headSize is about how many bytes a request's head has.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestLineSize
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
