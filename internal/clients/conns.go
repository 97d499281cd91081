package clients

import (
	"net"
	"sync"
	"sync/atomic"
)

// connections keeps a server's connections within a number. While a new one waits for room, one is closed after its
// next answer: never between commands, as one that comes just then would be lost, and never more than wait, as
// clients open another for each that is closed, which costs both sides more than a command.
type connections struct {
	net.Listener
	room    chan struct{} // holds one for each connection
	waiting atomic.Bool
}

// spare tells, once for each new connection that waits, that one may be closed for it.
func (c *connections) spare() bool { return c.waiting.CompareAndSwap(true, false) }

func (c *connections) Accept() (net.Conn, error) {
	select {
	case c.room <- struct{}{}:
	default:
		c.waiting.Store(true)
		c.room <- struct{}{}
		c.waiting.Store(false)
	}
	raw, err := c.Listener.Accept()
	if err != nil {
		<-c.room
		return nil, err
	}
	return &clientConn{Conn: raw, room: c.room}, nil
}

type clientConn struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

func (c *clientConn) Close() error {
	defer c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}
