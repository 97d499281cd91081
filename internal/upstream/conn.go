package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"portflow/internal/connlimit"
)

var (
	errCanceledUnsent = errors.New("attempt canceled before it was written")
	errConnLimit      = errors.New("connection limit reached")
	errConnUnusable   = errors.New("connection is closed, or not usable for this request")
	errNotPollable    = errors.New("connection implements neither syscall.Conn nor PendingConn")
)

// conn is a connection to a host. Before an attempt is written on it, it checks that the attempt was not canceled and
// that nothing has been received since the last response. The transport doesn't check this: it writes as soon as it has
// a connection, and would read any bytes that the host sent after the last response as the next one.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	pending  PendingConn // used if raw is nil
	slot     *connlimit.Slot
	counter  ConnCounter
	openedAt time.Time
	attempt  atomic.Pointer[attempt] // last attempt that the transport gave the connection to; nil before the first

	mu            sync.Mutex // guards drained, closed and lastChecked
	readerBlocked sync.Cond  // signaled when drained or closed becomes true
	drained       bool       // the reader is blocked and has read everything received so far
	closed        bool
	lastChecked   *attempt // last attempt that waitReusable checked the connection for

	partlyWritten *attempt      // last attempt with a successful write; used only by Write
	writeLock     chan struct{} // semaphore, held during a write of an attempt with a tracker
	writeFailed   atomic.Bool   // a write under writeLock failed
}

func newConn(c net.Conn, slot *connlimit.Slot, observe Observer, to string) (*conn, error) {
	wrapped := &conn{
		Conn:      c,
		slot:      slot,
		openedAt:  time.Now(),
		writeLock: make(chan struct{}, 1),
		counter:   observe(to, c.LocalAddr(), c.RemoteAddr()),
	}
	wrapped.readerBlocked.L = &wrapped.mu
	if s, ok := c.(syscall.Conn); ok {
		raw, err := s.SyscallConn()
		if err != nil {
			return nil, err
		}
		wrapped.raw = raw
		return wrapped, nil
	}
	pending, ok := c.(PendingConn)
	if !ok {
		return nil, errNotPollable
	}
	wrapped.pending = pending
	return wrapped, nil
}

// PendingConn is implemented by connections without a file descriptor, such as in-memory connections of tests. Pending
// reports whether data or the end of the stream is waiting to be read.
type PendingConn interface{ Pending() bool }

// Read implements net.Conn. It returns io.ErrUnexpectedEOF instead of io.EOF if a tracked write failed: the write may
// have consumed the error of a connection reset, and a response delimited by the end of the connection would look complete.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if err != nil && errors.Is(err, io.EOF) && !c.closedCleanly() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// lastWriteGrace is how long Read waits at EOF for a write in progress. A write whose bytes the host has received
// returns well within it.
const lastWriteGrace = 50 * time.Millisecond

// closedCleanly reports, at EOF, whether all tracked writes have succeeded. A write that is still in progress after
// lastWriteGrace counts as failed.
func (c *conn) closedCleanly() bool {
	select {
	case c.writeLock <- struct{}{}:
		<-c.writeLock
		return !c.writeFailed.Load()
	default:
	}
	timer := time.NewTimer(lastWriteGrace)
	defer timer.Stop()
	select {
	case c.writeLock <- struct{}{}:
		<-c.writeLock
		return !c.writeFailed.Load()
	case <-timer.C:
		return false
	}
}

func (c *conn) read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if c.raw == nil {
		n, err := c.Conn.Read(b)
		c.counter.BytesRead(n)
		return n, err
	}
	return c.readRaw(b)
}

// readRaw reads and updates drained in one critical section. Otherwise waitReusable could run between the two, see an old
// value of drained and an empty socket, and miss the bytes that were just read.
func (c *conn) readRaw(b []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), b)
		}
		c.drained = err == syscall.EAGAIN
		if c.drained {
			c.readerBlocked.Broadcast()
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

// Write implements net.Conn. It writes nothing for an attempt that was canceled, and closes the connection if it is not
// usable for the attempt.
func (c *conn) Write(b []byte) (int, error) {
	a := c.attempt.Load()
	if a != nil {
		if err := c.beginWrite(a); err != nil {
			return 0, err
		}
	}
	if a != nil && a.tracker != nil {
		return c.writeTracked(a, b)
	}
	n, err := c.Conn.Write(b)
	c.counter.BytesWritten(n)
	return n, err
}

// beginWrite returns nil if the attempt may be written on this connection. It closes the connection and returns
// errConnUnusable if the connection is not usable for the attempt, and returns errCanceledUnsent if the attempt itself may
// no longer be written.
func (c *conn) beginWrite(a *attempt) error {
	if !c.waitReusable(a) || a.alreadyWrittenOn(c) {
		c.discard()
		return errConnUnusable
	}
	if !a.beginWrite(c) {
		return errCanceledUnsent
	}
	return nil
}

func (c *conn) writeTracked(a *attempt, b []byte) (int, error) {
	c.writeLock <- struct{}{}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	<-c.writeLock
	c.counter.BytesWritten(n)
	if n > 0 {
		c.partlyWritten = a
	}
	if c.partlyWritten == a && isPeerClosed(err) {
		// The host stopped reading the request, perhaps after sending a response. Report success, so that the transport
		// goes on to read the response or the end of the connection.
		a.tracker.Wrote(len(b), nil)
		return len(b), nil
	}
	a.tracker.Wrote(n, err)
	return n, err
}

func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// waitReusable reports whether the connection is open and nothing has been received since the last response. It first waits
// until the reader has read everything received so far. Once an attempt has been checked, it is not checked again.
func (c *conn) waitReusable(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastChecked == a {
		return true
	}
	if c.writeFailed.Load() {
		return false
	}
	if c.raw == nil {
		c.lastChecked = a
		return !c.closed && !c.pending.Pending()
	}
	for !c.drained && !c.closed {
		c.readerBlocked.Wait()
	}
	if c.closed {
		return false
	}
	var peekErr error
	err := c.raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	c.lastChecked = a
	return err == nil && peekErr == syscall.EAGAIN
}

// markIdle makes the connection evictable after an attempt has ended, unless another attempt already uses it. The second
// check covers an attempt that gets the connection during the call.
func (c *conn) markIdle(a *attempt) {
	if c.attempt.Load() != a {
		return
	}
	c.slot.SetState(connlimit.StateIdle)
	if c.attempt.Load() != a {
		c.slot.SetState(connlimit.StateActive)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.readerBlocked.Broadcast()
	c.mu.Unlock()
	defer c.slot.Release()
	defer c.counter.Closed()
	return c.Conn.Close()
}

// discard closes a connection that is no longer needed. An error is ignored, because nothing depends on the connection any more.
func (c *conn) discard() { _ = c.Close() }
