package ingress

import (
	"context"
	"net"
	"sync"

	"portflow/internal/connlimit"
	"portflow/internal/httpframing"
	"portflow/internal/router/flow"
	"portflow/internal/router/flow/export"
)

// connections keeps a server's connections within their room; where it is full, one that is of no use is closed for
// one that comes.
type connections struct {
	net.Listener
	room  *connlimit.Room
	meter *export.Meter // nil where nothing is counted
}

func (c *connections) Accept() (net.Conn, error) {
	place := c.room.Enter(nil)
	raw, err := c.Listener.Accept()
	if err != nil {
		place.Leave()
		return nil, err
	}
	v := &clientConn{Conn: raw, place: place, more: make(chan struct{}, 1)}
	v.flow = c.meter.Open(flow.Label{Side: flow.Clients}, export.Address(raw.RemoteAddr()), export.Address(raw.LocalAddr()))
	place.Fill(connlimit.Silent, func() { v.Close() })
	return v, nil
}

// clientConn sees what net/http does not tell a handler: how the bytes of a command are framed, and what comes
// after them. Clients send one command at a time, so nothing may come until it is answered.
type clientConn struct {
	net.Conn
	place *connlimit.Place
	flow  *export.Conn
	mu    sync.Mutex
	head  httpframing.Head
	taken bool          // a command is whole, and not answered
	more  chan struct{} // gets one for what comes then
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.flow.In(n)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.taken {
			select {
			case c.more <- struct{}{}:
			default:
			}
		} else {
			if !c.head.Begun {
				c.head.Begun = true
				c.place.Set(connlimit.Begun)
			}
			c.head.Read(b[:n])
		}
	}
	return n, err
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.flow.Out(n)
	return n, err
}

func (c *clientConn) Close() error {
	defer c.place.Leave()
	defer c.flow.Close(false)
	return c.Conn.Close()
}

// take tells that a command with a body of this length was read, and whether the bytes that came are just that.
func (c *clientConn) take(body int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken = c.head.After == body && c.head.Lengths <= 1
	if c.taken {
		c.place.Set(connlimit.Busy)
	}
	return c.taken
}

// answer tells that the answer goes out now: what comes next is another command.
func (c *clientConn) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow.Answered()
	c.taken, c.head = false, httpframing.Head{}
	select {
	case <-c.more:
	default:
	}
	c.place.Set(connlimit.Idle)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
