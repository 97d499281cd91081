package proxy

import (
	"net/http"
	"time"
)

// acceptAfterTerm is for how long after Leave a router takes requests at the most: what is sent later than 3 s after a SIGTERM has a right to
// its end, whatever is left of the grace.
const acceptAfterTerm = 2800 * time.Millisecond

// Drain ends the service: out of the directory and not ready at once, connections closed after their next answer. Who still comes
// is served for a while, then refused, with leave to go elsewhere at once, until shortly before the grace ends; what was taken has
// at least half of the grace to be finished.
func (p *Proxy) Drain() {
	p.draining.Store(true)
	p.reportStatus()
	grace := time.Duration(p.Settings.Terms.Grace)
	takes := min(acceptAfterTerm, grace/2)
	time.Sleep(takes)
	p.refusing.Store(true)
	time.Sleep(grace*3/4 - 200*time.Millisecond - takes)
	p.finishConnections(grace / 5)
	p.LogCounters()
}

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

// Close lets the connections to hosts go; the context that it was started with has ended.
func (p *Proxy) Close() { p.upstreams.Shutdown() }
