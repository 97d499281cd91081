package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/proxy/attempt"
	"portflow/internal/upstream"
)

// scriptedConn is a connection on which the first write is followed by fixed response bytes and the end of the stream.
type scriptedConn struct {
	mu        sync.Mutex
	changed   sync.Cond
	raw       []byte
	requested bool
	closed    bool
}

func newScriptedConn(raw []byte) *scriptedConn {
	c := &scriptedConn{raw: raw}
	c.changed.L = &c.mu
	return c
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = true
	c.changed.Broadcast()
	return len(b), nil
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.requested && !c.closed {
		c.changed.Wait()
	}
	if c.closed || len(c.raw) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.raw)
	c.raw = c.raw[n:]
	return n, nil
}

func (c *scriptedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return nil
}

func (c *scriptedConn) Pending() bool                    { return false }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzHostAnswers checks that only complete responses with the request's ID are passed on, successful ones only with a seal, and that a
// request counts as not run only if such a response says so.
func FuzzHostAnswers(f *testing.F) {
	for _, x := range []string{
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 no\r\nAttempt-Id: a\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 no\r\nAttempt-Id: b\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\nhi",
		"HTTP/1.1 101 x\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\nhi", "HTTP/1.1 204 x\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "\x00\xff\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 99\r\n\r\n" + strings.Repeat("z", 99),
	} {
		f.Add([]byte(x), false)
		f.Add([]byte(x), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, isHead bool) {
		const maxBuffered = 64 // maximum bytes of a response that is buffered
		p := upstream.New(upstream.Options{Protocol: hostProtocol{maxBuffered}, ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxConns: 2,
			Dial: func(context.Context, string, string) (net.Conn, error) { return newScriptedConn(raw), nil }})
		defer p.Shutdown()
		method := "POST"
		if isHead {
			method = "HEAD"
		}
		c := &clientRequest{id: "a", header: http.Header{"Attempt-Id": {"a"}}, streams: make(chan *streamedReply, 1)}
		c.beginAttempt()
		done := make(chan dispatch.Outcome, 1)
		p.Forward(dispatch.Host{Name: "i", Address: "10.0.0.1:1"}, &dispatch.Request{Method: method, Target: "/", Payload: c}, 5*time.Second,
			func(o dispatch.Outcome) {
				o.Result, _ = c.endAttempt(o.Result)
				done <- o
			})
		var forwardedBody []byte
		var o dispatch.Outcome
		select {
		case o = <-done:
		case s := <-c.streams:
			var err error
			forwardedBody, err = io.ReadAll(s.rest)
			forwardedBody = append(append([]byte{}, s.body...), forwardedBody...)
			s.done <- err
			o = <-done
		}
		execution := c.settle().Execution()
		// Parse the same bytes with net/http for comparison.
		in := bufio.NewReader(bytes.NewReader(raw))
		var resp *http.Response
		var body []byte
		err := errors.New("nothing")
		for n := 0; n < 200; n++ {
			if resp, err = http.ReadResponse(in, &http.Request{Method: method}); err != nil || resp.StatusCode >= 200 {
				break
			}
		}
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		switch o.Result {
		case decision.Succeeded, decision.Failed, decision.Rejected:
			a := o.Reply.(*reply)
			if forwardedBody == nil {
				forwardedBody = a.body
			}
			if err != nil || a.status != resp.StatusCode || len(resp.Header["Attempt-Id"]) == 0 || resp.Header.Get("Attempt-Id") != "a" || !bytes.Equal(forwardedBody, body) {
				t.Fatalf("proxy passed on status %d, body %q; net/http reads %v, body %q, error %v", a.status, forwardedBody, resp, body, err)
			}
			if a.status < 300 && a.header.Get("Server-Seal") == "" || o.Result == decision.Succeeded && attempt.PromisesNotRun(a.status) {
				t.Fatalf("%+v", a)
			}
			if notRun := resp.Header.Get("Request-Not-Run") != "" || a.status == 421; notRun != (execution == attempt.NotRun) || notRun != (o.Result == decision.Rejected) {
				t.Fatalf("response %+v, but the request's execution is %v", a, execution)
			}
		default:
			if execution == attempt.NotRun {
				t.Fatalf("result %d: request counts as not run, but response %q doesn't say so", o.Result, raw)
			}
		}
	})
}

// fuzzClient is a client's connection that sends raw in chunks and then reaches the end of the stream.
type fuzzClient struct {
	mu           sync.Mutex
	changed      sync.Cond
	raw          []byte
	chunk        int // maximum number of bytes per read
	readDeadline time.Time
	done         chan bool // closed by Close
	once         sync.Once
}

