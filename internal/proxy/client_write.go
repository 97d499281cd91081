package proxy

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// Write gives a client that takes nothing as long as one that says nothing, by the limits that stood when its request was taken
// or by those in force, whichever is longer. One that takes an answer slowly, and yet takes some of it, has as long again.
func (c *clientConn) Write(b []byte) (int, error) {
	written := 0
	for {
		c.Conn.SetWriteDeadline(time.Now().Add(c.stall()))
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n == 0 { // perhaps the deadline had passed before the first attempt, as on a loaded machine
			n = c.push(b[written:])
			written += n
		}
		if n == 0 {
			c.cuts.add(cutStalled)
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
	}
}

// push writes what the connection takes without waiting, whatever its deadline: once that has passed the runtime doesn't try.
func (c *clientConn) push(b []byte) (n int) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		n, _ = syscall.SendmsgN(int(fd), b, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	})
	return max(0, n)
}

// stall is how long a client may take nothing of its answer.
func (c *clientConn) stall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(max(c.idleFor, c.limits().IdleTimeout))
}
