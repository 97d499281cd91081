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

const sendWindow = 256 << 10 // bytes in flight above which writes block

// conn is one end of a TCP connection.
type conn struct {
	network       *Network
	local, remote *net.TCPAddr
	in, out       *pipe
	peer          *conn     // the other end
	once          sync.Once // for Close, reset and loseSilently: only the first of them takes effect

	mu            sync.Mutex // guards the fields below
	writeDeadline time.Time
	closed        bool
	powerLost     bool // the machine of this end lost power
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

// Pending reports whether Read would return without waiting.
func (c *conn) Pending() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.readable()
}

// Write blocks while the send window is full. A write whose data the network drops succeeds, but resets the connection.
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

// awaitWindow blocks until the send window is no longer exceeded; c.out.mu must be held.
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

// linkState is the state of the link between the machines of a connection, as seen by the sender.
type linkState struct {
	blocked    bool // segments don't reach the other end
	ackBlocked bool // acknowledgements don't reach this end
	frozen     bool // the sender's machine is frozen
}

// countSent adds to the bytes sent over the connection's link and returns the current state of the link.
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

// send sends a segment; c.out.mu must be held.
func (c *conn) send(seg segment) {
	state := c.countSent(len(seg.data))
	if !state.blocked && c.out.readerLost { // the other machine is powered on again and doesn't know the connection
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

// arrival returns the arrival time of a segment that is sent now, or zero if an earlier segment is held up; c.out.mu must be held.
func (c *conn) arrival() time.Time {
	queued := len(c.out.segments)
	if queued > 0 && c.out.segments[queued-1].arrivesAt.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(c.network.Delay(c.local.IP.String(), c.remote.IP.String()))
}

// failBothWays fails both directions of the connection.
func (c *conn) failBothWays(err error) {
	c.in.fail(err)
	c.out.fail(err)
}

// abortIfStalled aborts the connection with ETIMEDOUT if segments that this end sent are still held up.
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

// abortIfUnacknowledged aborts the connection with ETIMEDOUT if the link back to this end is blocked, so that acknowledgements
// can't arrive.
func (c *conn) abortIfUnacknowledged() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	ackBlocked := c.network.isBlocked(to, from)
	c.network.mu.Unlock()
	if ackBlocked {
		c.failBothWays(syscall.ETIMEDOUT)
	}
}

// resume sends the segments that were held up, unless the link is still blocked.
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

// Close closes this end. The other end reads the data in flight and then the end of the stream.
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
		if unread { // like TCP, reset the connection if it is closed with unread data
			c.afterDelay(func() { c.peer.in.fail(syscall.ECONNRESET) })
		}
		c.afterDelay(func() { c.peer.out.fail(syscall.EPIPE) })
		c.unregister()
	})
	return nil
}

// afterDelay calls f after the link's one-way delay, unless the link is blocked by then.
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

// reset aborts the connection: at this end immediately, at the other end when the reset arrives there.
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

// loseSilently ends the connection at this end without notice to the other end.
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
