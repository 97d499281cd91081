package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/router/protocol"
)

const longTimeout = time.Minute // a timeout that no test reaches

// startHost starts a host and returns its address. For each complete request, it calls act with the number of requests
// received so far; act reports whether the connection stays open. The host's goroutines end when the test closes the
// listener and the pool closes the connections.
func startHost(t *testing.T, act func(n int, c net.Conn, r *http.Request, body string) bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil || !act(int(n.Add(1)), c, r, string(body)) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func writeResponse(c net.Conn, status, rest string) bool {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s", status, rest)
	return true
}

func newPool(maxConns int) *Pool {
	return New(Options{
		Protocol:       protocol.Protocol{ReportFields: []string{"depth", "mean_ms"}},
		ConnectTimeout: time.Second / 2,
		ReadTimeout:    time.Second / 2,
		IdleTimeout:    longTimeout,
		MaxConns:       maxConns,
	})
}

// forward sends a copy of r and returns the attempt and a channel for its outcome.
func forward(p *Pool, address string, r dispatch.Request, timeout time.Duration) (dispatch.Attempt, chan dispatch.Outcome) {
	done := make(chan dispatch.Outcome, 1)
	r.TraceID = "t"
	return p.Forward(dispatch.Host{Address: address}, &r, timeout, func(o dispatch.Outcome) { done <- o }), done
}

var get = dispatch.Request{Method: "GET", Target: "/display?obj=7f"}

func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		status, rest string
		staysOpen    bool
		want         decision.Result
	}{
		"answer":                 {"200 OK", "Content-Length: 2\r\nEndpoint-Load-Metrics: TEXT queue=3, latency_ms=1.5\r\n\r\nhi", true, decision.Succeeded},
		"error":                  {"500 no", "Content-Length: 0\r\n\r\n", true, decision.Failed},
		"rejected":               {"503 no", "X-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", true, decision.Rejected},
		"may have run":           {"503 no", "Content-Length: 0\r\n\r\n", true, decision.Failed},
		"redirect":               {"302 no", "Location: /else\r\nContent-Length: 0\r\n\r\n", true, decision.Failed},
		"truncated, closed":      {"200 OK", "Content-Length: 9\r\n\r\nhi", false, decision.ConnectionReset},
		"truncated, open":        {"200 OK", "Content-Length: 9\r\n\r\nhi", true, decision.InvalidAnswer},
		"partial header":         {"200 OK", "Content-Le", true, decision.InvalidAnswer},
		"invalid chunk size":     {"200 OK", "Transfer-Encoding: chunked\r\n\r\nzz\r\n", true, decision.InvalidAnswer},
		"Content-Length of 3 GB": {"200 OK", "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 90000), true, decision.InvalidAnswer},
		"1xx responses first":    {"103 Early Hints", "Link: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true, decision.Succeeded},
		"malformed load report":  {"200 OK", "Endpoint-Load-Metrics: %%%\r\nContent-Length: 2\r\n\r\nhi", true, decision.Succeeded},
		"garbage after response": {"200 OK", "Content-Length: 2\r\n\r\nhi\xff\x00\r\n\r\n", true, decision.Succeeded},
		"not HTTP":               {"what", "\r\n\r\n", true, decision.InvalidAnswer},
		"closed":                 {"", "", false, decision.ConnectionReset},
		"oversized":              {"200 OK", "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), true, decision.InvalidAnswer},
		"endless header":         {"200 OK", "X: " + strings.Repeat("x", 90000), true, decision.InvalidAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			address := startHost(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
				return test.status != "" && writeResponse(c, test.status, test.rest) && test.staysOpen
			})
			_, done := forward(newPool(4), address, get, longTimeout)
			o := <-done
			if o.Result != test.want || (test.want == decision.Succeeded) != (string(o.Body) == "hi") {
				t.Errorf("got %v with body %q, want %v", o.Result, o.Body, test.want)
			}
			if name == "answer" && (len(o.LoadReport) != 2 || o.LoadReport[0] != 3 || o.LoadReport[1] != 1.5) {
				t.Error("report", o.LoadReport)
			}
		})
	}
}

