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
	errCanceledUnsent = errors.New("revoked before it was written")
	errConnLimit      = errors.New("no room for another connection")
	errConnUnusable   = errors.New("the connection has ended, or has brought more than its last answer")
)

// conn is a connection to a host. The hand-off that has it must still stand when its bytes are written, and nothing
// may have come since the last answer: what hosts send after an answer would else pass for the next one's. The
// transport doesn't see to that: it writes as soon as it has a connection, and reads what is there as the answer.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	pending  PendingConn // in place of raw, where the connection is not the machine's
	slot     *connlimit.Slot
	counter  ConnCounter
	openedAt time.Time
	attempt  atomic.Pointer[attempt]

	mu          sync.Mutex
	readerWaits sync.Cond // told when the reader waits, or the connection has ended
	drained     bool      // the reader waits, so all that had come was taken up
	closed      bool
	lastWritten *attempt // that was written last

	partlyTaken *attempt      // of which it has taken bytes; the writer's alone
	writeLock   chan struct{} // holds one while bytes of a hand-off with a Track are written
	writeFailed atomic.Bool   // such a write did
}

func newConn(c net.Conn, slot *connlimit.Slot, observe Observer, to string) (*conn, error) {
	wrapped := &conn{Conn: c, slot: slot, openedAt: time.Now(), writeLock: make(chan struct{}, 1), counter: observe(to, c.LocalAddr(), c.RemoteAddr())}
	wrapped.readerWaits.L = &wrapped.mu
	if s, ok := c.(syscall.Conn); ok {
		raw, err := s.SyscallConn()
		if err != nil {
			return nil, err
		}
		wrapped.raw = raw
	} else if wrapped.pending, ok = c.(PendingConn); !ok {
		return nil, errors.New("a connection that can't tell whether bytes wait on it")
	}
	return wrapped, nil
}

// PendingConn is a connection that isn't the machine's own, as of tests in memory: it tells whether bytes, or its end, wait
// to be read.
type PendingConn interface{ Pending() bool }

// Read reads, and tells an orderly end from one that isn't. A write may take up the word of a reset, and the end then reads
// like any other: an answer whose end is the connection's would look whole.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if err == io.EOF && !c.closedCleanly() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// lastWriteGrace is for a write that is under way as the end is read: one that the host took has returned long before then.
const lastWriteGrace = 50 * time.Millisecond

// closedCleanly tells, at the connection's end, whether all that was written on it was taken.
func (c *conn) closedCleanly() bool {
	select {
	case c.writeLock <- struct{}{}:
		<-c.writeLock
	default:
		timer := time.NewTimer(lastWriteGrace)
		defer timer.Stop()
		select {
		case c.writeLock <- struct{}{}:
			<-c.writeLock
		case <-timer.C:
			return false
		}
	}
	return !c.writeFailed.Load()
}

// read reads under the lock, so that nothing can come between a look for bytes and a write.
func (c *conn) read(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	if c.raw == nil {
		n, err := c.Conn.Read(b)
		c.counter.BytesRead(n)
		return n, err
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), b)
		}
		if c.drained = err == syscall.EAGAIN; c.drained {
			c.readerWaits.Broadcast()
		}
		return !c.drained
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0:
		return 0, io.EOF
	}
	c.counter.BytesRead(n)
	return n, nil
}

func (c *conn) Write(b []byte) (int, error) {
	a := c.attempt.Load()
	if a != nil {
		if !c.waitFresh(a) || a.alreadyWrittenOn(c) {
			c.Close()
			return 0, errConnUnusable
		}
		if !a.beginWrite(c) {
			return 0, errCanceledUnsent
		}
	}
	if a == nil || a.tracker == nil {
		n, err := c.Conn.Write(b)
		c.counter.BytesWritten(n)
		return n, err
	}
	c.writeLock <- struct{}{}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	<-c.writeLock
	c.counter.BytesWritten(n)
	if n > 0 {
		c.partlyTaken = a
	}
	if c.partlyTaken == a && (errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)) {
		// the host wants no more of it, and may have said why: its answer, or the end, is for the reader
		a.tracker.Wrote(len(b), nil)
		return len(b), nil
	}
	a.tracker.Wrote(n, err)
	return n, err
}

