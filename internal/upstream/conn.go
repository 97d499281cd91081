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
	errCanceledUnsent = errors.New("canceled before it was written")
	errConnLimit      = errors.New("no room for another connection")
	errConnUnusable   = errors.New("the connection has ended, or has brought more than its last answer")
	errNotPollable    = errors.New("a connection that can't say whether bytes wait on it")
)

// conn is a connection to a host. Before an attempt is written on it, it checks that the attempt still stands, and that
// nothing has come since the last answer: what a host sends after an answer would otherwise be read as the next one. The
// transport does not check that: it writes as soon as it has a connection, and reads what is there as the answer.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	pending  PendingConn // in place of raw, for a connection that is not the operating system's
	slot     *connlimit.Slot
	counter  ConnCounter
	openedAt time.Time
	attempt  atomic.Pointer[attempt]

	mu          sync.Mutex // guards the fields up to lastWritten
	readerWaits sync.Cond  // signaled when the reader waits, or the connection is closed
	drained     bool       // the reader waits, so all that had come was read
	closed      bool
	lastWritten *attempt // the attempt that was written last

	partlyTaken *attempt      // the attempt of which the host has taken bytes; only Write uses it
	writeLock   chan struct{} // holds one token while bytes of an attempt with a tracker are written
	writeFailed atomic.Bool   // such a write failed
}

func newConn(c net.Conn, slot *connlimit.Slot, observe Observer, to string) (*conn, error) {
	wrapped := &conn{
		Conn:      c,
		slot:      slot,
		openedAt:  time.Now(),
		writeLock: make(chan struct{}, 1),
		counter:   observe(to, c.LocalAddr(), c.RemoteAddr()),
	}
	wrapped.readerWaits.L = &wrapped.mu
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

// PendingConn is a connection that isn't the operating system's, as of tests in memory. Pending says whether bytes, or its
// end, wait to be read.
type PendingConn interface{ Pending() bool }

// Read implements net.Conn. An end after a write that failed is io.ErrUnexpectedEOF: the write may have consumed the
// report of a reset, and the end then reads like an orderly one, so that an answer that ends with its connection would
// look complete.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if err != nil && errors.Is(err, io.EOF) && !c.closedCleanly() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// lastWriteGrace is for a write in progress while the end is read: one that the host has taken returns well within it.
const lastWriteGrace = 50 * time.Millisecond

// closedCleanly says, at the connection's end, whether the host took all that was written on it.
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

// readRaw reads under the lock, so that no byte can come between waitFresh's look and the write that follows it.
func (c *conn) readRaw(b []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; {
			n, err = syscall.Read(int(fd), b)
		}
		c.drained = err == syscall.EAGAIN
		if c.drained {
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

// Write implements net.Conn. It refuses an attempt that does not stand any more, and closes a connection that is not fit
// for it.
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

// beginWrite returns an error unless the attempt's bytes may be written on this connection.
func (c *conn) beginWrite(a *attempt) error {
	if !c.waitFresh(a) || a.alreadyWrittenOn(c) {
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
		c.partlyTaken = a
	}
	if c.partlyTaken == a && isPeerClosed(err) {
		// The host wants no more of the request, and may have said why: its answer, or the end, is for the reader.
		a.tracker.Wrote(len(b), nil)
		return len(b), nil
	}
	a.tracker.Wrote(n, err)
	return n, err
}

func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// waitFresh waits until the reader waits, and says whether nothing has come since the last answer.
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

// markIdle says that an attempt is over: the connection may be evicted, unless another attempt has it already.
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
	c.readerWaits.Broadcast()
	c.mu.Unlock()
	defer c.slot.Release()
	defer c.counter.Closed()
	return c.Conn.Close()
}

// discard closes a connection that is of no further use, so that an error in closing it matters to nobody.
func (c *conn) discard() { _ = c.Close() }
