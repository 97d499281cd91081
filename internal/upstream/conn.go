package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"portflow/internal/connlimit"
)

var (
	errRevoked = errors.New("revoked before it was written")
	errRoom    = errors.New("no room for another connection")
	errSpent   = errors.New("the connection has ended, or has brought more than its last answer")
)

// conn is a connection to a host. The hand-off that has it must still stand when its bytes are written, and nothing
// may have come since the last answer: what hosts send after an answer would else pass for the next one's. The
// transport doesn't see to that: it writes as soon as it has a connection, and reads what is there as the answer.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	pending Pending // in place of raw, where the connection is not the machine's
	place   *connlimit.Place
	flow    Counter
	opened  time.Time
	handOff atomic.Pointer[handOff]

	mu      sync.Mutex
	turn    sync.Cond // told when the reader waits, or the connection has ended
	drained bool      // the reader waits, so all that had come was taken up
	closed  bool
	writer  *handOff // that was written last

	took   *handOff      // of which it has taken bytes; the writer's alone
	pen    chan struct{} // holds one while bytes of a hand-off with a Track are written
	failed atomic.Bool   // such a write did
}

func newConn(c net.Conn, place *connlimit.Place, w Watch, to string) (*conn, error) {
	v := &conn{Conn: c, place: place, opened: time.Now(), pen: make(chan struct{}, 1), flow: w(to, c.LocalAddr(), c.RemoteAddr())}
	v.turn.L = &v.mu
	if s, ok := c.(syscall.Conn); ok {
		raw, err := s.SyscallConn()
		if err != nil {
			return nil, err
		}
		v.raw = raw
	} else if v.pending, ok = c.(Pending); !ok {
		return nil, errors.New("a connection that can't tell whether bytes wait on it")
	}
	return v, nil
}

// Pending is a connection that isn't the machine's own, as of tests in memory: it tells whether bytes, or its end, wait
// to be read.
type Pending interface{ Pending() bool }

// Read reads, and tells an orderly end from one that isn't. A write may take up the word of a reset, and the end then reads
// like any other: an answer whose end is the connection's would look whole.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if err == io.EOF && !c.orderly() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// lastWrite is for a write that is under way as the end is read: one that the host took has returned long before then.
const lastWrite = 50 * time.Millisecond

// orderly tells, at the connection's end, whether all that was written on it was taken.
func (c *conn) orderly() bool {
	select {
	case c.pen <- struct{}{}:
		<-c.pen
	default:
		after := time.NewTimer(lastWrite)
		defer after.Stop()
		select {
		case c.pen <- struct{}{}:
			<-c.pen
		case <-after.C:
			return false
		}
	}
	return !c.failed.Load()
}

// read reads under the lock, so that nothing can come between a look for bytes and a write.
func (c *conn) read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	if c.raw == nil {
		n, err := c.Conn.Read(b)
		c.flow.In(n)
		return n, err
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), b)
		}
		if c.drained = err == syscall.EAGAIN; c.drained {
			c.turn.Broadcast()
		}
		return !c.drained
	})
	switch {
	case waited != nil:
		return 0, waited
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0:
		return 0, io.EOF
	}
	c.flow.In(n)
	return n, nil
}

func (c *conn) Write(b []byte) (int, error) {
	h := c.handOff.Load()
	if h != nil {
		if !c.fresh(h) || h.spentOn(c) {
			c.Close()
			return 0, errSpent
		}
		if !h.mayWrite(c) {
			return 0, errRevoked
		}
	}
	if h == nil || h.track == nil {
		n, err := c.Conn.Write(b)
		c.flow.Out(n)
		return n, err
	}
	c.pen <- struct{}{}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed.Store(true)
	}
	<-c.pen
	c.flow.Out(n)
	if n > 0 {
		c.took = h
	}
	if c.took == h && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)) {
		// the host wants no more of it, and may have said why: its answer, or the end, is for the reader
		h.track.Wrote(len(b), nil)
		return len(b), nil
	}
	h.track.Wrote(n, err)
	return n, err
}