// Extra bytes after a response must not be read as the response to the next attempt, and a connection that the host has closed
// while it was idle must not fail an attempt. The requests are sequential, so each one can reuse an idle connection.
func TestExtraBytesAfterResponse(t *testing.T) {
	for _, extra := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "\xff\x00\r\n\r\n"} {
		address := startHost(t, func(n int, c net.Conn, r *http.Request, _ string) bool {
			id := r.Header.Get("X-Trace-Id")
			return writeResponse(c, "200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n%s%s", len(id), id, extra))
		})
		p := newPool(4)
		for n := range 200 {
			r, done := get, make(chan dispatch.Outcome, 1)
			r.TraceID = fmt.Sprint("id", n)
			p.Forward(dispatch.Host{Address: address}, &r, longTimeout, func(o dispatch.Outcome) { done <- o })
			if o := <-done; o.Result != decision.Succeeded || string(o.Body) != r.TraceID {
				t.Fatalf("extra bytes %q: got %v with body %q for request %s", extra, o.Result, o.Body, r.TraceID)
			}
		}
		if p.Forget(address); len(p.hosts) > 0 {
			t.Error("host is still in the pool after Forget")
		}
		for p.limiter.Len() > 0 { // the transport closes in the background
			time.Sleep(time.Millisecond)
		}
	}
}

// At the connection limit, an attempt at a new host must evict an idle connection to another host.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	p := newPool(2)
	for range 6 {
		address := startHost(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
			return writeResponse(c, "200 OK", "Content-Length: 0\r\n\r\n")
		})
		if _, done := forward(p, address, get, longTimeout); (<-done).Result != decision.Succeeded {
			t.Fatal("attempt failed at the connection limit")
		}
	}
}

func TestTimeoutCancelAndRefusedConnection(t *testing.T) {
	read := make(chan bool, 1)
	address := startHost(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool { read <- true; return true })
	p := newPool(4)
	if _, done := forward(p, address, get, 50*time.Millisecond); (<-done).Result != decision.TimedOut {
		t.Error("no timeout for a host that does not respond")
	}
	<-read
	attempt, done := forward(p, address, get, longTimeout)
	<-read
	if attempt.Cancel(); (<-done).Result != decision.Canceled {
		t.Error("canceled attempt has another result")
	}
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	l.Close()
	if _, done := forward(p, l.Addr().String(), get, longTimeout); (<-done).Result != decision.ConnectFailed {
		t.Error("refused connection is not reported as ConnectFailed")
	}
}

