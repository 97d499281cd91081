// Package network is the network as the system's processes use it: TCP and UDP by IP numbers. Tests put one in memory in its
// place.
package network

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Network opens connections and listens.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	ListenPacket(address string) (net.PacketConn, error)
}

// Host is the machine's own network.
type Host struct {
	// UserTimeout is after how long the kernel gives up a connection that was dialled and whose peer acknowledges nothing, as one
	// behind a partition; 0 for the kernel's own time. Accepted connections don't have it: the kernel also counts the time for which a
	// peer is slow and keeps its receive window closed, and would reset a client in the middle of its answer.
	UserTimeout time.Duration
}

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT

func (h Host) control(_, _ string, c syscall.RawConn) error {
	if h.UserTimeout <= 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		// one that can't be had is no reason not to connect: those who use the connection have time-outs of their own
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(h.UserTimeout.Milliseconds()))
	})
}

// Listen waits for connections.
func (Host) Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAlive: -1}
	l.SetMultipathTCP(false)
	return l.Listen(context.Background(), "tcp4", address)
}

// Dial connects.
func (h Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: h.control}
	d.SetMultipathTCP(false)
	return d.DialContext(ctx, network, address)
}

// ListenPacket opens a socket for datagrams.
func (h Host) ListenPacket(address string) (net.PacketConn, error) {
	var l net.ListenConfig
	return l.ListenPacket(context.Background(), "udp4", address)
}