func (c *fuzzClient) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.raw) == 0 || len(b) == 1 { // net/http detects a disconnect with reads of one byte
		if len(b) != 1 {
			return 0, io.EOF
		}
		if !c.readDeadline.IsZero() && !c.readDeadline.After(time.Now()) {
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	n := copy(b, c.raw[:min(len(c.raw), c.chunk)])
	c.raw = c.raw[n:]
	return n, nil
}

func (c *fuzzClient) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.changed.Broadcast()
	return nil
}

func (c *fuzzClient) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

func (c *fuzzClient) Write(b []byte) (int, error)      { return len(b), nil }
func (c *fuzzClient) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *fuzzClient) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *fuzzClient) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *fuzzClient) SetWriteDeadline(time.Time) error { return nil }

// fuzzListener is a listener that accepts the connections sent to clients.
type fuzzListener struct{ clients chan net.Conn }

func (l fuzzListener) Accept() (net.Conn, error) {
	c, ok := <-l.clients
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l fuzzListener) Close() error   { return nil }
func (l fuzzListener) Addr() net.Addr { return &net.TCPAddr{} }

var lengthLine, codingLine = regexp.MustCompile(`(?im)^content-length:`), regexp.MustCompile(`(?im)^transfer-encoding:`)

// FuzzClientRequests checks that hosts receive only requests that net/http reads from the client's bytes, each at most once and in order, with
// the same method, target, ID and body, and nothing after a request with ambiguous framing.
func FuzzClientRequests(f *testing.F) {
	const host = "Host: root.example\r\n"
	for _, x := range []string{
		"GET /a HTTP/1.1\r\n" + host + "Attempt-Id: 1\r\n\r\nPOST //b?c HTTP/1.1\r\n" + host + "Attempt-Id: 2\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n",
		"POST /a HTTP/1.1\r\n" + host + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n" + host + "\r\n",
		"HEAD /a%2fb;c=%zz? HTTP/1.1\r\n" + host + "Connection: Attempt-Id, close\r\nAttempt-Id: 1\r\n\r\n", "OPTIONS * HTTP/1.1\r\n" + host + "\r\n",
		"POST /a HTTP/1.0\r\n" + host + "Connection: keep-alive\r\nContent-Length: 1\r\n\r\n1GET http://root.example/b HTTP/1.1\r\nHost: x\r\n\r\n",
		"PUT /a HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 2\r\nAttempt-Id: 1\r\nAttempt-Id: 2\r\n\r\nhi", "GET /a HTTP/1.1\nHost: root.example\n\n",
	} {
		f.Add([]byte(x), 4096)
		f.Add([]byte(x), 5)
	}
	h := startScriptedHost(f, func(_ int, r *http.Request, _ string) (string, bool) {
		answer := goodAnswer(r, "x")
		if r.Method == "HEAD" {
			answer = goodAnswer(r, "")
		}
		return answer, true
	})
	p, _ := startProxy(f, h)
	l := fuzzListener{make(chan net.Conn)}
	go p.serveClients(p.newClientServer(), l)
	f.Fuzz(func(t *testing.T, raw []byte, chunkSize int) {
		if len(raw) > 16<<10 {
			return
		}
		h.mu.Lock()
		h.received = nil
		h.mu.Unlock()
		client := &fuzzClient{raw: raw, chunk: max(1, chunkSize), done: make(chan bool)}
		client.changed.L = &client.mu
		l.clients <- client
		select {
		case <-client.done:
		case <-time.After(20 * time.Second):
			t.Fatal("connection not closed within 20 s")
		}
		// Parse the same bytes with net/http for comparison.
		source := bytes.NewReader(raw)
		in := bufio.NewReader(source)
		offset := func() int { return len(raw) - source.Len() - in.Buffered() }
		var want []string
		for last := ""; ; {
			if last == http.MethodPost { // the net/http server skips empty lines after a POST, for old clients
				next, _ := in.Peek(4)
				in.Discard(len(next) - len(bytes.TrimLeft(next, "\r\n")))
			}
			start := offset()
			r, err := http.ReadRequest(in)
			if err != nil {
				break
			}
			rawHeader := raw[start:offset()]
			last = r.Method
			lengths, codings := len(lengthLine.FindAll(rawHeader, -1)), len(codingLine.FindAll(rawHeader, -1))
			if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 {
				break
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				break
			}
			want = append(want, fmt.Sprintf("%s %s %q %q", r.Method, r.RequestURI, r.Header["Attempt-Id"], body))
		}
		for _, x := range h.requests() {
			got := fmt.Sprintf("%s %s %q %q", x.method, x.target, x.header["Attempt-Id"], x.body)
			for len(want) > 0 && want[0] != got {
				want = want[1:]
			}
			if len(want) == 0 {
				t.Fatalf("a host received %s, which net/http doesn't read from %q", got, raw)
			}
			want = want[1:]
		}
	})
}
