package proxy

import (
	"io"
	"time"
)

// lingerTimeout is the most time for which a connection is read on after its last answer: its client closes it once it has that.
const lingerTimeout = 500 * time.Millisecond

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// markAnswered notes that the connection's present request has its complete answer.
func (c *clientConn) markAnswered() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// CloseWrite ends the sending side, so that the client sees the end behind all that was written.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return nil
}

// linger reads on after the last answer until the client has closed too, and discards what comes. A connection that is closed
// while bytes wait to be read, as of pipelined requests, is reset, and a reset discards what the client hasn't read of the answer.
// A connection that is closed for other reasons, between requests or because an answer breaks off, ends at once.
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
	_, _ = io.Copy(io.Discard, c.Conn) // ends at the client's end or the deadline; either way the connection is closed
}
