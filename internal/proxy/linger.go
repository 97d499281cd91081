package proxy

import (
	"io"
	"time"
)

// lingerTimeout is how long a connection is read on after its last answer, at the most: its client closes as soon as it has that.
const lingerTimeout = 500 * time.Millisecond

// answerComplete notes that the connection's present request has its whole answer.
func (c *clientConn) answerComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// CloseWrite ends the sending side, so that the client sees the end behind all that was written.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// linger reads on after the last answer until the client has closed too, and throws what comes away. A connection that is closed
// while bytes wait to be read, as of pipelined requests, is reset, and a reset takes away what the client hasn't read of the answer.
// A connection that is closed for other reasons, between requests or because an answer breaks off, ends at once.
func (c *clientConn) linger() {
	c.mu.Lock()
	lingers := c.answered
	c.answered = false
	c.mu.Unlock()
	if _, halves := c.Conn.(interface{ CloseWrite() error }); !lingers || !halves || c.CloseWrite() != nil {
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, c.Conn)
}
