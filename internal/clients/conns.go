package clients

import (
	"net"
	"net/http"
	"sync"
)

// connections keeps a server's connections within a number: from nine tenths of it on, connections are closed
// after their answers, and idle ones to make room. At the number, new ones wait until one has gone.
type connections struct {
	room chan struct{} // holds one for each connection
	mu   sync.Mutex
	idle map[net.Conn]struct{}
}

func newConnections(most int) *connections {
	return &connections{room: make(chan struct{}, most), idle: map[net.Conn]struct{}{}}
}

func (c *connections) many() bool { return len(c.room) >= cap(c.room)*9/10 }

func (c *connections) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[conn] = struct{}{}
	} else {
		delete(c.idle, conn)
	}
}

// spare closes an idle connection, if there is one.
func (c *connections) spare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		delete(c.idle, conn)
		conn.Close()
		return
	}
}

func (c *connections) listen(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	conns *connections
}

func (l *listener) Accept() (net.Conn, error) {
	if l.conns.many() {
		l.conns.spare()
	}
	l.conns.room <- struct{}{}
	raw, err := l.Listener.Accept()
	if err != nil {
		<-l.conns.room
		return nil, err
	}
	return &clientConn{Conn: raw, room: l.conns.room}, nil
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
