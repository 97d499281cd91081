package proxy

import (
	"errors"
	"syscall"
)

// peekResult is the kind of data that is ready to be read on a connection.
type peekResult uint8

const (
	peekNothing peekResult = iota // nothing, or unknown
	peekBytes
	peekEnd // end of stream, or an error
)

func (p peekResult) String() string {
	return [...]string{"nothing", "bytes", "end"}[p]
}

// clientGone reports whether the client disconnected while its request was queued behind another one on the connection.
func (c *clientConn) clientGone() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	pipelined := c.pipelined
	c.pipelined = false
	c.mu.Unlock()
	return pipelined && c.peek() == peekEnd
}

// peek reports what is ready to be read, without consuming it.
func (c *clientConn) peek() peekResult {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return peekNothing
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return peekEnd
	}
	n, recvErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return peekEnd
	case errors.Is(recvErr, syscall.EAGAIN) || errors.Is(recvErr, syscall.EINTR):
		return peekNothing
	case recvErr != nil || n == 0:
		return peekEnd
	}
	return peekBytes
}