// http.Transport by default resends a GET, or a request with an Idempotency-Key, if a reused connection breaks. The pool must
// not let it.
func TestTransportDoesNotResend(t *testing.T) {
	for _, r := range []dispatch.Request{get, {Method: "POST", Target: "/accept", IdempotencyKey: "k", Body: []byte("body")},
		{Method: "POST", Target: "/accept", IdempotencyKey: "k"}} {
		var received atomic.Int64
		address := startHost(t, func(n int, c net.Conn, _ *http.Request, _ string) bool {
			received.Store(int64(n))
			return n == 1 && writeResponse(c, "200 OK", "Content-Length: 0\r\n\r\n")
		})
		p := newPool(4)
		_, first := forward(p, address, r, longTimeout)
		if o := <-first; o.Result != decision.Succeeded {
			t.Fatal(o.Result)
		}
		_, second := forward(p, address, r, longTimeout)
		if o := <-second; o.Result != decision.ConnectionReset || received.Load() != 2 {
			t.Errorf("%s: got %v, and the host received %d requests", r.Method, o.Result, received.Load())
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	for _, r := range []dispatch.Request{
		{Method: "GET", Target: "/display?obj=a%2Fb&x=;"},
		{Method: "POST", Target: "/accept", IdempotencyKey: "k1", Body: []byte(strings.Repeat("x", 64<<10))},
		{Method: "POST", Target: "/accept", IdempotencyKey: "k1"},
	} {
		var got dispatch.Request
		var framing []string
		address := startHost(t, func(_ int, c net.Conn, in *http.Request, body string) bool {
			got = dispatch.Request{Method: in.Method, Target: in.RequestURI, TraceID: in.Header.Get("X-Trace-Id"),
				IdempotencyKey: in.Header.Get("Idempotency-Key"), Body: []byte(body)}
			framing = in.TransferEncoding
			return writeResponse(c, "200 OK", "Content-Length: 0\r\n\r\n")
		})
		_, done := forward(newPool(4), address, r, longTimeout)
		<-done
		r.TraceID = "t"
		if fmt.Sprint(got) != fmt.Sprint(r) || len(framing) > 0 {
			t.Errorf("sent %.200v, host received %.200v with transfer encoding %v", r, got, framing)
		}
	}
}

// An attempt that was canceled while it waited for a connection must not be written, even if the transport tries to.
func TestCanceledUnsentIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	canceled := &attempt{cancel: func(error) {}}
	c := &conn{counter: noCounter{}, Conn: near, lastChecked: canceled}
	c.attempt.Store(canceled)
	canceled.CancelUnsent()
	n, err := c.Write([]byte("x"))
	qt.Check(t, n, qt.Equals, 0)
	qt.Check(t, err, qt.Equals, errCanceledUnsent)
	sent := &attempt{cancel: func(error) { t.Error("canceled after it was sent") }}
	c.lastChecked = sent
	c.attempt.Store(sent)
	go far.Read(make([]byte, 1))
	if _, err := c.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	sent.CancelUnsent()
}

// At the connection limit, an attempt must end as Unsent, so that it does not count against the host.
func TestConnectionLimit(t *testing.T) {
	received := make(chan bool, 2)
	address := startHost(t, func(_ int, _ net.Conn, _ *http.Request, _ string) bool { received <- true; return true })
	p := newPool(1)
	first, done := forward(p, address, get, longTimeout)
	<-received
	p.ConnectTimeout = 10 * time.Millisecond
	if _, second := forward(p, address, get, longTimeout); (<-second).Result != decision.Unsent {
		t.Error("attempt at the connection limit is not reported as Unsent")
	}
	first.Cancel()
	<-done
	if len(received) != 0 {
		t.Error("a second attempt was sent")
	}
}

func TestPreconnect(t *testing.T) {
	address := startHost(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
		return writeResponse(c, "200 OK", "Content-Length: 0\r\n\r\n")
	})
	p := newPool(8)
	p.Preconnect([]string{address}, 0)
	if p.limiter.Len() != 0 {
		t.Error("Preconnect opened connections with a maximum of 0")
	}
	p.Preconnect([]string{address}, 9)
	if p.limiter.Len() != maxPreconnected {
		t.Fatal(p.limiter.Len(), "opened")
	}
	_, done := forward(p, address, get, longTimeout)
	if o := <-done; o.Result != decision.Succeeded || p.limiter.Len() != maxPreconnected {
		t.Error(o.Result, p.limiter.Len())
	}
	p.Forget(address)
	for p.limiter.Len() > 0 { // the transport closes in the background
		time.Sleep(time.Millisecond)
	}
}

// staleConn is a connection that reports pending data for every request but its first.
type staleConn struct {
	net.Conn
	used atomic.Bool
}

func (c *staleConn) Pending() bool { return c.used.Swap(true) }

// An attempt that waits for a connection may be given one that was opened after the attempt started, was used by another
// attempt, and has been closed since. That must not fail the attempt; it must try the next connection.
func TestStaleConnectionIsReplaced(t *testing.T) {
	address := startHost(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
		return writeResponse(c, "200 OK", "Content-Length: 2\r\n\r\nhi")
	})
	p := newPool(8)
	var dials atomic.Int64
	dialStarted, releaseDial := make(chan bool), make(chan bool)
	p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			close(dialStarted)
			<-releaseDial
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &staleConn{Conn: c}, err
	}
	_, first := forward(p, address, get, longTimeout)
	<-dialStarted
	_, second := forward(p, address, get, longTimeout)
	if o := <-second; o.Result != decision.Succeeded {
		t.Error("second attempt has result", o.Result)
	}
	if o := <-first; o.Result != decision.Succeeded || dials.Load() != 3 {
		t.Error("first attempt has result", o.Result, "after", dials.Load(), "dials")
	}
	close(releaseDial)
}
