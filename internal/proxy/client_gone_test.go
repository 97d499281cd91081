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
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/dispatch"
	"portflow/internal/upstream"
)

// A request that is pipelined behind another one must not be forwarded if the client disconnects first.
func TestClientGoneWhilePipelined(t *testing.T) {
	arrived, proceed := make(chan bool), make(chan bool)
	h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) {
		if r.Header.Get("Attempt-Id") == "first" {
			arrived <- true
			<-proceed
		}
		return goodAnswer(r, "x"), true
	})
	p, addr := startProxy(t, h)
	rawRequest := func(id, body string) string {
		return fmt.Sprintf("POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	for n := range 20 {
		c, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		io.WriteString(c, rawRequest("first", "body"))
		<-arrived
		io.WriteString(c, rawRequest("behind", []string{"", "body"}[n%2]))
		c.Close()
		proceed <- true
		waitUntil(t, func() bool { return p.counters.clientGone.Load() > int64(n) || countWrites(h)["behind"] > 0 })
	}
	waitUntil(t, func() bool { return p.openRequests.Load() == 0 })
	qt.Check(t, countWrites(h)["behind"], qt.Equals, 0)
	c, err := net.Dial("tcp", addr) // without a disconnect the pipelined request is served
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	io.WriteString(c, rawRequest("first", "body"))
	<-arrived
	io.WriteString(c, rawRequest("stays", "body"))
	proceed <- true
	in := bufio.NewReader(c)
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 200)
		io.Copy(io.Discard, resp.Body)
	}
	qt.Check(t, countWrites(h)["stays"], qt.Equals, 1)
}

// blockedNetwork is a network that connects only once allow is closed.
type blockedNetwork struct {
	*loopback
	allow chan bool
}

func (b blockedNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-b.allow:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return b.loopback.Dial(ctx, network, address)
}

// A request must not be forwarded if the client disconnects while the proxy connects to the host.
func TestClientGoneWhileConnecting(t *testing.T) {
	for range 10 {
		h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "x"), true })
		l, allow := &loopback{}, make(chan bool)
		p, addr := startProxyOn(t, blockedNetwork{l, allow}, l, h)
		c, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		io.WriteString(c, "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: gone\r\nContent-Length: 4\r\n\r\nbody")
		waitUntil(t, func() bool { return p.counters.byDistance[0].Load() == 1 })
		c.Close()
		waitUntil(t, func() bool { return p.counters.clientGone.Load() == 1 })
		close(allow)
		qt.Check(t, status(exchange(t, addr, "POST", "/issue/x", "stays", "body")), qt.Equals, "200")
		qt.Check(t, countWrites(h), qt.DeepEquals, map[string]int{"stays": 1})
	}
}

// If the client disconnects during a streamed response, the host's connection must be closed at once, even while the host sends nothing.
func TestClientGoneDuringStream(t *testing.T) {
	for _, framing := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", 9*maxBufferedAnswer), "Transfer-Encoding: chunked\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		defer l.Close()
		closedAt := make(chan time.Time, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			beginning := strings.Repeat("x", maxBufferedAnswer+5)
			if strings.HasPrefix(framing, "T") {
				beginning = fmt.Sprintf("%x\r\n%s", 2*len(beginning), beginning)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%s\r\n%s", r.Header.Get("Attempt-Id"), framing, beginning)
			in.ReadByte()
			closedAt <- time.Now()
		}()
		_, addr := startProxy(t, &scriptedHost{address: l.Addr().String()})
		c, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		io.WriteString(c, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\n\r\n")
		_, err = io.ReadFull(c, make([]byte, maxBufferedAnswer))
		qt.Assert(t, err, qt.IsNil)
		began := time.Now()
		c.Close()
		took := (<-closedAt).Sub(began)
		qt.Check(t, took < time.Second, qt.IsTrue, qt.Commentf("%q: the host's connection stayed open for %v", framing, took)) // half of the route's timeout
	}
}

// A write to a client that reads nothing must time out after the idle timeout.
func TestWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := &clientConn{Conn: near, limits: func() config.Limits { return config.Limits{IdleTimeout: 15e9} }}
		began := time.Now()
		_, err := c.Write([]byte("answer"))
		qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, time.Since(began), qt.Equals, 15*time.Second)
		go io.Copy(io.Discard, far) // later writes succeed if the client reads
		time.Sleep(time.Hour)
		_, err = c.Write([]byte("answer"))
		qt.Check(t, err, qt.IsNil)
	})
}

// recordingWriter is a host's connection that records what is written to it.
type recordingWriter struct {
	*scriptedConn
	wrote bytes.Buffer
}

func (h *recordingWriter) Write(b []byte) (int, error) {
	h.wrote.Write(b)
	return h.scriptedConn.Write(b)
}

// Time-Remaining must match the time left when the request is written, however long connecting to the host took.
func TestTimeRemaining(t *testing.T) {
	for _, connectTime := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 390 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := &recordingWriter{scriptedConn: newScriptedConn([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nhi"))}
			p := upstream.New(upstream.Options{Protocol: hostProtocol{maxBufferedAnswer}, ConnectTimeout: connectTimeout, IdleTimeout: time.Second, MaxConns: 2,
				Dial: func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(connectTime)
					return c, nil
				}})
			defer p.Shutdown()
			request := &clientRequest{id: "a", header: http.Header{"Attempt-Id": {"a"}, "Time-Remaining": {"99999"}}, streams: make(chan *streamedReply, 1)}
			request.beginAttempt()
			done := make(chan dispatch.Outcome, 1)
			began := time.Now()
			p.Forward(dispatch.Host{Name: "i", Address: "10.0.0.1:1"}, &dispatch.Request{Method: "POST", Target: "/", Body: []byte("b"), Payload: request}, 700*time.Millisecond,
				func(o dispatch.Outcome) { done <- o })
			<-done
			took := time.Since(began)
			r, err := http.ReadRequest(bufio.NewReader(&c.wrote))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Header["Time-Remaining"], qt.HasLen, 1)
			ms, err := strconv.Atoi(r.Header.Get("Time-Remaining"))
			qt.Assert(t, err, qt.IsNil)
			left := (700*time.Millisecond - took).Milliseconds()
			qt.Check(t, int64(ms) <= left+maxExcessMillis && int64(ms) >= left, qt.IsTrue, qt.Commentf("Time-Remaining is %d ms, the time left is %d ms", ms, left))
		})
	}
}
