package proxy

import (
	"net/http"
	"time"
)

const (
	// acceptAfterTerm is the maximum time for which a draining proxy serves new requests. If a request that is sent more than 3 s
	// after SIGTERM is served, it must be completed, however little is left of the grace period.
	acceptAfterTerm = 2800 * time.Millisecond
	// Drain calls finishConnections finishReserve before three quarters of the grace period have passed.
	finishReserve = 200 * time.Millisecond
	// finishPollInterval is the time between two checks whether all connections are finished.
	finishPollInterval = 5 * time.Millisecond
)

// Drain stops serving clients gracefully. The proxy is not ready from now on, and closes each connection after its next answer. New
// requests are served for at most half of the grace period and refused after that. Requests that were received can complete until Drain
// returns, shortly before the grace period ends.
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

// finishConnections closes the listener once no connection is waiting to be accepted, because closing it resets those. It then closes
// idle connections and waits for the answers on those that are new or have a request. All waits together are limited by the given time.
// http.Server.Shutdown is unsuitable: once it is called, a connection on which a request is read is closed without an answer.
func (p *Proxy) finishConnections(within time.Duration) {
	began := time.Now()
	front := *p.front.Load()
	for backlog(front) > 0 && time.Since(began) < within {
		time.Sleep(finishPollInterval)
	}
	front.Close()
	select { // the last accepted connections have been counted by then
	case <-p.acceptDone:
	case <-time.After(within - time.Since(began)):
	}
	p.server.Load().SetKeepAlivesEnabled(false) // closes idle connections, now and as soon as they become idle
	for p.unfinished.Load() > 0 && time.Since(began) < within {
		time.Sleep(finishPollInterval)
	}
}

// unfinished records the new state of a connection, and returns by how much it changes the number of connections that are new or have a
// request.
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

// Close closes the connections to hosts. It must be called only after the context passed to Start is done.
func (p *Proxy) Close() { p.upstreams.Shutdown() }
