package proxy

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
)

// limitedListener keeps clients' connections within their room.
type limitedListener struct {
	net.Listener
	limiter *connlimit.Limiter
	cuts    *cutCounts
	limits  func() config.Limits
}

func (l *limitedListener) Accept() (net.Conn, error) {
	place := l.limiter.Acquire(nil)
	c, err := l.Listener.Accept()
	if err != nil {
		place.Release()
		return nil, err
	}
	v := &clientConn{Conn: c, slot: place, cuts: l.cuts, limits: l.limits, phase: readingHead, since: time.Now()}
	place.Attach(connlimit.StateNew, v.evict)
	return v, nil
}

// backlog is how many connections wait to be accepted; 0 where the listener is not the machine's own.
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
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked) // for a listener it is this
		}
	})
	return waiting
}
