package fairway

import (
	"net/http"
	"time"
)

// finishLook is the time between two looks at whether all connections are done with.
const finishLook = 5 * time.Millisecond

// finish ends the service of clients: once none waits to be accepted no connection is taken any more, idle ones are closed, and those
// that are new or have a request get its answer, for so long at the most. A listener that is closed resets those that wait. http.Server.Shutdown won't do: from its beginning on the server closes a connection without
// an answer once it has read a request on it.
func (f *Fairway) finish(within time.Duration) {
	began := time.Now()
	front := *f.front.Load()
	for backlog(front) > 0 && time.Since(began) < within {
		time.Sleep(finishLook)
	}
	front.Close()
	select { // what was accepted last is counted by then
	case <-f.accepted:
	case <-time.After(within):
	}
	f.server.Load().SetKeepAlivesEnabled(false) // it closes idle connections, also those that become idle later
	for f.unfinished.Load() > 0 && time.Since(began) < within {
		time.Sleep(finishLook)
	}
}

// unfinished tells by how much a connection's new state changes the number of those that are new or have a request.
func (c *caller) unfinished(s http.ConnState) int64 {
	awaited := s == http.StateNew || s == http.StateActive
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.awaited
	c.awaited = awaited
	switch {
	case awaited && !was:
		return 1
	case was && !awaited:
		return -1
	}
	return 0
}
