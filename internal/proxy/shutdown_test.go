package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request that is read during shutdown must be rejected with a response, so that the client knows that it did not run. The connection must
// not be closed without one.
func TestRequestDuringShutdown(t *testing.T) {
	c := qt.New(t)
	h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "x"), true })
	p, addr := startProxy(t, h)
	qt.Check(t, status(exchange(t, addr, "GET", "/look/x", "before", "")), qt.Equals, "200")
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	waitUntil(t, func() bool { return p.unfinished.Load() == 1 }) // the server has accepted the connection and received nothing on it
	p.draining.Store(true)
	p.refusing.Store(true)
	finished := make(chan bool)
	go func() {
		p.finishConnections(10 * time.Second)
		close(finished)
	}()
	waitUntil(t, func() bool { // the listener is closed
		x, err := net.Dial("tcp", addr)
		if err == nil {
			x.Close()
		}
		return err != nil
	})
	fmt.Fprint(conn, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: late\r\n\r\n")
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 503)
	c.Check(resp.Close, qt.IsTrue)
	conn.Close()
	<-finished
	c.Check(p.unfinished.Load(), qt.Equals, int64(0))
	c.Check(countWrites(h)["late"], qt.Equals, 0)
}

// gatedNetwork is a network whose listeners accept only once allow is closed. Until then connections wait in the backlog.
type gatedNetwork struct {
	*loopback
	allow                chan bool
	backlogReads, closed atomic.Int64 // number of SyscallConn calls, which read the backlog, and of closed listeners
}

func (g *gatedNetwork) Listen(address string) (net.Listener, error) {
	l, err := g.loopback.Listen(address)
	if err != nil {
		return nil, err
	}
	return &gatedListener{l.(*net.TCPListener), g}, nil
}

type gatedListener struct {
	*net.TCPListener
	gatedNetwork *gatedNetwork
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gatedNetwork.allow
	return l.TCPListener.Accept()
}

func (l *gatedListener) Close() error {
	l.gatedNetwork.closed.Add(1)
	return l.TCPListener.Close()
}

func (l *gatedListener) SyscallConn() (syscall.RawConn, error) {
	l.gatedNetwork.backlogReads.Add(1)
	return l.TCPListener.SyscallConn()
}

// Connections that wait in the backlog during shutdown must be accepted and their requests rejected. Closing the listener must not reset them.
func TestBacklogDuringShutdown(t *testing.T) {
	c := qt.New(t)
	g := &gatedNetwork{loopback: &loopback{}, allow: make(chan bool)}
	p, addr := startProxyOn(t, g, g.loopback)
	p.draining.Store(true)
	p.refusing.Store(true)
	var conns []net.Conn
	for n := range 5 {
		conn, err := net.Dial("tcp", addr)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		fmt.Fprintf(conn, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: waits-%d\r\n\r\n", n)
		conns = append(conns, conn)
	}
	waitUntil(t, func() bool { return p.front.Load() != nil })
	go p.finishConnections(10 * time.Second)
	waitUntil(t, func() bool { return g.backlogReads.Load() > 1 || g.closed.Load() > 0 })
	close(g.allow)
	for _, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 503)
	}
}
