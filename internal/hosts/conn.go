package hosts

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

var (
	errRevoked = errors.New("revoked before it was written")
	errRoom    = errors.New("no room for another connection")
)

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

// dialling is how many connections to one host may be coming up at once. A burst that finds none idle would else
// open one for each hand-off, though those that end first serve the rest; each costs both sides work.
const dialling = 2

// key names the hand-off in a dial's context.
type key struct{}

// dialer dials one host. http.Transport dials as soon as no connection is idle, and gives the hand-off the first
// that is; a dial that it needs no more by the time that there is room is not begun.
func (p *Pool) dialer() func(context.Context, string, string) (net.Conn, error) {
	coming := make(chan struct{}, dialling)
	dialer := net.Dialer{KeepAlive: -1} // silent hosts are found by hand-offs' time-outs
	dialer.SetMultipathTCP(false)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		h := ctx.Value(key{}).(*handOff)
		select {
		case coming <- struct{}{}:
		case <-h.settled:
			return nil, errRevoked
		}
		defer func() { <-coming }()
		select {
		case p.room <- struct{}{}:
		default:
			p.closeIdle()
			select {
			case p.room <- struct{}{}:
			case <-h.settled:
				return nil, errRoom
			}
		}
		h.dialled.Store(true)
		ctx, cancel := context.WithTimeout(ctx, p.ConnectIn)
		defer cancel()
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			<-p.room
			return nil, err
		}
		return &conn{Conn: raw, closed: func() { <-p.room }}, nil
	}
}
