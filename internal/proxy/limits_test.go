package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/connlimit"
)

// virtualClient is a client of a real net/http server, connected to it by a pipe in virtual time. The test may change the server's limits.
type virtualClient struct {
	net.Conn
	in     *bufio.Reader
	limits *atomic.Pointer[config.Limits]
}

// startVirtualServer starts a server for one client with these limits. The http.Server itself has the default limits, as in a proxy that starts
// before it has received any.
func startVirtualServer(t *testing.T, limits config.Limits, handler http.HandlerFunc) virtualClient {
	near, far := net.Pipe()
	var current atomic.Pointer[config.Limits]
	current.Store(&limits)
	connSlot := connlimit.New(2, 2).Acquire(nil)
	c := &clientConn{Conn: near, slot: connSlot, limits: func() config.Limits { return *current.Load() }, since: time.Now()}
	connSlot.Attach(connlimit.StateNew, func() { c.Close() })
	handle := func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(clientConnKey{}).(*clientConn).beginRequest()
		handler(w, r)
	}
	l := fuzzListener{make(chan net.Conn, 1)}
	l.clients <- c
	close(l.clients)
	s := &http.Server{Handler: http.HandlerFunc(handle), ReadHeaderTimeout: time.Duration(config.DefaultLimits.HeaderTimeout),
		IdleTimeout: time.Duration(config.DefaultLimits.IdleTimeout), ConnState: new(Proxy).connStateChanged, ConnContext: withClientConn, ErrorLog: discardLog}
	go s.Serve(l)
	t.Cleanup(func() { far.Close() })
	return virtualClient{Conn: far, in: bufio.NewReader(far), limits: &current}
}

// status reads a response and returns its status code, or "cut" if the connection ended without one.
func (v virtualClient) status() string {
	r, err := http.ReadResponse(v.in, nil)
	if err != nil {
		return "cut"
	}
	io.Copy(io.Discard, r.Body)
	return r.Status[:3]
}

const virtualRequest = "GET /look/x HTTP/1.1\r\nHost: desk.example\r\n\r\n"

// A client within the current limits must not be cut because of those that applied when its connection or the server was created.
func TestCurrentLimits(t *testing.T) {
	head := virtualRequest[:len(virtualRequest)-2]
	for name, x := range map[string]struct {
		before, after config.Limits
		send          func(v virtualClient, change func())
		want          string
	}{
		"a header slower than the default limits allow": {
			config.Limits{HeaderTimeout: 10e9, IdleTimeout: 15e9}, config.Limits{HeaderTimeout: 10e9, IdleTimeout: 15e9},
			func(v virtualClient, _ func()) {
				io.WriteString(v, head)
				time.Sleep(9 * time.Second)
				io.WriteString(v, "\r\n")
			}, "200"},
		"a header too slow for lower limits": {
			config.Limits{HeaderTimeout: 1e9, IdleTimeout: 15e9}, config.Limits{},
			func(v virtualClient, _ func()) {
				io.WriteString(v, head)
				time.Sleep(1100 * time.Millisecond)
				io.WriteString(v, "\r\n")
			}, "cut"},
		"header-timeout-s raised during a header": {
			config.Limits{HeaderTimeout: 2e9, IdleTimeout: 15e9}, config.Limits{HeaderTimeout: 6e9, IdleTimeout: 15e9},
			func(v virtualClient, change func()) {
				io.WriteString(v, head)
				time.Sleep(time.Second)
				change()
				time.Sleep(4 * time.Second)
				io.WriteString(v, "\r\n")
			}, "200"},
		"header-timeout-s lowered during a header": {
			config.Limits{HeaderTimeout: 6e9, IdleTimeout: 15e9}, config.Limits{HeaderTimeout: 1e9, IdleTimeout: 15e9},
			func(v virtualClient, change func()) {
				io.WriteString(v, head)
				change()
				time.Sleep(5 * time.Second)
				io.WriteString(v, "\r\n")
			}, "200"},
		"idle-timeout-s raised while idle": {
			config.Limits{HeaderTimeout: 3e9, IdleTimeout: 5e9}, config.Limits{HeaderTimeout: 3e9, IdleTimeout: 20e9},
			func(v virtualClient, change func()) {
				io.WriteString(v, virtualRequest)
				v.status()
				change()
				time.Sleep(16 * time.Second)
				io.WriteString(v, virtualRequest)
			}, "200"},
		"idle-timeout-s lowered while idle": {
			config.Limits{HeaderTimeout: 3e9, IdleTimeout: 20e9}, config.Limits{HeaderTimeout: 3e9, IdleTimeout: 1e9},
			func(v virtualClient, change func()) {
				io.WriteString(v, virtualRequest)
				v.status()
				change()
				time.Sleep(16 * time.Second)
				io.WriteString(v, virtualRequest)
			}, "200"},
		"idle for longer than allowed": {
			config.Limits{HeaderTimeout: 3e9, IdleTimeout: 5e9}, config.Limits{},
			func(v virtualClient, _ func()) {
				io.WriteString(v, virtualRequest)
				v.status()
				time.Sleep(5100 * time.Millisecond)
				io.WriteString(v, virtualRequest)
			}, "cut"},
		"a pipelined header with a short idle-timeout-s": {
			config.Limits{HeaderTimeout: 3e9, IdleTimeout: 1e9}, config.Limits{},
			func(v virtualClient, _ func()) {
				go io.WriteString(v, virtualRequest+head)
				v.status()
				time.Sleep(2 * time.Second)
				io.WriteString(v, "\r\n")
			}, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := startVirtualServer(t, x.before, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
				x.send(v, func() {
					synctest.Wait() // until the server waits for the client
					v.limits.Store(&x.after)
				})
				qt.Check(t, v.status(), qt.Equals, x.want)
			})
		})
	}
}

