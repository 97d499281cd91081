package proxy

import (
	"net/http"
	"time"
)

// finishPollInterval is the time between two looks at whether all connections are done with.
const finishPollInterval = 5 * time.Millisecond

// finishConnections ends the service of clients: once none waits to be accepted no connection is taken any more, idle ones are closed, and those
// that are new or have a request get its answer, for so long at the most. A listener that is closed resets those that wait. http.Server.Shutdown won't do: from its beginning on the server closes a connection without
// an answer once it has read a request on it.
func (p *Proxy) finishConnections(within time.Duration) {
	began := time.Now()
	front := *p.front.Load()
	for backlog(front) > 0 && time.Since(began) < within {
		time.Sleep(finishPollInterval)
	}
	front.Close()
	select { // what was accepted last is counted by then
	case <-p.accepted:
	case <-time.After(within):
	}
	p.server.Load().SetKeepAlivesEnabled(false) // it closes idle connections, also those that become idle later
	for p.unfinished.Load() > 0 && time.Since(began) < within {
		time.Sleep(finishPollInterval)
	}
}

// unfinished tells by how much a connection's new state changes the number of those that are new or have a request.
func (c *clientConn) unfinished(s http.ConnState) int64 {
	awaited := s == http.StateNew || s == http.StateActive
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.unfinishedRequest
	c.unfinishedRequest = awaited
	switch {
	case awaited && !was:
		return 1
	case was && !awaited:
		return -1
	}
	return 0
}
