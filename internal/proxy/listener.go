package proxy

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
)

// limitedListener accepts no more clients' connections than there are slots for.
type limitedListener struct {
	net.Listener
	limiter *connlimit.Limiter
	cuts    *cutCounts
	limits  func() config.Limits // those in force
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
	_ = raw.Control(func(fd uintptr) { // fails on a closed listener, at which none waits
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked) // the length of the accept queue, in the state LISTEN
		}
	})
	return waiting
}
