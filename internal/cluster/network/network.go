// Package network abstracts the network that processes use: TCP and UDP over IPv4. Tests replace it with an in-memory network.
package network

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Network dials and listens. Addresses are of the form "ip:port".
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	ListenPacket(address string) (net.PacketConn, error)
}

// Host is the network of the operating system.
type Host struct {
	// UserTimeout is the time after which the kernel closes a dialed connection whose peer does not acknowledge sent data, for example
	// behind a network partition (TCP_USER_TIMEOUT); 0 for the kernel's default. It is not set on accepted connections, because the kernel
	// also counts the time during which a slow peer keeps its receive window closed, and would reset the connections of slow clients in
	// the middle of a response.
	UserTimeout time.Duration
}

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT

func (h Host) control(_, _ string, c syscall.RawConn) error {
	if h.UserTimeout <= 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		// best effort: users of the connection have timeouts of their own
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(h.UserTimeout.Milliseconds()))
	})
}

// Listen listens for TCP connections over IPv4, without TCP keep-alive or Multipath TCP.
func (Host) Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAlive: -1}
	l.SetMultipathTCP(false)
	return l.Listen(context.Background(), "tcp4", address)
}

// Dial connects without TCP keep-alive or Multipath TCP. UserTimeout applies to the connection.
func (h Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: h.control}
	d.SetMultipathTCP(false)
	return d.DialContext(ctx, network, address)
}

// ListenPacket opens a UDP socket over IPv4.
func (h Host) ListenPacket(address string) (net.PacketConn, error) {
	var l net.ListenConfig
	return l.ListenPacket(context.Background(), "udp4", address)
}
