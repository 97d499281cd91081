package ingress

import (
	"context"
	"net"
	"sync"

	"portflow/internal/connlimit"
	"portflow/internal/httpframing"
	"portflow/internal/router/flow"
	"portflow/internal/router/flow/export"
)

// limitedListener keeps a server's connections within their room; where it is full, one that is of no use is closed for
// one that comes.
type limitedListener struct {
	net.Listener
	limiter *connlimit.Limiter
	meter   *export.Meter // nil where nothing is counted
}

func (l *limitedListener) Accept() (net.Conn, error) {
	slot := l.limiter.Acquire(nil)
	raw, err := l.Listener.Accept()
	if err != nil {
		slot.Release()
		return nil, err
	}
	conn := &clientConn{Conn: raw, slot: slot, pipelined: make(chan struct{}, 1)}
	conn.flow = l.meter.Open(flow.Label{Side: flow.Clients}, export.Address(raw.RemoteAddr()), export.Address(raw.LocalAddr()))
	slot.Attach(connlimit.StateNew, func() { conn.Close() })
	return conn, nil
}

// clientConn sees what net/http does not tell a handler: how the bytes of a command are framed, and what comes
// after them. Clients send one command at a time, so nothing may come until it is answered.
type clientConn struct {
	net.Conn
	slot           *connlimit.Slot
	flow           *export.Conn
	mu             sync.Mutex
	head           httpframing.Head
	awaitingAnswer bool          // a command is whole, and not answered
	pipelined      chan struct{} // gets one for what comes then
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.flow.BytesRead(n)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.awaitingAnswer {
			select {
			case c.pipelined <- struct{}{}:
			default:
			}
		} else {
			if !c.head.Started {
				c.head.Started = true
				c.slot.SetState(connlimit.StateReading)
			}
			c.head.Read(b[:n])
		}
	}
	return n, err
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.flow.BytesWritten(n)
	return n, err
}

func (c *clientConn) Close() error {
	defer c.slot.Release()
	defer c.flow.Close(false)
	return c.Conn.Close()
}

// requestRead tells that a command with a body of this length was read, and whether the bytes that came are just that.
func (c *clientConn) requestRead(body int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingAnswer = c.head.BodyBytes == body && c.head.Lengths <= 1
	if c.awaitingAnswer {
		c.slot.SetState(connlimit.StateActive)
	}
	return c.awaitingAnswer
}

// answering tells that the answer goes out now: what comes next is another command.
func (c *clientConn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flow.Answered()
	c.awaitingAnswer, c.head = false, httpframing.Head{}
	select {
	case <-c.pipelined:
	default:
	}
	c.slot.SetState(connlimit.StateIdle)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