// fresh waits until the reader waits, and tells whether nothing has come since the last answer.
func (c *conn) fresh(h *handOff) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writer == h {
		return true
	}
	if c.failed.Load() {
		return false
	}
	if c.raw == nil {
		c.writer = h
		return !c.closed && !c.pending.Pending()
	}
	for !c.drained && !c.closed {
		c.turn.Wait()
	}
	if c.closed {
		return false
	}
	var seen error
	err := c.raw.Control(func(fd uintptr) {
		_, _, seen = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	c.writer = h
	return err == nil && seen == syscall.EAGAIN
}

// rest tells that a hand-off is over: the connection may make room unless another has it already.
func (c *conn) rest(h *handOff) {
	if c.handOff.Load() == h {
		c.place.Set(connlimit.Idle)
		if c.handOff.Load() != h {
			c.place.Set(connlimit.Busy)
		}
	}
}

func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.turn.Broadcast()
	c.mu.Unlock()
	defer c.place.Leave()
	defer c.flow.Closed()
	return c.Conn.Close()
}

// dialling is how many connections to one host may be coming up at once. A burst that finds none idle would else
// open one for each hand-off, though those that end first serve the rest; each costs both sides work. With one or
// two, bursts waited for connections that came up one after another at a host that was slow already.
const dialling = 8

// key names, in a dial's context, the one that ends when its hand-off needs no connection any more, and the hand-off
// in that.
type key struct{}

// host is what the pool has for one address.
type host struct {
	pool      *Pool
	address   string
	transport *http.Transport
	coming    chan struct{} // holds one for each connection that is coming up
	ahead     chan *conn    // opened before there was a hand-off for them
	gone      atomic.Bool   // forgotten: nothing stays idle
}

// dial serves the transport, which dials as soon as no connection is idle and gives the hand-off the first that
// is; a dial that it needs no more by the time that there is room is not begun.
func (h *host) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := h.take(); c != nil {
		return c, nil
	}
	wants := ctx.Value(key{}).(context.Context)
	o := wants.Value(key{}).(*handOff)
	select {
	case h.coming <- struct{}{}:
	case <-wants.Done():
		return nil, errRevoked
	}
	defer func() { <-h.coming }()
	place := h.pool.room.Enter(wants.Done())
	if place == nil {
		return nil, errRoom
	}
	o.dialled.Store(true)
	c, err := h.open(ctx, place)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// open opens a connection at its place.
func (h *host) open(ctx context.Context, place *connlimit.Place) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.pool.ConnectIn)
	defer cancel()
	raw, err := h.pool.Dial(ctx, "tcp", h.address)
	if err != nil {
		place.Leave()
		return nil, err
	}
	c, err := newConn(raw, place, h.pool.Watch, h.address)
	if err != nil {
		raw.Close()
		place.Leave()
		return nil, err
	}
	place.Fill(connlimit.Idle, func() { c.Close() })
	return c, nil
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

// ahead is how many connections to a host a router opens at most before it takes commands: about as many as few routers
// have in use at once, as the first commands would else wait together for as many to come up.
const ahead = 3

// Open opens connections ahead to hosts, at most so many, one to each before the second to any, and those in half of
// the room. It returns once they are up or failed.
func (p *Pool) Open(addresses []string, most int) {
	var all sync.WaitGroup
	for n := range ahead {
		for _, address := range addresses {
			if n > 0 && p.room.Held() > p.Most/2 || most <= 0 {
				break
			}
			most--
			h, place := p.host(address), p.room.Try()
			if place == nil {
				break
			}
			all.Go(func() {
				if c, err := h.open(context.Background(), place); err == nil {
					h.ahead <- c
				}
			})
		}
	}
	all.Wait()
}
