// Package sea is the network as the system's processes use it: TCP and UDP by IP numbers. Tests put one in memory in its
// place.
package sea

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Sea opens connections and listens.
type Sea interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	Packet(address string) (net.PacketConn, error)
}

// Real is the machine's own network. A peer that says nothing, as one behind a cut, is found by the kernel within Silent.
type Real struct {
	Silent time.Duration
}

const userTimeout = 18 // TCP_USER_TIMEOUT

func (r Real) control(_, _ string, c syscall.RawConn) error {
	if r.Silent <= 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		// one that can't be had is no reason not to connect: those who use the connection have time-outs of their own
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(r.Silent.Milliseconds()))
	})
}

// Listen waits for connections.
func (r Real) Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{KeepAlive: -1, Control: r.control}
	l.SetMultipathTCP(false)
	return l.Listen(context.Background(), "tcp4", address)
}

// Dial connects.
func (r Real) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: r.control}
	d.SetMultipathTCP(false)
	return d.DialContext(ctx, network, address)
}

// Packet opens a socket for datagrams.
func (r Real) Packet(address string) (net.PacketConn, error) {
	var l net.ListenConfig
	return l.ListenPacket(context.Background(), "udp4", address)
}
