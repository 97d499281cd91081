package proxy

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A proxy that was starved of processor time took longer than its grace period to drain, because the waits for the backlog and for the last
// accepted connections each had the entire limit. All waits together must stay within it.
func TestFinishConnectionsLimit(t *testing.T) {
	const limit = time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	waiting, err := net.Dial("tcp", listener.Addr().String()) // is never accepted
	qt.Assert(t, err, qt.IsNil)
	defer waiting.Close()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &Proxy{acceptDone: make(chan struct{})} // is never closed, as by a server that is still accepting a connection
		p.front.Store(&listener)
		p.server.Store(&http.Server{})
		p.unfinished.Add(1)
		c.Assert(backlog(listener), qt.Equals, 1)
		began := time.Now()
		p.finishConnections(limit)
		c.Check(time.Since(began) <= limit+finishPollInterval, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	})
}
