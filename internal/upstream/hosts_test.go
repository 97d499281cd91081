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

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/router/protocol"
)

const never = time.Minute // longer than any test waits

// stand is a host: it runs act for the n-th request that is read whole; act returns whether the connection stays.
func stand(t *testing.T, act func(n int, c net.Conn, r *http.Request, body string) bool) string {
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

func say(c net.Conn, status, rest string) bool {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s", status, rest)
	return true
}

func pool(most int) *Pool {
	return New(Options{Protocol: protocol.Speech{Report: []string{"depth", "mean_ms"}}, ConnectIn: time.Second / 2, RestIn: time.Second / 2, IdleIn: never, Most: most})
}

func start(p *Pool, address string, r dispatch.Request, left time.Duration) (dispatch.HandOff, chan dispatch.Outcome) {
	done := make(chan dispatch.Outcome, 1)
	r.Trace = "t"
	return p.HandOff(dispatch.Host{Address: address}, &r, left, func(o dispatch.Outcome) { done <- o }), done
}

var get = dispatch.Request{Method: "GET", Target: "/display?obj=7f"}

func TestOutcomes(t *testing.T) {
	for name, x := range map[string]struct {
		status, rest string
		stay         bool
		want         decision.Ending
	}{
		"answer":         {"200 OK", "Content-Length: 2\r\nEndpoint-Load-Metrics: TEXT queue=3, latency_ms=1.5\r\n\r\nhi", true, decision.Fulfilled},
		"error":          {"500 no", "Content-Length: 0\r\n\r\n", true, decision.Failed},
		"turned away":    {"503 no", "X-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", true, decision.TurnedAway},
		"maybe run":      {"503 no", "Content-Length: 0\r\n\r\n", true, decision.Failed},
		"redirect":       {"302 no", "Location: /else\r\nContent-Length: 0\r\n\r\n", true, decision.Failed},
		"cut short":      {"200 OK", "Content-Length: 9\r\n\r\nhi", false, decision.Reset},
		"cut, and open":  {"200 OK", "Content-Length: 9\r\n\r\nhi", true, decision.Spoilt},
		"half a head":    {"200 OK", "Content-Le", true, decision.Spoilt},
		"wrong framing":  {"200 OK", "Transfer-Encoding: chunked\r\n\r\nzz\r\n", true, decision.Spoilt},
		"3 GB":           {"200 OK", "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 90000), true, decision.Spoilt},
		"1xx before":     {"103 Early Hints", "Link: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true, decision.Fulfilled},
		"report of none": {"200 OK", "Endpoint-Load-Metrics: %%%\r\nContent-Length: 2\r\n\r\nhi", true, decision.Fulfilled},
		"noise behind":   {"200 OK", "Content-Length: 2\r\n\r\nhi\xff\x00\r\n\r\n", true, decision.Fulfilled},
		"not HTTP":       {"what", "\r\n\r\n", true, decision.Spoilt},
		"closed":         {"", "", false, decision.Reset},
		"oversized":      {"200 OK", "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), true, decision.Spoilt},
		"endless header": {"200 OK", "X: " + strings.Repeat("x", 90000), true, decision.Spoilt},
	} {
		t.Run(name, func(t *testing.T) {
			address := stand(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
				return x.status != "" && say(c, x.status, x.rest) && x.stay
			})
			_, done := start(pool(4), address, get, never)
			o := <-done
			if o.Ending != x.want || (x.want == decision.Fulfilled) != (string(o.Body) == "hi") {
				t.Errorf("%v %q, wanted %v", o.Ending, o.Body, x.want)
			}
			if name == "answer" && (len(o.Report) != 2 || o.Report[0] != 3 || o.Report[1] != 1.5) {
				t.Error("report", o.Report)
			}
		})
	}
}

// A second copy, or noise, behind an answer must not pass for the next hand-off's answer, and a connection that the
// host has closed meanwhile costs no hand-off. All are asked one after another, so each finds an idle connection.
func TestWhatComesBehindAnAnswer(t *testing.T) {
	for _, behind := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "\xff\x00\r\n\r\n"} {
		address := stand(t, func(n int, c net.Conn, r *http.Request, _ string) bool {
			id := r.Header.Get("X-Trace-Id")
			return say(c, "200 OK", fmt.Sprintf("Content-Length: %d\r\n\r\n%s%s", len(id), id, behind))
		})
		p := pool(4)
		for n := range 200 {
			r, done := get, make(chan dispatch.Outcome, 1)
			r.Trace = fmt.Sprint("id", n)
			p.HandOff(dispatch.Host{Address: address}, &r, never, func(o dispatch.Outcome) { done <- o })
			if o := <-done; o.Ending != decision.Fulfilled || string(o.Body) != r.Trace {
				t.Fatalf("%q: %v %q for %s", behind, o.Ending, o.Body, r.Trace)
			}
		}
		if p.Forget(address); len(p.hosts) > 0 {
			t.Error("not forgotten")
		}
		for p.room.Held() > 0 { // the transport closes in the background
			time.Sleep(time.Millisecond)
		}
	}
}

// Connections to hosts that stand idle make room for those that are wanted elsewhere.
func TestIdleMakeRoom(t *testing.T) {
	p := pool(2)
	for range 6 {
		address := stand(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
			return say(c, "200 OK", "Content-Length: 0\r\n\r\n")
		})
		if _, done := start(p, address, get, never); (<-done).Ending != decision.Fulfilled {
			t.Fatal("no room")
		}
	}
}

func TestSilentAndRefused(t *testing.T) {
	read := make(chan bool, 1)
	address := stand(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool { read <- true; return true })
	p := pool(4)
	if _, done := start(p, address, get, 50*time.Millisecond); (<-done).Ending != decision.TimedOut {
		t.Error("silence is no time-out")
	}
	<-read
	h, done := start(p, address, get, never)
	<-read
	if h.Recall(); (<-done).Ending != decision.Recalled {
		t.Error("not recalled")
	}
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	l.Close()
	if _, done := start(p, l.Addr().String(), get, never); (<-done).Ending != decision.NoConnect {
		t.Error("refused, and not that")
	}
}

// http.Transport sends a GET, and what carries an Idempotency-Key, again when a used connection breaks.
func TestNothingIsSentAgain(t *testing.T) {
	for _, r := range []dispatch.Request{get, {Method: "POST", Target: "/accept", Mark: "k", Body: []byte("body")},
		{Method: "POST", Target: "/accept", Mark: "k"}} {
		var came atomic.Int64
		address := stand(t, func(n int, c net.Conn, _ *http.Request, _ string) bool {
			came.Store(int64(n))
			return n == 1 && say(c, "200 OK", "Content-Length: 0\r\n\r\n")
		})
		p := pool(4)
		_, first := start(p, address, r, never)
		if o := <-first; o.Ending != decision.Fulfilled {
			t.Fatal(o.Ending)
		}
		_, second := start(p, address, r, never)
		if o := <-second; o.Ending != decision.Reset || came.Load() != 2 {
			t.Errorf("%s: %v, %d came", r.Method, o.Ending, came.Load())
		}
	}
}

func TestPassedOnUnchanged(t *testing.T) {
	for _, r := range []dispatch.Request{
		{Method: "GET", Target: "/display?obj=a%2Fb&x=;"},
		{Method: "POST", Target: "/accept", Mark: "k1", Body: []byte(strings.Repeat("x", 64<<10))},
		{Method: "POST", Target: "/accept", Mark: "k1"},
	} {
		var got dispatch.Request
		var framing []string
		address := stand(t, func(_ int, c net.Conn, in *http.Request, body string) bool {
			got = dispatch.Request{Method: in.Method, Target: in.RequestURI, Trace: in.Header.Get("X-Trace-Id"),
				Mark: in.Header.Get("Idempotency-Key"), Body: []byte(body)}
			framing = in.TransferEncoding
			return say(c, "200 OK", "Content-Length: 0\r\n\r\n")
		})
		_, done := start(pool(4), address, r, never)
		<-done
		r.Trace = "t"
		if fmt.Sprint(got) != fmt.Sprint(r) || len(framing) > 0 {
			t.Errorf("%.200v came as %.200v, %v", r, got, framing)
		}
	}
}

// A hand-off that is revoked while it waits for a connection must not be written, whatever the transport does.
func TestRevokedIsNeverWritten(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	h := &handOff{cancel: func(error) {}}
	c := &conn{flow: uncounted{}, Conn: near, writer: h}
	c.handOff.Store(h)
	h.Revoke()
	if n, err := c.Write([]byte("x")); n != 0 || err != errRevoked {
		t.Error("written", n, err)
	}
	sent := &handOff{cancel: func(error) { t.Error("ended though it was sent") }}
	c.writer = sent
	c.handOff.Store(sent)
	go far.Read(make([]byte, 1))
	if _, err := c.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	sent.Revoke()
}

// The want of connections is the router's own: it ends a hand-off as unsent, and says nothing of the host.
func TestNoRoom(t *testing.T) {
	came := make(chan bool, 2)
	address := stand(t, func(_ int, _ net.Conn, _ *http.Request, _ string) bool { came <- true; return true })
	p := pool(1)
	first, done := start(p, address, get, never)
	<-came
	p.ConnectIn = 10 * time.Millisecond
	if _, second := start(p, address, get, never); (<-second).Ending != decision.Unsent {
		t.Error("not unsent")
	}
	first.Recall()
	<-done
	if len(came) != 0 {
		t.Error("a second hand-off was sent")
	}
}

func TestOpenedAheadAndClosed(t *testing.T) {
	address := stand(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
		return say(c, "200 OK", "Content-Length: 0\r\n\r\n")
	})
	p := pool(8)
	p.Open([]string{address}, 0)
	if p.room.Held() != 0 {
		t.Error("more than was asked for")
	}
	p.Open([]string{address}, 9)
	if p.room.Held() != ahead {
		t.Fatal(p.room.Held(), "opened")
	}
	_, done := start(p, address, get, never)
	if o := <-done; o.Ending != decision.Fulfilled || p.room.Held() != ahead {
		t.Error(o.Ending, p.room.Held())
	}
	p.Forget(address)
	for p.room.Held() > 0 { // the transport closes in the background
		time.Sleep(time.Millisecond)
	}
}

// over is a connection on which more than its first request finds its end.
type over struct {
	net.Conn
	used atomic.Bool
}

func (c *over) Pending() bool { return c.used.Swap(true) }

// A hand-off waits for its connection and is given one that came up after it began, that another used and that has ended since:
// that says nothing of the host. It goes on to the next one.
func TestEndedAfterAnothersUse(t *testing.T) {
	address := stand(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
		return say(c, "200 OK", "Content-Length: 2\r\n\r\nhi")
	})
	p := pool(8)
	var dials atomic.Int64
	waits, held := make(chan bool), make(chan bool)
	p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			close(waits)
			<-held
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &over{Conn: c}, err
	}
	_, first := start(p, address, get, never)
	<-waits
	_, second := start(p, address, get, never)
	if o := <-second; o.Ending != decision.Fulfilled {
		t.Error("the second", o.Ending)
	}
	if o := <-first; o.Ending != decision.Fulfilled || dials.Load() != 3 {
		t.Error("the first", o.Ending, "after", dials.Load(), "dials")
	}
	close(held)
}
