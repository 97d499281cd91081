package clients

import (
	"net"
	"sync"
)

// connections keeps a server's connections within a number; at it, new ones wait until a client closes one. None is
// closed to make room: clients open another for it, which costs both sides more than a command does.
type connections struct {
	net.Listener
	room chan struct{} // holds one for each connection
}

func (c *connections) Accept() (net.Conn, error) {
	c.room <- struct{}{}
	raw, err := c.Listener.Accept()
	if err != nil {
		<-c.room
		return nil, err
	}
	return &clientConn{Conn: raw, room: c.room}, nil
}

type clientConn struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

func (c *clientConn) Close() error {
	defer c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}