// The body of a pipelined request has the usual body timeout, even if idle-timeout-s is shorter.
func TestPipelinedBodyWithShortIdleTimeout(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, body string) (string, bool) { return goodAnswer(r, body), true })
	p, addr := startProxy(t, h)
	setLimits(t, p, `"header-bytes":16384,"body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":0.05`)
	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\n\r\nPOST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: b\r\nContent-Length: 4\r\n\r\nbo")
	in := bufio.NewReader(c)
	_, err = http.ReadResponse(in, nil)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(200 * time.Millisecond) // four times the idle timeout; the body has five seconds
	io.WriteString(c, "dy")
	for {
		r, err := http.ReadResponse(in, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.StatusCode, qt.Equals, 200)
		if body, _ := io.ReadAll(r.Body); string(body) == "body" {
			return
		}
	}
}

// A request that has arrived when the connection hits its idle deadline must be read, and the connection must stay open.
func TestArrivalAtIdleDeadline(t *testing.T) {
	near, far := connPair(t)
	c := &clientConn{Conn: near, phase: idle, slot: connlimit.New(1, 1).TryAcquire(), limits: func() config.Limits { return config.Limits{HeaderTimeout: 3e9, IdleTimeout: 1} }}
	_, err := near.Read(make([]byte, 100)) // the byte from connPair
	qt.Assert(t, err, qt.IsNil)
	io.WriteString(far, virtualRequest)
	waitUntil(t, func() bool { return c.peek() == peekBytes })
	near.SetReadDeadline(time.Unix(1, 0)) // in the past, so that the read fails without a system call
	b := make([]byte, 100)
	n, err := c.Read(b)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(b[:n]), qt.Equals, virtualRequest)

	c.beginRequest() // without a request the connection does time out
	c.markIdle()
	near.SetReadDeadline(time.Unix(1, 0))
	_, err = c.Read(b)
	qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

// OPTIONS * is answered by the proxy itself, and the framing of a request pipelined behind it must still be checked.
func TestAsteriskOptions(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, body string) (string, bool) { return goodAnswer(r, body), true })
	_, addr := startProxy(t, h)
	got := rawExchange(t, addr, "OPTIONS * HTTP/1.1\r\nHost: desk.example\r\n\r\n"+
		"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", true)
	qt.Check(t, status(got), qt.Equals, "200", qt.Commentf("%q", got))
	qt.Check(t, strings.Contains(got, "HTTP/1.1 400"), qt.IsTrue, qt.Commentf("%q", got))
	qt.Check(t, h.requests(), qt.HasLen, 0)
}

// The current header-bytes must apply, raised or lowered, whatever the limit was when the server was created.
func TestCurrentHeaderBytes(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, body string) (string, bool) { return goodAnswer(r, body), true })
	p, addr := startProxy(t, h)
	for _, x := range []struct {
		limit, head int
		want        string
	}{{16 << 10, 30 << 10, "431"}, {64 << 10, 30 << 10, "200"}, {64 << 10, 60 << 10, "200"}, {64 << 10, 80 << 10, "431"},
		{2 << 10, 3 << 10, "431"}, {2 << 10, 30 << 10, "431"}, {2 << 10, 1 << 10, "200"}, {16 << 10, 12 << 10, "200"}} {
		setLimits(t, p, fmt.Sprintf(`"header-bytes":%d,"body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":15`, x.limit))
		got := exchange(t, addr, "POST", "/issue/x", "a", "body", "X-Long: "+strings.Repeat("z", x.head))
		qt.Check(t, status(got), qt.Equals, x.want, qt.Commentf("header of %d bytes, limit %d: %.100q", x.head, x.limit, got))
	}
}

