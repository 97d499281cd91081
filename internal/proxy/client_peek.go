package proxy

import (
	"syscall"
)

// clientGone tells whether the client went while its request stood behind another.
func (c *clientConn) clientGone() bool {
	c.mu.Lock()
	behind := c.pipelined
	c.pipelined = false
	c.mu.Unlock()
	return behind && c.peek() == ended
}

// pending is what waits to be read on a connection.
type pending uint8

const (
	nothingWaits pending = iota // or it can't be told
	bytesWait
	ended // its end, or an error
)

// peek looks at what waits to be read, and takes nothing of it.
func (c *clientConn) peek() pending {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nothingWaits
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return ended
	}
	n, seen := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, seen = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return ended
	case seen == syscall.EAGAIN || seen == syscall.EINTR:
		return nothingWaits
	case seen != nil || n == 0:
		return ended
	}
	return bytesWait
}
