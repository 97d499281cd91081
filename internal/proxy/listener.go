package proxy

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
)

// limitedListener accepts a connection only once it has a slot of the limiter.
type limitedListener struct {
	net.Listener
	limiter *connlimit.Limiter
	cuts    *cutCounts
	limits  func() config.Limits // returns the current limits
}

func (l *limitedListener) Accept() (net.Conn, error) {
	slot := l.limiter.Acquire(nil)
	c, err := l.Listener.Accept()
	if err != nil {
		slot.Release()
		return nil, err
	}
	conn := &clientConn{Conn: c, slot: slot, cuts: l.cuts, limits: l.limits, phase: readingHeader, since: time.Now()}
	slot.Attach(connlimit.StateNew, conn.evict)
	return conn, nil
}

// backlog returns the length of the accept queue, or 0 if the listener is not a socket of the operating system.
func backlog(l net.Listener) int {
	s, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	_ = raw.Control(func(fd uintptr) { // fails on a closed listener, which has no queue
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked) // the length of the accept queue for a socket in state LISTEN
		}
	})
	return waiting
}
