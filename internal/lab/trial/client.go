package trial

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

const (
	maxPipelined       = 4
	maxRequestsPerConn = 40 // the client closes a connection after this many requests

	// Bounds of a client's pause between exchanges.
	minRequestPause = 5 * time.Millisecond
	maxRequestPause = 80 * time.Millisecond
	reconnectPause  = 20 * time.Millisecond // after a refused connection

	idleOutOneIn  = 6                    // one in this many pauses of an idling client is close to the idle timeout
	idleOutSpread = 5 * time.Millisecond // maximum difference of such a pause from the idle timeout

	peekTimeout = 50 * time.Microsecond // just long enough to see data or a close that has already arrived
	readBuffer  = 16 << 10              // bytes
)

// trialClient sends requests in one style, one exchange after another.
type trialClient struct {
	rig   *rig
	name  string
	style Style
	rng   *rand.Rand
	count int // requests generated, for their IDs
}

// connection is a client's connection to a proxy.
type connection struct {
	net.Conn
	in        *bufio.Reader
	proxy     int
	requests  int           // number of requests in finished exchanges
	idleSince time.Duration // when the last exchange ended
	openedAt  time.Duration
}

// run sends requests until stop is closed or the recorder is full.
func (c *trialClient) run(stop <-chan struct{}) {
	var conn *connection
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for !c.rig.recorder.full() {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			conn = c.connect()
			if conn == nil {
				time.Sleep(reconnectPause)
				continue
			}
		}
		if !c.sendNext(conn) {
			conn.Close()
			conn = nil
		}
		time.Sleep(c.between(minRequestPause, maxRequestPause))
	}
}

// sendNext performs one exchange, of several requests for a pipelining client. It reports whether the connection may be reused.
func (c *trialClient) sendNext(conn *connection) bool {
	n := 1
	if c.style == Pipelined {
		n = 2 + c.rng.IntN(maxPipelined-1)
	}
	if c.style == Idling && conn.requests > 0 {
		time.Sleep(c.idlePause())
	}
	if conn.requests > 0 && conn.closedByPeer() {
		c.rig.counters.closedIdle.Add(1)
		return false
	}
	requests := make([]request, n)
	for i := range requests {
		requests[i] = c.drawRequest(conn.proxy)
	}
	conn.SetWriteDeadline(time.Now().Add(maxClientTimeout * time.Duration(n)))
	reusable := c.exchange(conn, requests)
	conn.requests += n
	conn.idleSince = c.rig.clock.now()
	return reusable && c.keeps(conn)
}

// keeps reports whether the client sends another request on a connection. A persistent client uses a connection until the proxy closes it,
// as long as the process runs.
func (c *trialClient) keeps(conn *connection) bool {
	switch c.style {
	case OneRequest:
		return false
	case Persistent:
		return true
	}
	return conn.requests < maxRequestsPerConn
}

// idlePause returns a random idle time that is either well below the shortest idle timeout or close to it.
func (c *trialClient) idlePause() time.Duration {
	pause := c.between(minIdleTimeout/10, minIdleTimeout*4/5)
	if c.rng.IntN(idleOutOneIn) == 0 {
		pause = minIdleTimeout + c.between(-idleOutSpread, idleOutSpread)
	}
	return pause
}

// closedByPeer reports whether the proxy has closed the connection, or sent unexpected data, as far as the client can see yet.
func (c *connection) closedByPeer() bool {
	c.SetReadDeadline(time.Now().Add(peekTimeout))
	_, err := c.in.Peek(1)
	c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// connect opens a connection to a random proxy, which may be terminating or down. It returns nil if the connection fails.
func (c *trialClient) connect() *connection {
	proxy := c.rng.IntN(len(c.rig.proxies))
	opened := c.rig.clock.now()
	conn, err := net.DialTimeout("tcp", addressOf(c.rig.layout.proxyIP(proxy), frontPort), time.Second)
	if err != nil {
		c.rig.counters.refusedConnections.Add(1)
		return nil
	}
	return &connection{Conn: conn, in: bufio.NewReaderSize(conn, readBuffer), proxy: proxy, openedAt: opened}
}

// between returns a random duration in [low, high).
func (c *trialClient) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}
