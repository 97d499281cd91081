package simulation

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const sendWindow = 256 << 10 // bytes that may be in flight

// conn is one side of a TCP connection.
type conn struct {
	network       *Network
	local, remote *net.TCPAddr
	in, out       *pipe
	peer          *conn     // the other side
	once          sync.Once // of its end, in whichever way

	mu            sync.Mutex // guards what follows
	writeDeadline time.Time
	closed        bool
	powerLost     bool // its machine lost power
}

var _ net.Conn = (*conn)(nil)

func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.in.read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		err = &net.OpError{Op: "read", Err: err}
	}
	return n, err
}

// Pending reports whether bytes, or the end of the stream, can be read now.
func (c *conn) Pending() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.readable()
}

// Write waits while the send window is full. A write that the network loses succeeds, and resets the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline, closed, powerLost := c.writeDeadline, c.closed, c.powerLost
	c.mu.Unlock()
	if closed || powerLost {
		return 0, net.ErrClosed
	}
	if c.network.dropsNext(c.local.IP.String(), c.remote.IP.String()) {
		c.reset()
		return len(b), nil
	}
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if err := c.awaitWindow(deadline); err != nil {
		return 0, &net.OpError{Op: "write", Err: err}
	}
	c.send(segment{data: append([]byte(nil), b...)})
	return len(b), nil
}

// awaitWindow waits until the send window has room; c.out.mu is held.
func (c *conn) awaitWindow(deadline time.Time) error {
	out := c.out
	for out.buffered > sendWindow && out.err == nil {
		if !deadline.IsZero() && !deadline.After(time.Now()) {
			return os.ErrDeadlineExceeded
		}
		if !deadline.IsZero() {
			out.wakeAt(deadline)
		}
		out.changed.Wait()
	}
	if out.err != nil {
		return syscall.EPIPE
	}
	return nil
}

// linkState is what a connection's way is like now.
type linkState struct {
	blocked    bool // nothing reaches the other side
	ackBlocked bool // nothing of the other side reaches this one
	frozen     bool // this side's machine is frozen
}

// countSent counts bytes that are sent, and returns the state of the way.
func (c *conn) countSent(bytes int) linkState {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.SentBytes[link{from, to}] += int64(bytes)
	return linkState{
		blocked:    c.network.isBlocked(from, to),
		ackBlocked: c.network.isBlocked(to, from),
		frozen:     c.network.frozen[from],
	}
}

// send sends a segment; c.out.mu is held.
func (c *conn) send(seg segment) {
	state := c.countSent(len(seg.data))
	if !state.blocked && c.out.readerLost { // the other machine has power again, and doesn't know the connection
		c.afterDelay(func() { c.failBothWays(syscall.ECONNRESET) })
	}
	if !state.blocked && state.ackBlocked {
		time.AfterFunc(c.network.AckTimeout, c.abortIfUnacknowledged)
	}
	if !state.blocked {
		seg.arrivesAt = c.arrival()
	} else if !state.frozen {
		time.AfterFunc(c.network.AckTimeout, c.abortIfStalled)
	}
	c.out.segments = append(c.out.segments, seg)
	c.out.buffered += len(seg.data)
	c.out.changed.Broadcast()
}

// arrival returns when a segment that is sent now arrives, zero behind one that is held up; c.out.mu is held.
func (c *conn) arrival() time.Time {
	queued := len(c.out.segments)
	if queued > 0 && c.out.segments[queued-1].arrivesAt.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(c.network.Delay(c.local.IP.String(), c.remote.IP.String()))
}

// failBothWays ends this side.
func (c *conn) failBothWays(err error) {
	c.in.fail(err)
	c.out.fail(err)
}

// abortIfStalled ends this side if some of what it sent is still held up.
func (c *conn) abortIfStalled() {
	c.out.mu.Lock()
	stalled := false
	for _, seg := range c.out.segments {
		stalled = stalled || seg.arrivesAt.IsZero()
	}
	if stalled {
		c.out.segments, c.out.buffered = nil, 0
	}
	c.out.mu.Unlock()
	if stalled {
		c.failBothWays(syscall.ETIMEDOUT)
	}
}

// abortIfUnacknowledged ends this side if the way back is still blocked, so that nothing of what it sent was acknowledged.
func (c *conn) abortIfUnacknowledged() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	ackBlocked := c.network.isBlocked(to, from)
	c.network.mu.Unlock()
	if ackBlocked {
		c.failBothWays(syscall.ETIMEDOUT)
	}
}

// resume sends what a partition held up, if its way is no longer blocked.
func (c *conn) resume() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	blocked := c.network.isBlocked(from, to)
	c.network.mu.Unlock()
	if blocked {
		return
	}
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	for i := range c.out.segments {
		if c.out.segments[i].arrivesAt.IsZero() {
			c.out.segments[i].arrivesAt = time.Now().Add(c.network.Delay(from, to))
		}
	}
	c.out.changed.Broadcast()
}

// unregister removes the connection from the network.
func (c *conn) unregister() {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
}

// Close ends this side: the other reads what was sent, then the end of the stream.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.in.mu.Lock()
		unread := c.in.buffered > 0
		c.in.mu.Unlock()
		c.in.fail(net.ErrClosed)
		c.out.mu.Lock()
		c.send(segment{fin: true})
		c.out.mu.Unlock()
		if unread { // as TCP does, closing with unread bytes resets the connection
			c.afterDelay(func() { c.peer.in.fail(syscall.ECONNRESET) })
		}
		c.afterDelay(func() { c.peer.out.fail(syscall.EPIPE) })
		c.unregister()
	})
	return nil
}

// afterDelay calls a function once a packet that is sent now has reached the other side, unless the way is blocked then.
func (c *conn) afterDelay(f func()) {
	from, to := c.local.IP.String(), c.remote.IP.String()
	time.AfterFunc(c.network.Delay(from, to), func() {
		c.network.mu.Lock()
		blocked := c.network.isBlocked(from, to)
		c.network.mu.Unlock()
		if !blocked {
			f()
		}
	})
}

// reset ends this side at once, and the other as soon as the reset reaches it.
func (c *conn) reset() {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.in.fail(net.ErrClosed)
		c.afterDelay(func() { c.peer.failBothWays(syscall.ECONNRESET) })
		c.out.fail(net.ErrClosed)
		c.unregister()
	})
}

// loseSilently ends this side, which the other doesn't see.
func (c *conn) loseSilently() {
	c.once.Do(func() {
		c.mu.Lock()
		c.powerLost = true
		c.mu.Unlock()
		c.in.mu.Lock()
		c.in.readerLost = true
		c.in.changed.Broadcast()
		c.in.mu.Unlock()
		c.unregister()
	})
}

func (c *conn) LocalAddr() net.Addr { return c.local }

func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.deadline = t
	c.in.changed.Broadcast()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

func newConnPair(network *Network, from, to *net.TCPAddr) (*conn, *conn) {
	outbound, inbound := newPipe(), newPipe()
	client := &conn{network: network, local: from, remote: to, in: inbound, out: outbound}
	server := &conn{network: network, local: to, remote: from, in: outbound, out: inbound}
	client.peer, server.peer = server, client
	return client, server
}
