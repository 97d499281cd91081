package proxy

import (
	"net/http"
	"time"
)

const (
	// acceptAfterTerm is the most time for which a draining proxy serves new requests: one that is sent later than 3 s after a
	// SIGTERM has a right to be finished, whatever is left of the grace.
	acceptAfterTerm = 2800 * time.Millisecond
	// finishReserve is left of three quarters of the grace as connections begin to be finished.
	finishReserve = 200 * time.Millisecond
	// finishPollInterval is the time between two checks of whether all connections are finished.
	finishPollInterval = 5 * time.Millisecond
)

// Drain ends the service of clients. The proxy is not ready at once, and connections are closed after their next answer. New requests
// are served for a while, then refused, until shortly before the grace ends; what was received has at least half of the grace to be
// finished.
func (p *Proxy) Drain() {
	p.draining.Store(true)
	p.reportStatus()
	grace := time.Duration(p.Settings.Terms.Grace)
	serveNew := min(acceptAfterTerm, grace/2)
	time.Sleep(serveNew)
	p.refusing.Store(true)
	time.Sleep(grace*3/4 - finishReserve - serveNew)
	p.finishConnections(grace / 5)
	p.LogCounters()
}

// finishConnections stops accepting connections once none waits to be accepted, as closing a listener resets those. Idle connections
// are closed, and those that are new or have a request get its answer, all within the given time. http.Server.Shutdown won't do: once
// it has begun, the server closes a connection without an answer after it has read a request on it.
func (p *Proxy) finishConnections(within time.Duration) {
	began := time.Now()
	front := *p.front.Load()
	for backlog(front) > 0 && time.Since(began) < within {
		time.Sleep(finishPollInterval)
	}
	front.Close()
	select { // what was accepted last is counted by then
	case <-p.acceptDone:
	case <-time.After(within):
	}
	p.server.Load().SetKeepAlivesEnabled(false) // it closes idle connections, also those that become idle later
	for p.unfinished.Load() > 0 && time.Since(began) < within {
		time.Sleep(finishPollInterval)
	}
}

// unfinished returns by how much a connection's new state changes the number of those that are new or have a request.
func (c *clientConn) unfinished(state http.ConnState) int64 {
	is := state == http.StateNew || state == http.StateActive
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.unfinishedRequest
	c.unfinishedRequest = is
	switch {
	case is && !was:
		return 1
	case was && !is:
		return -1
	}
	return 0
}

// Close closes the connections to hosts; the context that the process was started with has ended.
func (p *Proxy) Close() { p.upstreams.Shutdown() }
