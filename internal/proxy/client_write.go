package proxy

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// Write gives a client that reads nothing of its answer the idle timeout of when its request was received, or of now, whichever is
// longer. Whenever the client reads a part of it the time begins anew.
func (c *clientConn) Write(b []byte) (int, error) {
	written := 0
	for {
		c.SetWriteDeadline(time.Now().Add(c.writeTimeout()))
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n == 0 { // perhaps the deadline had passed before the first attempt, as on a loaded machine
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

// writeNow writes what the connection accepts without waiting, whatever its deadline: the runtime doesn't try once that has passed.
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
		n, _ = syscall.SendmsgN(int(fd), b, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL) // an error shows at the next write
	})
	if err != nil {
		return 0
	}
	return max(0, n)
}

// writeTimeout is how long a client may read nothing of its answer.
func (c *clientConn) writeTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(max(c.idleTimeout, c.limits().IdleTimeout))
}
