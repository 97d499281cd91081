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

// limitedListener bounds the number of open connections. At the limit, it accepts a new connection only after it has closed one that
// is not in use.
type limitedListener struct {
	net.Listener
	limiter *connlimit.Limiter
	meter   *export.Meter // nil if flow export is disabled
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

// clientConn observes what net/http does not pass to a handler: how a request is framed, and whether more bytes follow it. Clients
// must not pipeline requests, so no bytes may be received between the end of a request and its response.
type clientConn struct {
	net.Conn
	slot           *connlimit.Slot
	flow           *export.Conn
	mu             sync.Mutex       // guards head and awaitingAnswer
	head           httpframing.Head // of the current request
	awaitingAnswer bool             // the request has been read, and its response has not begun
	pipelined      chan struct{}    // buffered; gets a value when bytes are received while awaitingAnswer is true
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

// requestRead is called when a request with a body of this length has been read. It returns false if the connection received more or
// fewer body bytes, or several Content-Length fields. Otherwise the connection awaits the answer.
func (c *clientConn) requestRead(body int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingAnswer = c.head.BodyBytes == body && c.head.Lengths <= 1
	if c.awaitingAnswer {
		c.slot.SetState(connlimit.StateActive)
	}
	return c.awaitingAnswer
}

// beginResponse is called before a response is written. Bytes received from then on belong to the next request.
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
