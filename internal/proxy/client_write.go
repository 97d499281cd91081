package proxy

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// Write implements net.Conn. It fails if the client reads nothing for writeTimeout; the timeout restarts whenever the client reads part of
// the response.
func (c *clientConn) Write(b []byte) (int, error) {
	written := 0
	for {
		c.SetWriteDeadline(time.Now().Add(c.writeTimeout()))
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n == 0 { // on a busy machine the deadline may have passed before the first write
			n = c.writeNow(b[written:])
			written += n
		}
		if n == 0 {
			c.cuts.add(cutWriteStalled)
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
	}
}

// writeNow writes what the connection accepts without blocking. It bypasses net.Conn, which writes nothing after the deadline.
func (c *clientConn) writeNow(b []byte) (n int) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) {
		n, _ = syscall.SendmsgN(int(fd), b, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL) // the next write returns the error
	})
	if err != nil {
		return 0
	}
	return max(0, n)
}

// writeTimeout returns how long a client may read nothing of its response: the idle timeout from the limits when its request was received, or
// from the current limits if that is longer.
func (c *clientConn) writeTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(max(c.idleTimeout, c.limits().IdleTimeout))
}