// A raised header-bytes must apply to an open keep-alive connection as well, and a longer header must still be rejected.
func TestHeaderBytesRaisedOnOpenConnection(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, body string) (string, bool) { return goodAnswer(r, body), true })
	p, addr := startProxy(t, h)
	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(c)
	statusForHeader := func(size int) string {
		fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\nX-Long: %s\r\n\r\n", strings.Repeat("z", size))
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return err.Error()
		}
		io.Copy(io.Discard, r.Body)
		return r.Status[:3]
	}
	qt.Check(t, statusForHeader(1<<10), qt.Equals, "200")
	setLimits(t, p, `"header-bytes":65536,"body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":15`)
	qt.Check(t, statusForHeader(50<<10), qt.Equals, "200")
	qt.Check(t, statusForHeader(100<<10), qt.Equals, "431")
}

// A client that reads its response slowly, but never pauses for longer than the idle timeout, must get all of it, even if a single write takes
// longer than that. A lowered idle-timeout-s must not apply to requests received earlier, but a raised one must.
func TestSlowReader(t *testing.T) {
	for name, x := range map[string]struct {
		before, after config.Limits
		pause         time.Duration
		complete      bool
	}{
		"slow":     {config.Limits{IdleTimeout: 5e9}, config.Limits{IdleTimeout: 5e9}, 4 * time.Second, true},
		"too slow": {config.Limits{IdleTimeout: 5e9}, config.Limits{IdleTimeout: 5e9}, 6 * time.Second, false},
		"idle-timeout-s lowered during the request": {config.Limits{IdleTimeout: 5e9}, config.Limits{IdleTimeout: 1e9}, 4 * time.Second, true},
		"idle-timeout-s raised during the request":  {config.Limits{IdleTimeout: 1e9}, config.Limits{IdleTimeout: 5e9}, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer far.Close()
				limits := x.before
				c := &clientConn{Conn: near, limits: func() config.Limits { return limits }}
				c.beginRequest()
				limits = x.after
				answer := strings.Repeat("x", 1000)
				var got atomic.Int64
				go func() {
					for b := make([]byte, 100); ; {
						time.Sleep(x.pause)
						n, err := far.Read(b)
						if got.Add(int64(n)); err != nil {
							return
						}
					}
				}()
				n, err := c.Write([]byte(answer))
				qt.Check(t, err == nil, qt.Equals, x.complete, qt.Commentf("%v", err))
				qt.Check(t, n == len(answer), qt.Equals, x.complete, qt.Commentf("%d", n))
				near.Close()
				synctest.Wait()
				time.Sleep(time.Minute)
				qt.Check(t, got.Load(), qt.Equals, int64(n))
			})
		})
	}
}

// A connection must not be evicted once a complete request header has arrived, although net/http reports it as idle or new until it has read
// the entire header.
func TestEvictionDuringRequest(t *testing.T) {
	b := make([]byte, 100)
	for name, x := range map[string]struct {
		phase   connPhase
		sent    string
		readAll bool // what was sent is read before the eviction
		evicted bool
	}{
		"idle":                      {idle, "", false, true},
		"new":                       {readingHeader, "", false, true},
		"idle, with a request sent": {idle, virtualRequest, false, false},
		"new, with a request sent":  {readingHeader, virtualRequest, false, false},
		"idle, with a request read": {idle, virtualRequest, true, false},
		"new, with a request read":  {readingHeader, virtualRequest, true, false},
		"half a header":             {idle, virtualRequest[:20], true, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connPair(t)
			near.Read(b) // the byte from connPair
			r := connlimit.New(1, 1)
			c := &clientConn{Conn: near, slot: r.TryAcquire(), phase: x.phase, since: time.Now(), limits: func() config.Limits { return config.DefaultLimits }}
			c.slot.Attach(map[connPhase]connlimit.State{idle: connlimit.StateIdle, readingHeader: connlimit.StateNew}[x.phase], c.evict)
			io.WriteString(far, x.sent)
			if x.sent != "" {
				waitUntil(t, func() bool { return c.peek() == peekBytes })
			}
			if x.readAll {
				_, err := c.Read(b)
				qt.Assert(t, err, qt.IsNil)
			}
			c.evict()
			if !x.readAll || x.evicted {
				n, err := c.Read(b)
				qt.Check(t, err != nil, qt.Equals, x.evicted, qt.Commentf("%v", err))
				qt.Check(t, string(b[:n]), qt.Equals, map[bool]string{false: x.sent}[x.evicted])
			}
			if !x.evicted { // the connection must remain usable
				c.SetReadDeadline(time.Time{})
				c.beginRequest()
				_, err := io.WriteString(c, "answer")
				qt.Check(t, err, qt.IsNil)
				n, err := far.Read(b)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(b[:n]), qt.Equals, "answer")
			}
		})
	}
}

