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

// connPhase is the phase of a client's connection. It determines the read deadline.
type connPhase uint8

const (
	readingHeader connPhase = iota // new connection, or a request header is incomplete
	idle                           // between requests; no byte of the next one was received
	handling                       // the handler is running and sets its own deadlines
)

func (p connPhase) String() string {
	return [...]string{"reading header", "idle", "handling"}[p]
}

// clientConn is a connection from a client. It replaces the deadlines that net/http sets with those of the current limits, and tracks the
// framing of requests, which net/http doesn't expose completely.
type clientConn struct {
	net.Conn
	slot   *connlimit.Slot
	cuts   *cutCounts           // may be nil
	limits func() config.Limits // returns the current limits

	mu                sync.Mutex // guards the fields below
	phase             connPhase
	since             time.Time // start of the current timeout of the phase
	idleTimeout       int64     // nanoseconds, from the limits when the current request was received
	evicting          bool      // its slot is needed for another connection
	counted           bool      // its cut has been counted
	unfinishedRequest bool      // the connection is new, or a request on it has no complete response yet
	answered          bool      // the last request has its complete response, and the connection is not idle yet
	pipelined         bool      // bytes came while a request was handled, so net/http no longer detects a disconnect
	framing           httpframing.Stream
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnOf returns the connection of a request, or nil if the request didn't come through a limitedListener.
func clientConnOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// Read implements net.Conn. It continues past a deadline that has been extended, and rejects a request header that exceeds the current limits.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		n, err = c.Conn.Read(b)
	}
	c.observe(b[:n], len(b))
	if c.headerTooLarge() {
		c.rejectHeader()
		return 0, &net.OpError{Op: "read", Err: errHeaderTooLarge} // net/http sends no response after a read error
	}
	return n, err
}

// observe passes bytes to the framing parser; bufferSize is the size of the buffer that they were read into.
func (c *clientConn) observe(read []byte, bufferSize int) {
	c.mu.Lock()
	headerStarted := len(read) > 0 && (c.phase == idle || c.phase == readingHeader && !c.framing.Begun())
	if headerStarted {
		c.phase = readingHeader
		c.evicting = false
	}
	if len(read) == 1 && bufferSize == 1 { // net/http's background read, which detects a disconnect
		c.pipelined = true
	}
	c.framing.Read(read)
	c.mu.Unlock()
	if headerStarted {
		c.slot.SetState(connlimit.StateReading)
	}
}

// phaseTimeout returns the timeout of the current phase by the current limits. The caller holds mu.
func (c *clientConn) phaseTimeout() time.Duration {
	if c.phase == idle {
		return time.Duration(c.limits().IdleTimeout)
	}
	return time.Duration(c.limits().HeaderTimeout)
}

// SetReadDeadline implements net.Conn. net/http sets deadlines for headers and idle connections by the limits of when its server was created;
// SetReadDeadline replaces them with deadlines by the current limits.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.readDeadline(t))
}

// readDeadline returns the deadline to set instead of the one that net/http requested.
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

// pastDeadline is a deadline that makes reads return at once.
var pastDeadline = time.Unix(1, 0)

// extendDeadline is called when a read has hit its deadline, as it also does on eviction. It sets a later deadline and returns true if the
// limits have been raised since, or if a request arrived at that moment.
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
	if !c.counted { // net/http may read again after a timeout
		c.counted = true
		c.cuts.add(c.deadlineCause())
	}
	return false
}

// deadlineCause returns why the connection is closed at its read deadline. The caller holds mu.
func (c *clientConn) deadlineCause() cutCause {
	switch {
	case c.evicting:
		return cutEvicted
	case c.phase == idle:
		return cutIdleTimeout
	}
	return cutHeaderTimeout
}

// beginRequest enters the handling phase and returns the framing of the request, which is zero for a nil connection.
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

// markIdle is called when the connection's request has its response. Part of the next request may have been received already.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = false
	c.phase = idle
	if c.framing.Begun() {
		c.phase = readingHeader
	}
}

// evict closes the connection to free its slot for another one. It only sets a read deadline in the past: the reader then closes the
// connection, unless a request has arrived in the meantime. The limiter may choose a connection whose request header is complete, because
// net/http reports it as active only after reading the header; evict leaves it open.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling || c.framing.HeaderComplete() {
		return
	}
	c.evicting = true
	c.Conn.SetReadDeadline(pastDeadline)
}

// Close closes the connection in a way that lets the client read the last response, and releases its slot.
func (c *clientConn) Close() error {
	defer c.slot.Release()
	c.linger()
	return c.Conn.Close()
}