// waitFresh waits until the reader waits, and tells whether nothing has come since the last answer.
func (c *conn) waitFresh(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastWritten == a {
		return true
	}
	if c.writeFailed.Load() {
		return false
	}
	if c.raw == nil {
		c.lastWritten = a
		return !c.closed && !c.pending.Pending()
	}
	for !c.drained && !c.closed {
		c.readerWaits.Wait()
	}
	if c.closed {
		return false
	}
	var peekErr error
	err := c.raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	c.lastWritten = a
	return err == nil && peekErr == syscall.EAGAIN
}

// markIdle tells that a hand-off is over: the connection may make room unless another has it already.
func (c *conn) markIdle(a *attempt) {
	if c.attempt.Load() == a {
		c.slot.SetState(connlimit.StateIdle)
		if c.attempt.Load() != a {
			c.slot.SetState(connlimit.StateActive)
		}
	}
}

func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.readerWaits.Broadcast()
	c.mu.Unlock()
	defer c.slot.Release()
	defer c.counter.Closed()
	return c.Conn.Close()
}

// maxDials is how many connections to one host may be coming up at once. A burst that finds none idle would else
// open one for each hand-off, though those that end first serve the rest; each costs both sides work. With one or
// two, bursts waited for connections that came up one after another at a host that was slow already.
const maxDials = 8

// attemptKey names, in a dial's context, the one that ends when its hand-off needs no connection any more, and the hand-off
// in that.
type attemptKey struct{}

// host is what the pool has for one address.
type host struct {
	pool         *Pool
	address      string
	transport    *http.Transport
	dials        chan struct{} // holds one for each connection that is coming up
	preconnected chan *conn    // opened before there was a hand-off for them
	forgotten    atomic.Bool   // forgotten: nothing stays idle
}

// dial serves the transport, which dials as soon as no connection is idle and gives the hand-off the first that
// is; a dial that it needs no more by the time that there is room is not begun.
func (h *host) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if c := h.takePreconnected(); c != nil {
		return c, nil
	}
	connCtx := ctx.Value(attemptKey{}).(context.Context)
	a := connCtx.Value(attemptKey{}).(*attempt)
	select {
	case h.dials <- struct{}{}:
	case <-connCtx.Done():
		return nil, errCanceledUnsent
	}
	defer func() { <-h.dials }()
	slot := h.pool.limiter.Acquire(connCtx.Done())
	if slot == nil {
		return nil, errConnLimit
	}
	a.dialed.Store(true)
	c, err := h.connect(ctx, slot)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// connect opens a connection at its place.
func (h *host) connect(ctx context.Context, slot *connlimit.Slot) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, h.pool.ConnectTimeout)
	defer cancel()
	raw, err := h.pool.Dial(ctx, "tcp", h.address)
	if err != nil {
		slot.Release()
		return nil, err
	}
	c, err := newConn(raw, slot, h.pool.Observe, h.address)
	if err != nil {
		raw.Close()
		slot.Release()
		return nil, err
	}
	slot.Attach(connlimit.StateIdle, func() { c.Close() })
	return c, nil
}

// takePreconnected takes a connection that was opened ahead, if one is there and not too old.
func (h *host) takePreconnected() *conn {
	for {
		select {
		case c := <-h.preconnected:
			if time.Since(c.openedAt) < h.pool.IdleTimeout/2 {
				return c
			}
			c.Close()
		default:
			return nil
		}
	}
}

// maxPreconnected is how many connections to a host a router opens at most before it takes commands: about as many as few routers
// have in use at once, as the first commands would else wait together for as many to come up.
const maxPreconnected = 3

// Preconnect opens connections ahead to hosts, at most so many, one to each before the second to any, and those in half of
// the room. It returns once they are up or failed.
func (p *Pool) Preconnect(addresses []string, maxConns int) {
	var wait sync.WaitGroup
	for n := range maxPreconnected {
		for _, address := range addresses {
			if n > 0 && p.limiter.Len() > p.MaxConns/2 || maxConns <= 0 {
				break
			}
			maxConns--
			h, slot := p.host(address), p.limiter.TryAcquire()
			if slot == nil {
				break
			}
			wait.Go(func() {
				if c, err := h.connect(context.Background(), slot); err == nil {
					h.preconnected <- c
				}
			})
		}
	}
	wait.Wait()
}
