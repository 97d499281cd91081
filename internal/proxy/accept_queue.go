package proxy

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

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
