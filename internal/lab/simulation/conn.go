package simulation

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one side of a connection.
type conn struct {
	network       *Network
	local, remote *net.TCPAddr
	in, out       *pipe
	peer          *conn
	once          sync.Once
	mu            sync.Mutex
	writeDeadline time.Time
	closed        bool
	powerLost     bool // its machine lost power
}

func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.in.read(b)
	if err != nil && err != io.EOF {
		err = &net.OpError{Op: "read", Err: err}
	}
	return n, err
}

// Pending tells whether bytes, or the end, can be read now.
func (c *conn) Pending() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.readable()
}

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
	out := c.out
	out.mu.Lock()
	defer out.mu.Unlock()
	for out.buffered > sendWindow && out.err == nil {
		if !deadline.IsZero() && !deadline.After(time.Now()) {
			return 0, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
		}
		if !deadline.IsZero() {
			out.wakeAt(deadline)
		}
		out.changed.Wait()
	}
	if out.err != nil {
		return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
	}
	c.send(segment{data: append([]byte(nil), b...)})
	return len(b), nil
}

// send sends a piece; the half is locked.
func (c *conn) send(seg segment) {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	blocked, ackBlocked, frozen := c.network.isBlocked(from, to), c.network.isBlocked(to, from), c.network.frozen[from]
	c.network.SentBytes[[2]string{from, to}] += int64(len(seg.data))
	c.network.mu.Unlock()
	if !blocked && c.out.readerLost { // its power is back, and it knows nothing of the connection
		c.afterDelay(func() {
			c.in.fail(syscall.ECONNRESET)
			c.out.fail(syscall.ECONNRESET)
		})
	}
	if !blocked && ackBlocked {
		time.AfterFunc(c.network.AckTimeout, func() { c.abortIfUnacknowledged() })
	}
	if !blocked {
		seg.arrivesAt = time.Now().Add(c.network.Delay(from, to))
		if queued := len(c.out.segments); queued > 0 && c.out.segments[queued-1].arrivesAt.IsZero() {
			seg.arrivesAt = time.Time{} // behind what is held up
		}
	} else if !frozen {
		time.AfterFunc(c.network.AckTimeout, func() { c.abortIfStalled() })
	}
	c.out.segments = append(c.out.segments, seg)
	c.out.buffered += len(seg.data)
	c.out.changed.Broadcast()
}

// abortIfStalled ends this side if what it sent is still held up.
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
		c.in.fail(syscall.ETIMEDOUT)
		c.out.fail(syscall.ETIMEDOUT)
	}
}

// abortIfUnacknowledged ends this side if the way back is still cut, so that nothing of what it sent was acknowledged.
func (c *conn) abortIfUnacknowledged() {
	from, to := c.local.IP.String(), c.remote.IP.String()
	c.network.mu.Lock()
	ackBlocked := c.network.isBlocked(to, from)
	c.network.mu.Unlock()
	if ackBlocked {
		c.in.fail(syscall.ETIMEDOUT)
		c.out.fail(syscall.ETIMEDOUT)
	}
}

// resume lets what a cut held up go on.
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

func (c *conn) unregister() {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
}

// Close ends this side: the other reads what was sent, then the end.
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
		if unread { // closing with unread bytes resets
			c.afterDelay(func() { c.peer.in.fail(syscall.ECONNRESET) })
		}
		c.afterDelay(func() { c.peer.out.fail(syscall.EPIPE) })
		c.unregister()
	})
	return nil
}

// afterDelay does something at the other side, once word of it can be there; never over a cut.
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

// reset ends both sides at once.
func (c *conn) reset() {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.in.fail(net.ErrClosed)
		c.afterDelay(func() {
			c.peer.in.fail(syscall.ECONNRESET)
			c.peer.out.fail(syscall.ECONNRESET)
		})
		c.out.fail(net.ErrClosed)
		c.unregister()
	})
}

// loseSilently ends this side without a word to the other.
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
	c.SetReadDeadline(t)
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

const sendWindow = 256 << 10 // bytes that may be under way
