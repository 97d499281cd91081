package hosts

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
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
	opened  time.Time
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
// open one for each hand-off, though those that end first serve the rest; each costs both sides work. With one or
// two, bursts waited for connections that came up one after another at a host that was slow already.
const dialling = 8

// key names the hand-off in a dial's context.
type key struct{}

// host is what the pool has for one address.
type host struct {
	pool      *Pool
	address   string
	transport *http.Transport
	coming    chan struct{} // holds one for each connection that is coming up
	ahead     chan *conn    // opened before there was a hand-off for them
}

// dial serves the transport, which dials as soon as no connection is idle and gives the hand-off the first that
// is; a dial that it needs no more by the time that there is room is not begun.
func (h *host) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := h.take(); c != nil {
		return c, nil
	}
	o := ctx.Value(key{}).(*handOff)
	select {
	case h.coming <- struct{}{}:
	case <-o.settled:
		return nil, errRevoked
	}
	defer func() { <-h.coming }()
	select {
	case h.pool.room <- struct{}{}:
	case <-o.settled:
		return nil, errRoom
	}
	o.dialled.Store(true)
	return h.open(ctx)
}

// open opens a connection, for which there must be room.
func (h *host) open(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.pool.ConnectIn)
	defer cancel()
	raw, err := h.pool.dialer.DialContext(ctx, "tcp", h.address)
	if err != nil {
		<-h.pool.room
		return nil, err
	}
	return &conn{Conn: raw, closed: func() { <-h.pool.room }, opened: time.Now()}, nil
}

// take takes a connection that was opened ahead, if one is there and not too old.
func (h *host) take() *conn {
	for {
		select {
		case c := <-h.ahead:
			if time.Since(c.opened) < h.pool.IdleIn/2 {
				return c
			}
			c.Close()
		default:
			return nil
		}
	}
}

// ahead is how many connections to a host a router opens before it takes commands: about as many as it has in use
// at once, as the first commands would else wait together for as many to come up.
const ahead = 3

// Open opens connections ahead to hosts, and returns once they are up or failed.
func (p *Pool) Open(addresses []string) {
	var all sync.WaitGroup
	for _, address := range addresses {
		h := p.host(address)
		for range ahead {
			select {
			case p.room <- struct{}{}:
			default:
				continue
			}
			all.Go(func() {
				if c, err := h.open(context.Background()); err == nil {
					h.ahead <- c.(*conn)
				}
			})
		}
	}
	all.Wait()
}
