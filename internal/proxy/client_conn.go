package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
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
	readingHeader connPhase = iota // the first or the rest of a request's head
	idle                           // the next request, of which nothing has come
	handling                       // the handler: its deadlines are its own
)

func (p connPhase) String() string {
	return [...]string{"reading head", "idle", "handling"}[p]
}

// clientConn is a client's connection. It replaces the deadlines that net/http sets by those of the limits in force, and follows how
// requests are framed, which net/http doesn't tell.
type clientConn struct {
	net.Conn
	slot   *connlimit.Slot
	cuts   *cutCounts           // nil where nobody counts
	limits func() config.Limits // those in force

	mu                sync.Mutex // guards what follows
	phase             connPhase
	since             time.Time // when the phase's deadline was set last
	idleTimeout       int64     // nanoseconds, as the present request was received
	evicting          bool      // its slot is wanted for another connection
	counted           bool      // its end has been counted
	unfinishedRequest bool      // it is new, or a request on it isn't answered yet
	answered          bool      // the last request has its complete answer, and the connection is not idle yet
	pipelined         bool      // something came while a request was at work: net/http no longer watches for the client's end then
	framing           httpframing.Stream
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnOf is the connection of a request, nil where it came by none of this process's listener.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// Read reads on past a deadline that no longer holds, and answers a head that is longer than the limits in force.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		n, err = c.Conn.Read(b)
	}
	c.observe(b[:n], len(b))
	if c.headerTooLarge() {
		c.rejectHeader()
		return 0, &net.OpError{Op: "read", Err: errHeaderTooLarge} // about which net/http writes nothing to the client
	}
	return n, err
}

// observe follows the framing of what was read into a buffer of this size.
func (c *clientConn) observe(read []byte, bufferSize int) {
	c.mu.Lock()
	headerStarted := len(read) > 0 && (c.phase == idle || c.phase == readingHeader && !c.framing.Begun())
	if headerStarted {
		c.phase = readingHeader
		c.evicting = false
	}
	if len(read) == 1 && bufferSize == 1 { // the read by which net/http watches for the client's end
		c.pipelined = true
	}
	c.framing.Read(read)
	c.mu.Unlock()
	if headerStarted {
		c.slot.SetState(connlimit.StateReading)
	}
}

// phaseTimeout is how long the present phase may last by the limits in force; the caller holds the lock.
func (c *clientConn) phaseTimeout() time.Duration {
	if c.phase == idle {
		return time.Duration(c.limits().IdleTimeout)
	}
	return time.Duration(c.limits().HeaderTimeout)
}

// SetReadDeadline replaces the deadlines of idle connections and of heads, which net/http has from the limits that stood when
// its server was made, by those of the limits in force.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.readDeadline(t))
}

// readDeadline is the deadline to set in place of the one that net/http asks for.
func (c *clientConn) readDeadline(requested time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.phase == handling || !requested.After(now) {
		return requested
	}
	c.since = now
	if c.evicting {
		return pastDeadline
	}
	return now.Add(c.phaseTimeout())
}

// pastDeadline is a deadline at which a read returns at once.
var pastDeadline = time.Unix(1, 0)

// extendDeadline reports, at a deadline or where the connection's slot is wanted, whether there is more time: the limits may have
// been raised since the deadline was set, and a request may have arrived in the moment of the deadline.
func (c *clientConn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling {
		return false
	}
	if !c.framing.Begun() && c.peek() == peekBytes {
		c.phase = readingHeader
		c.since = time.Now()
		c.evicting = false
	}
	if deadline := c.since.Add(c.phaseTimeout()); !c.evicting && time.Now().Before(deadline) {
		return c.Conn.SetReadDeadline(deadline) == nil
	}
	if !c.counted { // net/http may read again after a deadline
		c.counted = true
		c.cuts.add(c.deadlineCause())
	}
	return false
}

// deadlineCause is why the connection ends at its read deadline; the caller holds the lock.
func (c *clientConn) deadlineCause() cutCause {
	switch {
	case c.evicting:
		return cutEvicted
	case c.phase == idle:
		return cutIdleTimeout
	}
	return cutHeaderTimeout
}

// beginRequest begins to handle a request, and returns how it is framed. A nil connection knows nothing of that.
func (c *clientConn) beginRequest() httpframing.Fields {
	if c == nil {
		return httpframing.Fields{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = handling
	c.idleTimeout = c.limits().IdleTimeout
	c.evicting = false
	c.answered = false
	return c.framing.Next()
}

// markIdle notes that the connection's request has its answer. The beginning of the next one may have come behind it.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = false
	c.phase = idle
	if c.framing.Begun() {
		c.phase = readingHeader
	}
}

// evict ends the connection, whose slot is wanted for another, by its read deadline: then its reader alone decides, and what has
// come by that moment is served. net/http reports a connection as active only once it has read a complete head.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling || c.framing.Whole() {
		return
	}
	c.evicting = true
	c.Conn.SetReadDeadline(pastDeadline)
}

// Close ends the connection so that its client can read the last answer, and releases its slot.
func (c *clientConn) Close() error {
	defer c.slot.Release()
	c.linger()
	return c.Conn.Close()
}
