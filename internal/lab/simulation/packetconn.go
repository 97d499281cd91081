package simulation

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"time"
)

type datagram struct {
	raw  []byte
	from *net.UDPAddr
}

// packetConn is a socket for datagrams; one in fifty is lost.
type packetConn struct {
	network  *Network
	addr     *net.UDPAddr
	incoming chan datagram
	done     chan struct{}
	once     sync.Once
}

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.incoming:
		return copy(b, d.raw), d.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, errors.New("no UDP address")
	}
	from, ip := c.addr.IP.String(), u.IP.String()
	c.network.mu.Lock()
	lost := c.network.isBlocked(from, ip) || c.network.rng.Float64() < 0.02
	c.network.SentBytes[[2]string{from, ip}] += int64(len(b))
	c.network.mu.Unlock()
	if lost {
		return len(b), nil
	}
	d := datagram{append([]byte(nil), b...), c.addr}
	address := net.JoinHostPort(ip, strconv.Itoa(u.Port))
	time.AfterFunc(c.network.Delay(from, ip), func() {
		c.network.mu.Lock()
		x := c.network.packetConns[address]
		c.network.mu.Unlock()
		if x == nil {
			return
		}
		select {
		case x.incoming <- d:
		default:
		}
	})
	return len(b), nil
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
