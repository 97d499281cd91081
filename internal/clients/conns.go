package clients

import (
	"net"
	"sync"
)

// connections keeps a server's connections within a number. Shortly before it they are closed after their answers,
// never between them: a command that comes just then would be lost. At the number, new ones wait.
type connections struct {
	net.Listener
	room chan struct{} // holds one for each connection
}

func (c *connections) many() bool { return len(c.room) >= cap(c.room)*19/20 }

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
