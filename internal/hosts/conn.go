package hosts

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var errRevoked = errors.New("revoked before it was written")

// conn is a connection to a host. The hand-off that has it must still stand when its bytes are written.
type conn struct {
	net.Conn
	handOff atomic.Pointer[handOff]
	closed  func()
	once    sync.Once
}

func (c *conn) Write(b []byte) (int, error) {
	if h := c.handOff.Load(); h != nil && !h.mayWrite() {
		return 0, errRevoked
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// dial opens a connection while there is room for one more.
func (p *Pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.open.Add(1) > p.most {
		p.closeIdle()
		if p.open.Load() > p.most {
			p.open.Add(-1)
			return nil, errors.New("no descriptor to spare")
		}
	}
	raw, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	return &conn{Conn: raw, closed: func() { p.open.Add(-1) }}, nil
}
