package simulation

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

const datagramLoss = 0.02 // fraction of datagrams that are lost

type datagram struct {
	raw  []byte
	from *net.UDPAddr
}

// packetConn is a UDP socket.
type packetConn struct {
	network  *Network
	addr     *net.UDPAddr
	incoming chan datagram
	done     chan struct{}
	once     sync.Once
}

var _ net.PacketConn = (*packetConn)(nil)

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.incoming:
		return copy(b, d.raw), d.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram. It returns no error if the datagram is lost or the receiver's buffer is full.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	remote, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, fmt.Errorf("destination %v is not a UDP address", to)
	}
	from, ip := c.addr.IP.String(), remote.IP.String()
	c.network.mu.Lock()
	lost := c.network.isBlocked(from, ip) || c.network.rng.Float64() < datagramLoss
	c.network.SentBytes[link{from, ip}] += int64(len(b))
	c.network.mu.Unlock()
	if lost {
		return len(b), nil
	}
	d := datagram{append([]byte(nil), b...), c.addr}
	address := net.JoinHostPort(ip, strconv.Itoa(remote.Port))
	time.AfterFunc(c.network.Delay(from, ip), func() { c.network.deliver(address, d) })
	return len(b), nil
}

// deliver passes a datagram to the socket bound to an address. It drops the datagram if there is none or its buffer is full.
func (n *Network) deliver(address string, d datagram) {
	n.mu.Lock()
	target := n.packetConns[address]
	n.mu.Unlock()
	if target == nil {
		return
	}
	select {
	case target.incoming <- d:
	default:
	}
}

func (c *packetConn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		if c.network.packetConns[c.addr.String()] == c {
			delete(c.network.packetConns, c.addr.String())
		}
		c.network.mu.Unlock()
		close(c.done)
	})
	return nil
}

func (c *packetConn) LocalAddr() net.Addr { return c.addr }

func (c *packetConn) SetDeadline(time.Time) error { return nil }

func (c *packetConn) SetReadDeadline(time.Time) error { return nil }

func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }
