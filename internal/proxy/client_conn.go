package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
	"portflow/internal/httpframing"
)

// connPhase is what a client's connection is waiting for.
type connPhase uint8

const (
	readingHead connPhase = iota // the first or the rest of a request's head
	idling                       // the next request, of which nothing has come
	handling                     // the handler: its deadlines are its own
)

// clientConn is a client's connection. It sees how a request is framed, which net/http doesn't tell.
type clientConn struct {
	net.Conn
	slot              *connlimit.Slot
	cuts              *cutCounts // nil where nobody counts
	limits            func() config.Limits
	mu                sync.Mutex
	phase             connPhase
	since             time.Time // when the phase's deadline was set last
	idleFor           int64     // nanoseconds, as the present request was taken
	evicting          bool      // its place is wanted for another connection
	counted           bool      // it has been counted
	unfinishedRequest bool      // it is new, or a request on it isn't answered yet
	answered          bool      // the last request has its whole answer, and the connection does not stand idle yet
	pipelined         bool      // something has come while a request was at work: the library looks for a client's end no more then
	framing           httpframing.Stream
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
		n, err = c.Conn.Read(b)
	}
	if c.observe(b[:n], len(b)); c.overlong() {
		c.refuseHead()
		return 0, &net.OpError{Op: "read", Err: errLongHead} // which net/http says nothing of to the client
	}
	return n, err
}

// observe takes what was read into a buffer of this size.
func (c *clientConn) observe(read []byte, size int) {
	c.mu.Lock()
	begins := len(read) > 0 && (c.phase == idling || c.phase == readingHead && !c.framing.Begun())
	if begins {
		c.phase, c.evicting = readingHead, false
	}
	c.pipelined = c.pipelined || len(read) == 1 && size == 1 // as it looks
	c.framing.Read(read)
	c.mu.Unlock()
	if begins {
		c.slot.SetState(connlimit.StateReading)
	}
}

// SetReadDeadline replaces the deadlines of idle connections and of heads, which net/http has from the limits that stood when
// its server was made, by those of the limits in force.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if now := time.Now(); c.phase != handling && t.After(now) {
		c.since = now
		if t = now.Add(c.allowed()); c.evicting {
			t = time.Unix(1, 0)
		}
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// allowed is how long the present phase may last by the limits in force; the caller holds the lock.
func (c *clientConn) allowed() time.Duration {
	if c.phase == idling {
		return time.Duration(c.limits().IdleTimeout)
	}
	return time.Duration(c.limits().HeaderTimeout)
}

// extend tells, at a deadline or where its place is wanted, whether there is more time: the limits may have been raised since it was set, and a request may
// have arrived in the moment of the deadline.
func (c *clientConn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling {
		return false
	}
	if !c.framing.Begun() && c.peek() == bytesWait {
		c.phase, c.since, c.evicting = readingHead, time.Now(), false
	}
	if due := c.since.Add(c.allowed()); !c.evicting && time.Now().Before(due) {
		return c.Conn.SetReadDeadline(due) == nil
	}
	if !c.counted { // net/http may read again after a deadline
		c.counted = true
		c.cuts.add(c.why())
	}
	return false
}

// why is the cause for which the connection ends at its read deadline; the caller holds the lock.
func (c *clientConn) why() cutCause {
	switch {
	case c.evicting:
		return cutRoom
	case c.phase == idling:
		return cutIdle
	}
	return cutHead
}

// beginRequest begins a request, and tells how it is framed.
func (c *clientConn) beginRequest() httpframing.Fields {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleFor, c.evicting, c.answered = handling, c.limits().IdleTimeout, false, false
	return c.framing.Next()
}

// markIdle tells that the connection's request has its answer. The beginning of the next one may have come behind it.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = false
	if c.phase = idling; c.framing.Begun() {
		c.phase = readingHead
	}
}

func (c *clientConn) Close() error {
	defer c.slot.Release()
	c.linger()
	return c.Conn.Close()
}

// evict ends the connection, whose place is wanted for another, by its read deadline: then its reader alone decides, and what has
// come by that moment is served. net/http says only once it has read a whole head that a connection is in use.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling || c.framing.Whole() {
		return
	}
	c.evicting = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}
