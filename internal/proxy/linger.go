package proxy

import (
	"io"
	"time"
)

// lingerTimeout limits how long a connection is read after its last response, while the client is expected to close it.
const lingerTimeout = 500 * time.Millisecond

// halfCloser is a connection whose sending side can be closed separately.
type halfCloser interface{ CloseWrite() error }

// markAnswered records that the response to the current request is complete. It does nothing on a nil connection.
func (c *clientConn) markAnswered() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// CloseWrite closes the sending side, so that the client sees the end of the stream after everything that was written. It does nothing if the
// connection doesn't support that.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return nil
}

// linger closes the sending side after the last response, and then discards input until the client closes as well. Closing a connection
// with unread bytes, such as pipelined requests, would reset it, and the client could lose the part of the response that it hasn't read.
// Connections that are closed between requests or with a truncated response don't linger.
func (c *clientConn) linger() {
	c.mu.Lock()
	lingers := c.answered
	c.answered = false
	c.mu.Unlock()
	if !lingers {
		return
	}
	if _, ok := c.Conn.(halfCloser); !ok || c.CloseWrite() != nil {
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn) // until the client closes or the deadline; the connection is closed in either case
}
