package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// rudeClient is a client that pipelines requests, or disconnects before they are answered.
type rudeClient struct {
	*faultyHostRun
	conn net.Conn
	ids  []string // request IDs
}

// Behaviours of rude clients, chosen with equal probability.
const (
	abandonBody = iota
	abandonRequest
	pipeline
	pipelineLongBodies
	rudeBehaviours
)

const (
	rudeRequests = 3 // per client
	shortBody    = "Content-Length: 9\r\n\r\n123456789"
	goneOutcome  = "gone" // outcome of a request whose client disconnected
)

// runRudeClients starts rude clients in a zone until duration has passed, each with its own connection.
func (r *faultyHostRun) runRudeClients(zoneIndex int, duration time.Duration) {
	process := r.Network.Process(fmt.Sprintf("10.%d.201.1", zoneIndex+1))
	deadline := time.Now().Add(duration)
	for n := 0; time.Now().Before(deadline); n++ {
		time.Sleep(time.Duration(50+r.intn(200)) * time.Millisecond)
		behaviour, address := r.intn(rudeBehaviours), r.pickProxy(zoneIndex)
		r.background.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, time.Second)
			defer cancel()
			nc, err := process.Dial(ctx, "tcp", address)
			if err != nil {
				return
			}
			defer nc.Close()
			client := &rudeClient{faultyHostRun: r, conn: nc}
			for k := range rudeRequests {
				client.ids = append(client.ids, fmt.Sprintf("visit-%d-%d-%d", zoneIndex, n, k))
			}
			client.run(behaviour)
		})
	}
}

func (c *rudeClient) run(behaviour int) {
	switch behaviour {
	case abandonBody:
		c.abandonBody()
	case abandonRequest:
		c.abandonRequest()
	case pipelineLongBodies:
		c.count("long bodies")
		c.pipeline(fmt.Sprintf("Content-Length: %d\r\n\r\n", 5*sendWindow) + strings.Repeat("b", 5*sendWindow))
	default:
		c.pipeline(shortBody)
	}
}

// request returns an unsafe request; body begins with the remaining header fields.
func (c *rudeClient) request(id, body string) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nTime-Remaining: 2000\r\n%s", unsafeRoute.Prefix, id, body)
}

// write writes to the proxy. Errors are ignored: a client that needs the response detects them when reading.
func (c *rudeClient) write(text string) { _, _ = io.WriteString(c.conn, text) }

// record sets the outcome of a request; goneOutcome doesn't replace a known outcome.
func (c *rudeClient) record(id, outcome string) {
	c.Cluster.mu.Lock()
	defer c.Cluster.mu.Unlock()
	c.requests = append(c.requests, time.Now())
	if c.outcomes[id] == "" || outcome != goneOutcome {
		c.outcomes[id] = outcome
	}
}

// leave waits up to millis milliseconds and then resets the connection or leaves the close to the caller, at random.
func (c *rudeClient) leave(millis int) {
	time.Sleep(time.Duration(c.intn(millis)) * time.Millisecond)
	if c.intn(2) == 0 {
		c.conn.(*conn).reset()
	}
}

// abandonBody disconnects in the middle of a body: no host may run an incomplete request.
func (c *rudeClient) abandonBody() {
	first := c.request(c.ids[0], shortBody)
	c.write(first[:len(first)-1-c.intn(8)])
	c.leave(200)
	c.count("half a body")
}

// abandonRequest disconnects after sending a complete request.
func (c *rudeClient) abandonRequest() {
	c.record(c.ids[0], goneOutcome)
	c.write(c.request(c.ids[0], shortBody))
	c.leave(150)
	c.count("client gone")
}

// pipeline sends all requests without waiting, and reads the responses.
func (c *rudeClient) pipeline(body string) {
	requests := ""
	for _, id := range c.ids {
		c.record(id, goneOutcome)
		requests += c.request(id, body)
	}
	c.background.Go(func() { c.write(requests) })
	c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	reader := bufio.NewReader(c.conn)
	for _, id := range c.ids {
		if !c.readAnswer(reader, id) {
			break
		}
	}
	c.count("pipelined")
}

// readAnswer reads the response to one request, and reports whether the connection stays usable.
func (c *rudeClient) readAnswer(reader *bufio.Reader, id string) bool {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	c.record(id, fmt.Sprint(resp.StatusCode))
	if resp.StatusCode == 200 && !strings.HasSuffix(string(body), " ran "+id) {
		c.violation("MIXED: %s got %q", id, body)
	}
	return !resp.Close
}
