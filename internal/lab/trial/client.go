package trial

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	largest = 256 << 10 // bytes of an answer beyond which proxies pass it on as it comes

	idleLow      = 2 * time.Second // the shortest idle-timeout-s that operators set
	idleHigh     = 8 * time.Second
	bodyLow      = 1 << 20 // the smallest body-bytes
	headerLow    = 4096    // the smallest header-bytes
	pipelineMost = 4
	longestWait  = 5 * time.Second
	patience     = 1500 * time.Millisecond // that a client has beyond what it told, so that a late answer is told from none
	perConn      = 40                      // requests that a kept connection is used for at most
)

// trialClient is one that asks again and again in one style.
type trialClient struct {
	rig   *rig
	name  string
	style Style
	zone  int
	rng   *rand.Rand
	count int
}

// connection is one to a proxy.
type connection struct {
	net.Conn
	in    *bufio.Reader
	proxy int
	used  int
	since time.Duration // when the last exchange ended
	at    time.Duration // when it was opened
}

// query is a request before it is sent.
type query struct {
	attempt Attempt
	method  string
	path    string
	body    int
	chunked bool
	answer  int
	padded  bool          // its head is long
	pause   time.Duration // between the head and the body, and within it
	wait    time.Duration // that the client has
}

// run asks until the trial's requests are over.
func (c *trialClient) run(stop <-chan struct{}) {
	var conn *connection
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for !c.rig.book.full() {
		select {
		case <-stop:
			return
		default:
		}
		if conn == nil {
			conn = c.connect()
			if conn == nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		if !c.use(conn) {
			conn.Close()
			conn = nil
		}
		time.Sleep(c.between(5*time.Millisecond, 80*time.Millisecond))
	}
}

// use sends what the client's style sends at once, and reports whether the connection is used again.
func (c *trialClient) use(conn *connection) bool {
	n := 1
	if c.style == Pipelined {
		n = 2 + c.rng.IntN(pipelineMost-1)
	}
	if c.style == Resting && conn.used > 0 {
		rest := c.between(idleLow/10, idleLow*4/5)
		if c.rng.IntN(6) == 0 { // as the connection idles out
			rest = idleLow + c.between(-5*time.Millisecond, 5*time.Millisecond)
		}
		time.Sleep(rest)
	}
	if conn.used > 0 && conn.over() {
		c.rig.sums.closedIdle.Add(1)
		return false
	}
	all := make([]query, n)
	for i := range all {
		all[i] = c.query(conn.proxy)
	}
	conn.SetWriteDeadline(time.Now().Add(longestWait * time.Duration(n)))
	keeps := c.exchange(conn, all)
	conn.used, conn.since = conn.used+n, c.rig.clock.now()
	return keeps && c.style != Fresh && conn.used < perConn
}

// over reports whether the proxy has ended the connection, as far as the client has heard.
func (c *connection) over() bool {
	c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := c.in.Peek(1)
	c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return !(errors.As(err, &timeout) && timeout.Timeout())
}

// connect opens a connection to a proxy by chance, also to one that ends.
func (c *trialClient) connect() *connection {
	proxy := c.rng.IntN(len(c.rig.proxies))
	opened := c.rig.clock.now()
	conn, err := net.DialTimeout("tcp", at(proxyIP(proxy), frontPort), time.Second)
	if err != nil {
		c.rig.sums.refusedConnections.Add(1)
		return nil
	}
	return &connection{Conn: conn, in: bufio.NewReaderSize(conn, 16<<10), proxy: proxy, at: opened}
}

func (c *trialClient) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// query draws a request.
func (c *trialClient) query(proxy int) query {
	c.count++
	r := c.rig.traffic[c.rng.IntN(len(c.rig.traffic))]
	q := query{method: "GET", path: r.prefix, answer: c.rng.IntN(2000), wait: c.between(longestWait/2, longestWait)}
	q.attempt = Attempt{ID: fmt.Sprintf("%s-%06d", c.name, c.count), Proxy: proxy, Style: c.style, Idempotent: r.idempotent,
		MaxAttempts: trafficAttempts, Timeout: r.timeoutLow}
	if !r.idempotent || c.rng.IntN(4) == 0 {
		q.method = "POST"
		q.body = 1 + c.rng.IntN(3000)
		if c.rng.IntN(8) == 0 {
			q.body = 50_000 + c.rng.IntN(bodyLow/2)
		}
		q.chunked = c.rng.IntN(3) == 0
		if c.rng.IntN(10) == 0 {
			q.pause = c.between(time.Millisecond, 150*time.Millisecond)
		}
	}
	if c.rng.IntN(30) == 0 {
		q.answer = largest + 1 + c.rng.IntN(1<<20)
		q.attempt.Stream = true
	}
	q.padded = c.rng.IntN(12) == 0
	q.path = path(r.prefix, q.body, q.answer)
	q.attempt.Path = q.method + " " + q.path
	return q
}

// exchange writes requests one behind the other while it reads their answers. It reports whether the connection may be used on.
func (c *trialClient) exchange(conn *connection, all []query) bool {
	wrote := make([]chan error, len(all)) // each gets the outcome of one write; closed where that is not begun
	for n := range wrote {
		wrote[n] = make(chan error, 1)
	}
	go c.writeAll(conn, all, wrote)
	over := ""
	for n := range all {
		err, begun := <-wrote[n]
		if !begun {
			return false
		}
		a := &all[n].attempt
		if n > 0 { // a proxy reads it, and its time begins, once the one before is answered
			a.Deadline = c.rig.clock.now() + all[n].wait
		}
		if over != "" {
			a.Outcome, a.Detail = Behind, over
		} else {
			c.read(conn, &all[n], err == nil)
		}
		a.EndedAt = c.rig.clock.now()
		if err != nil {
			a.Detail += ", " + err.Error()
		}
		if over == "" && (a.Outcome != Complete || strings.HasSuffix(a.Detail, closes)) {
			over = fmt.Sprintf("behind %s: outcome %d, %s", a.ID, a.Outcome, a.Detail)
			conn.SetWriteDeadline(time.Now()) // what is being written behind it is not read any more
		}
		c.rig.book.ended(*a)
	}
	return over == ""
}

// writeAll writes requests until one of them can't be written.
func (c *trialClient) writeAll(conn *connection, all []query, wrote []chan error) {
	failed := false
	for n := range all {
		if failed {
			close(wrote[n])
			continue
		}
		a := &all[n].attempt
		a.ConnectedAt, a.BeganAt = conn.at, c.rig.clock.now()
		a.Deadline = a.BeganAt + all[n].wait
		if conn.used > 0 && n == 0 {
			a.Rested = a.BeganAt - conn.since
		}
		err := write(conn, all[n])
		a.SentAt = c.rig.clock.now()
		wrote[n] <- err
		failed = err != nil
	}
}

// write puts one request on the wire.
func write(conn *connection, q query) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\n", q.method, q.path, siteName, q.attempt.ID,
		q.wait.Milliseconds())
	if q.padded {
		fmt.Fprintf(&head, "X-Padding: %s\r\n", strings.Repeat("p", headerLow/2))
	}
	body := pattern(q.attempt.ID, q.body)
	switch {
	case q.chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case q.method == "POST":
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	default:
		head.WriteString("\r\n")
	}
	if q.pause == 0 && !q.chunked {
		_, err := conn.Write(append([]byte(head.String()), body...))
		return err
	}
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return err
	}
	step := max(1, len(body)/3)
	for n := 0; n < len(body); n += step {
		time.Sleep(q.pause)
		piece := body[n:min(len(body), n+step)]
		if q.chunked {
			piece = []byte(fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	if q.chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// closes ends the detail of an answer after which the proxy closes the connection.
const closes = "closes"

// read takes one answer.
func (c *trialClient) read(conn *connection, q *query, sent bool) {
	a := &q.attempt
	conn.SetReadDeadline(time.Now().Add(a.Deadline - c.rig.clock.now() + patience))
	resp, err := http.ReadResponse(conn.in, &http.Request{Method: q.method})
	if err != nil {
		a.Outcome, a.Detail = broken(err, sent), "no head: "+err.Error()
		return
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Outcome, a.Detail = broken(err, true), fmt.Sprintf("%d bytes of an answer: %v", len(body), err)
		return
	}
	a.Outcome = Complete
	if a.Status == http.StatusOK {
		if len(body) != q.answer || !patterned(body, a.ID) || resp.Header.Get("Attempt-Id") != a.ID {
			a.Outcome, a.Detail = Garbled, fmt.Sprintf("%d bytes of %d, id %q", len(body), q.answer, resp.Header.Get("Attempt-Id"))
		}
	}
	if resp.Close {
		a.Detail += closes
	}
}

// broken is the outcome of an answer that could not be read.
func broken(err error, sent bool) Outcome {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return Silent
	case !sent:
		return Unsent
	}
	return Cut
}
