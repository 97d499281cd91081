package proxy

import (
	"errors"
	"syscall"
)

// pending is what waits to be read on a connection.
type pending uint8

const (
	nothingWaits pending = iota // or it can't be found out
	bytesWait
	ended // its end, or an error
)

func (p pending) String() string {
	return [...]string{"nothing", "bytes", "end"}[p]
}

// clientGone reports whether the client went while its request was queued behind another one on its connection.
func (c *clientConn) clientGone() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	pipelined := c.pipelined
	c.pipelined = false
	c.mu.Unlock()
	return pipelined && c.peek() == ended
}

// peek looks at what waits to be read, and consumes nothing of it.
func (c *clientConn) peek() pending {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nothingWaits
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return ended
	}
	n, received := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, received = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return ended
	case errors.Is(received, syscall.EAGAIN) || errors.Is(received, syscall.EINTR):
		return nothingWaits
	case received != nil || n == 0:
		return ended
	}
	return bytesWait
}
