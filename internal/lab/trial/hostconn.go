package trial

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// hostListener accepts the connections of an instance as hostConns.
type hostListener struct {
	net.Listener
	instance *instance
}

func (l hostListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hostConn{Conn: conn, instance: l.instance}, nil
}

// hostConn is a connection of an instance. It records requests whose response can't be written: the server writes a short response only
// after the handler has returned, so the handler doesn't learn of it.
type hostConn struct {
	net.Conn
	instance *instance

	mu      sync.Mutex
	request string // ID of the last request on the connection
}

// hostConnKey is the key of the hostConn in the context of a request.
type hostConnKey struct{}

// withHostConn is an http.Server.ConnContext hook.
func withHostConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, hostConnKey{}, conn)
}

// beginRequest sets the request that the next writes on its connection belong to.
func beginRequest(r *http.Request, id string) {
	if conn, ok := r.Context().Value(hostConnKey{}).(*hostConn); ok {
		conn.mu.Lock()
		conn.request = id
		conn.mu.Unlock()
	}
}

// Write writes to the connection. If that fails, it records who closed the connection before the response was complete: the instance's
// own server or the proxy.
func (c *hostConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	id := c.request
	c.mu.Unlock()
	if errors.Is(err, net.ErrClosed) {
		c.instance.recordAborted(id)
	} else {
		c.instance.recordAbandoned(id)
	}
	return n, err
}
