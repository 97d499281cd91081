package trial

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	streamThreshold = 256 << 10 // response size in bytes beyond which proxies stream the body
	maxStreamExtra  = 1 << 20   // maximum size in bytes beyond streamThreshold
	maxSmallAnswer  = 2000      // bytes
	maxSmallBody    = 3000
	minLargeBody    = 50_000
	bodyChunks      = 3 // approximate number of writes for a chunked or slow body

	maxClientTimeout = 5 * time.Second
	// Bounds of the pause before each piece of a slow body.
	minBodyPause = time.Millisecond
	maxBodyPause = 150 * time.Millisecond

	// Each property applies to one in this many requests.
	safePostOneIn  = 4 // among safe requests
	largeBodyOneIn = 8
	chunkedOneIn   = 3
	slowBodyOneIn  = 10
	streamOneIn    = 30
	paddedOneIn    = 12
)

// request is a generated request and, in attempt, its result.
type request struct {
	attempt      Attempt
	method       string
	path         string
	bodyBytes    int
	chunked      bool
	answerBytes  int
	paddedHeader bool
	pause        time.Duration // before each piece of the body
	timeout      time.Duration // sent in the Time-Remaining header
}

// drawRequest returns a random request for a proxy.
func (c *trialClient) drawRequest(proxy int) request {
	c.count++
	r := c.rig.traffic[c.rng.IntN(len(c.rig.traffic))]
	q := request{
		method:      http.MethodGet,
		answerBytes: c.rng.IntN(maxSmallAnswer),
		timeout:     c.between(maxClientTimeout/2, maxClientTimeout),
	}
	q.attempt = Attempt{
		ID:          fmt.Sprintf("%s-%06d", c.name, c.count),
		Proxy:       proxy,
		Style:       c.style,
		Idempotent:  r.idempotent,
		MaxAttempts: trafficAttempts,
		Timeout:     r.minTimeout,
		Remaining:   q.timeout,
	}
	if !r.idempotent || c.rng.IntN(safePostOneIn) == 0 {
		c.drawBody(&q)
	}
	if c.rng.IntN(streamOneIn) == 0 {
		q.answerBytes = streamThreshold + 1 + c.rng.IntN(maxStreamExtra)
		q.attempt.Stream = true
	}
	q.paddedHeader = c.rng.IntN(paddedOneIn) == 0
	q.path = requestPath(r.prefix, q.bodyBytes, q.answerBytes)
	q.attempt.Path = q.method + " " + q.path
	return q
}

// drawBody turns a request into a POST with a random body size and transfer.
func (c *trialClient) drawBody(q *request) {
	q.method = http.MethodPost
	q.bodyBytes = 1 + c.rng.IntN(maxSmallBody)
	if c.rng.IntN(largeBodyOneIn) == 0 {
		q.bodyBytes = minLargeBody + c.rng.IntN(minBodyBytes/2)
	}
	q.chunked = c.rng.IntN(chunkedOneIn) == 0
	if c.rng.IntN(slowBodyOneIn) == 0 {
		q.pause = c.between(minBodyPause, maxBodyPause)
	}
}

// head returns the request line and the header, with the blank line at its end.
func (q request) head() string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.path, siteName)
	fmt.Fprintf(&head, "Attempt-Id: %s\r\nTime-Remaining: %d\r\n", q.attempt.ID, q.timeout.Milliseconds())
	if q.paddedHeader {
		fmt.Fprintf(&head, "X-Padding: %s\r\n", strings.Repeat("p", minHeaderBytes/2))
	}
	switch {
	case q.chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case q.method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", q.bodyBytes)
	}
	head.WriteString("\r\n")
	return head.String()
}

// writeTo writes the request, with a single Write if it is neither chunked nor slow.
func (q request) writeTo(conn io.Writer) error {
	body := bodyPattern(q.attempt.ID, q.bodyBytes)
	if q.pause == 0 && !q.chunked {
		_, err := conn.Write(append([]byte(q.head()), body...))
		return err
	}
	if _, err := io.WriteString(conn, q.head()); err != nil {
		return err
	}
	step := max(1, len(body)/bodyChunks)
	for n := 0; n < len(body); n += step {
		time.Sleep(q.pause)
		piece := body[n:min(len(body), n+step)]
		if q.chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	if !q.chunked {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// requestPath returns a path from which hosts read the sizes in bytes of the request body and of the response body.
func requestPath(prefix string, body, answer int) string {
	return fmt.Sprintf("%s%d/%d", prefix, body, answer)
}

// parseSizes returns the sizes in a path from requestPath; 0 if they are missing or malformed.
func parseSizes(path string) (body, answer int) {
	parts := strings.Split(path, "/")
	if len(parts) < 2 {
		return 0, 0
	}
	body, _ = strconv.Atoi(parts[len(parts)-2])
	answer, _ = strconv.Atoi(parts[len(parts)-1])
	return body, answer
}

// bodyPattern returns a body of the given size that repeats the attempt's ID.
func bodyPattern(id string, size int) []byte {
	if size <= 0 || id == "" {
		return nil
	}
	return []byte(strings.Repeat(id, size/len(id)+1)[:size])
}

// matchesPattern reports whether a body of any size repeats the attempt's ID.
func matchesPattern(body []byte, id string) bool {
	return string(body) == string(bodyPattern(id, len(body)))
}