// A client that reads only after sending a long body must get the response to a request that was rejected before, for example because of its
// route or a lowered body-bytes: the connection must not be reset. The rest of the body must not be parsed as another request.
func TestRejectedDuringLongBody(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, body string) (string, bool) { return goodAnswer(r, "x"), true })
	p, addr := startProxy(t, h)
	setLimits(t, p, `"header-bytes":16384,"body-bytes":100000000,"header-timeout-s":3,"idle-timeout-s":15`)
	const size = 48 << 20 // more than the socket buffers hold
	chunk := strings.Repeat("GET /look/smuggled HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: s\r\n\r\n", 1<<20/64)[:1<<20]
	for name, x := range map[string]struct {
		head, want string
		change     func()
		chunked    bool
	}{
		"no route":         {"POST /nowhere HTTP/1.1", "404", func() {}, false},
		"no route, chunks": {"POST /nowhere HTTP/1.1", "404", func() {}, true},
		"body-bytes lowered": {"POST /issue/x HTTP/1.1", "413", func() {
			setLimits(t, p, `"header-bytes":16384,"body-bytes":1000,"header-timeout-s":3,"idle-timeout-s":15`)
		}, false},
		"body-bytes lowered, chunks": {"POST /issue/x HTTP/1.1", "413", func() {
			setLimits(t, p, `"header-bytes":16384,"body-bytes":1000,"header-timeout-s":3,"idle-timeout-s":15`)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			x.change()
			c, err := net.Dial("tcp", addr)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			c.SetDeadline(time.Now().Add(30 * time.Second))
			framing := fmt.Sprintf("Content-Length: %d", size)
			if x.chunked {
				framing = "Transfer-Encoding: chunked"
			}
			fmt.Fprintf(c, "%s\r\nHost: desk.example\r\nAttempt-Id: a\r\n%s\r\n\r\n", x.head, framing)
			for n := 0; n < size; n += len(chunk) {
				if x.chunked {
					fmt.Fprintf(c, "%x\r\n", len(chunk))
				}
				_, err = io.WriteString(c, chunk)
				qt.Assert(t, err, qt.IsNil, qt.Commentf("after %d bytes", n))
				if x.chunked {
					io.WriteString(c, "\r\n")
				}
				time.Sleep(rejectLingerTimeout / 20) // in total longer than net/http would wait
			}
			if x.chunked {
				io.WriteString(c, "0\r\n\r\n")
			}
			in := bufio.NewReader(c)
			r, err := http.ReadResponse(in, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r.Status[:3], qt.Equals, x.want)
			if x.want == "404" { // the connection must be usable again
				io.WriteString(c, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: b\r\n\r\n")
				r, err = http.ReadResponse(in, nil)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, r.Status[:3], qt.Equals, "200")
			}
			qt.Check(t, countWrites(h)["s"], qt.Equals, 0)
			qt.Check(t, countWrites(h)["a"], qt.Equals, 0)
		})
	}
}

// A write must be attempted even if its deadline has already passed, as can happen on a machine that is overloaded or was suspended.
func TestWriteAfterDeadline(t *testing.T) {
	near, far := connPair(t)
	c := &clientConn{Conn: near, limits: func() config.Limits { return config.Limits{IdleTimeout: 1} }} // already passed when the write begins
	answer := strings.Repeat("x", 100)
	got := make(chan int)
	go func() {
		all, _ := io.ReadAll(far)
		got <- len(all)
	}()
	for range 20 {
		n, err := io.WriteString(c, answer)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, len(answer))
	}
	near.Close()
	qt.Check(t, <-got, qt.Equals, 20*len(answer))
}

// A request whose header becomes complete during an eviction must be served, and its connection must stay open after the response.
func TestEvictionAsHeaderEnds(t *testing.T) {
	near, far := connPair(t)
	near.Read(make([]byte, 1)) // the byte from connPair
	c := &clientConn{Conn: near, slot: connlimit.New(1, 1).TryAcquire(), phase: readingHeader, since: time.Now(), limits: func() config.Limits { return config.DefaultLimits }}
	c.observe([]byte(virtualRequest[:20]), 4096)
	c.evict()
	c.observe([]byte(virtualRequest[20:]), 4096) // as after a read that had returned before the eviction
	c.SetReadDeadline(time.Time{})
	c.beginRequest()
	qt.Check(t, c.evicting, qt.IsFalse)
	c.markIdle()
	c.SetReadDeadline(time.Now().Add(time.Second))
	io.WriteString(far, virtualRequest)
	b := make([]byte, 100)
	n, err := c.Read(b)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(b[:n]), qt.Equals, virtualRequest)
	c.evict() // has no effect, as the header is complete
	qt.Check(t, c.evicting, qt.IsFalse)
}
