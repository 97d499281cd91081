package ingress

import (
	"bufio"
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
	"portflow/internal/router/settings"
)

// startServer starts a server and returns its address and a channel with the events that it posts.
func startServer(t *testing.T, maxOpen int) (string, *Server, chan dispatch.Event) {
	s := settings.Settings{ClassNames: []string{"display", "accept"}, CustomerNames: []string{"rila", "dunav"}}
	s.Settings.Classes = []decision.RequestClass{{Timeout: int64(5 * time.Second)},
		{Timeout: int64(3 * time.Second), Idempotency: decision.IdempotentByKey}}
	events := make(chan dispatch.Event, 16)
	server := New(s, 64, maxOpen, dispatch.NewClock(), func(e dispatch.Event) { events <- e })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.http.Close() })
	go server.Serve(l)
	return l.Addr().String(), server, events
}

var lastTraceID atomic.Int64 // makes the trace ID of each request unique

// dial connects to the server and sends text, with a new trace ID in place of t1.
func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, strings.Replace(text, "X-Trace-Id: t1", fmt.Sprint("X-Trace-Id: t", lastTraceID.Add(1)), 1))
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, in *bufio.Reader) (int, http.Header, string) {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil && r.ContentLength >= 0 { // a response without Content-Length ends with its connection
		t.Fatal(err)
	}
	if r.Close {
		r.Header.Set("Connection", "close")
	}
	return r.StatusCode, r.Header, string(body)
}

const validRequest = "POST /accept?obj=7f HTTP/1.1\r\nHost: s\r\nX-Trace-Id: t1\r\nX-Qos: accept\r\nX-Customer: dunav\r\n" +
	"X-Expires-In: 480m\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody"

func TestRequest(t *testing.T) {
	address, server, events := startServer(t, 8)
	_, in := dial(t, address, validRequest)
	c := (<-events).(dispatch.RequestReceived).Call
	remaining := time.Duration(c.Deadline - server.clock())
	if c.Class != 1 || c.Customer != 1 || c.Key == 0 || remaining > 480*time.Millisecond || remaining < 0 ||
		fmt.Sprint(*c.Request) != fmt.Sprint(dispatch.Request{Method: "POST", Target: "/accept?obj=7f", TraceID: c.Request.TraceID, IdempotencyKey: "k1", Body: []byte("body"), Class: 1, Customer: 1}) {
		t.Fatal(c, c.Request)
	}
	c.Responder.Respond(dispatch.Answer{Body: []byte(strings.Repeat("x", 60000))})
	if code, _, body := readResponse(t, in); code != 200 || len(body) != 60000 {
		t.Error(code, len(body))
	}
	for want, a := range map[int]dispatch.Answer{500: {Kind: dispatch.Failed}, 503: {Kind: dispatch.Rejected, RetryAfter: 250 * time.Millisecond}} {
		_, in := dial(t, address, validRequest)
		(<-events).(dispatch.RequestReceived).Call.Responder.Respond(a)
		if code, h, _ := readResponse(t, in); code != want || want == 503 && h.Get("Retry-After") != "0.250" {
			t.Error(code, h)
		}
	}
}

func TestInvalidRequest(t *testing.T) {
	address, _, events := startServer(t, 8)
	replace := func(from, to string) string { return strings.Replace(validRequest, from, to, 1) }
	for text, want := range map[string]int{
		replace("/accept", "/else"):                                            404,
		replace("X-Qos: accept", "X-Qos: display"):                             400,
		replace("X-Customer: dunav", "X-Customer: who"):                        400,
		replace("X-Trace-Id: t1\r\n", ""):                                      400,
		replace("X-Trace-Id: t1", "X-Trace-Id: t1\r\nX-Trace-Id: t2"):          400,
		replace("Idempotency-Key: k1\r\n", ""):                                 400,
		replace("X-Qos", "X-Second-Try: yes\r\nX-Qos"):                         400,
		replace("X-Qos", "X-Second-Try: 1\r\nX-Second-Try: 1\r\nX-Qos"):        400,
		replace("480m", "soon"):                                                400,
		replace("480m", "-1m"):                                                 400,
		replace("480m", "4 80m"):                                               400,
		replace("480m", "99999999999999m"):                                     400,
		replace("POST", "GET"):                                                 405,
		replace("HTTP/1.1", "HTTP/1.0"):                                        400,
		replace("X-Qos: accept\r\n", ""):                                       400,
		replace("t1", "t 1"):                                                   400,
		replace("k1", "\xff"):                                                  400,
		replace("Content-Length: 4", "Content-Length: -4"):                     400,
		replace("Content-Length: 4", "Content-Length: 4\r\ncontent-length: 4"): 400,
		replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked") + "\r\n0\r\n\r\n":    400,
		replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"): 400,
		validRequest + "more":                 400,
		replace("X-Expires-In: 480m\r\n", ""): 400,
		replace("480m", "0m"):                 504,
		replace("POST", "PUT"):                405,
		replace("Content-Length: 4", "Content-Length: 70000") + strings.Repeat("x", 70000): 413,
		replace("Content-Length: 4", "Content-Length: four"):                               400,
		replace("HTTP/1.1", "HTTP/9"):                                                      400,
		replace("k1", strings.Repeat("k", 40000)):                                          431,
	} {
		_, in := dial(t, address, text)
		if code, _, _ := readResponse(t, in); code != want && (want != 400 || code != 505) {
			t.Errorf("got status %d, want %d: %.120q", code, want, text)
		}
	}
	half, _ := dial(t, address, validRequest[:len(validRequest)-2])
	half.Close()
	if len(events) != 0 {
		t.Error("posted", <-events)
	}
}

// A request that the client marked as a retry must be posted as one.
func TestMarkedRetry(t *testing.T) {
	address, _, events := startServer(t, 8)
	for i, text := range []string{validRequest, strings.Replace(strings.Replace(validRequest, "t1", "t2", 1), "X-Qos", "X-Second-Try: 1\r\nX-Qos", 1)} {
		conn, _ := dial(t, address, text)
		if c := (<-events).(dispatch.RequestReceived).Call; c.Retried != (i == 1) {
			t.Error("try", i, "marked", c.Retried)
		}
		conn.Close()
		<-events
	}
}

func TestClientDisconnects(t *testing.T) {
	address, _, events := startServer(t, 8)
	for _, text := range []string{validRequest, strings.Replace(strings.ReplaceAll(validRequest, "accept", "display"), "POST", "GET", 1)} {
		if strings.HasPrefix(text, "GET") {
			text = strings.Replace(text, "Content-Length: 4\r\n\r\nbody", "\r\n", 1)
		}
		conn, _ := dial(t, address, text)
		c := (<-events).(dispatch.RequestReceived).Call
		conn.Close()
		if gone := (<-events).(dispatch.ClientGone); gone.Call != c {
			t.Error("got ClientGone for another call")
		}
	}
}

// A request with the trace ID of an earlier one is from another client. It must not get the answer to the first, nor be posted.
func TestDuplicateTraceID(t *testing.T) {
	address, server, events := startServer(t, 8)
	_, first := dial(t, address, validRequest)
	c := (<-events).(dispatch.RequestReceived).Call
	again := strings.Replace(validRequest, "t1", c.Request.TraceID, 1)
	resend := func() int {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, again)
		code, _, _ := readResponse(t, bufio.NewReader(conn))
		return code
	}
	if code := resend(); code != 409 {
		t.Error(code)
	}
	c.Responder.Respond(dispatch.Answer{Body: []byte("mine")})
	if _, _, body := readResponse(t, first); body != "mine" {
		t.Error(body)
	}
	if code := resend(); code != 409 || len(events) > 0 {
		t.Error(code, len(events))
	}
	now := server.recentIDs.rotatedAt
	for n := range 1000 { // IDs must be removed after some time
		now += server.recentIDs.lifetime / 10
		server.recentIDs.add(fmt.Sprint(n), now)
	}
	if n := len(server.recentIDs.current) + len(server.recentIDs.previous); n > 25 {
		t.Error(n, "IDs kept, want at most 25")
	}
}

// Clients must not pipeline requests: bytes received before the response must end the request with an error.
func TestPipelinedBytes(t *testing.T) {
	address, _, events := startServer(t, 8)
	conn, in := dial(t, address, validRequest)
	c := (<-events).(dispatch.RequestReceived).Call
	io.WriteString(conn, "m")
	if gone := (<-events).(dispatch.ClientGone); gone.Call != c {
		t.Error("got ClientGone for another call")
	}
	if code, h, _ := readResponse(t, in); code != 400 || h.Get("Connection") != "close" {
		t.Error(code, h)
	}
}

// Idle connections and incomplete requests must not keep a new client from being served.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	address, _, events := startServer(t, 8)
	for range 200 {
		dial(t, address, "")
	}
	for range 100 {
		dial(t, address, validRequest[:50])
	}
	_, in := dial(t, address, validRequest)
	(<-events).(dispatch.RequestReceived).Call.Responder.Respond(dispatch.Answer{Body: []byte("hi")})
	if code, _, body := readResponse(t, in); code != 200 || body != "hi" {
		t.Error(code, body)
	}
}

// The server must close connections with an incomplete request or body, and those that stay idle after a response.
func TestTimeouts(t *testing.T) {
	address, _, events := startServer(t, 8)
	start := time.Now()
	for _, text := range []string{"", validRequest[:50], validRequest[:len(validRequest)-1], validRequest} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			t.Parallel()
			_, in := dial(t, address, text)
			if text == validRequest {
				(<-events).(dispatch.RequestReceived).Call.Responder.Respond(dispatch.Answer{})
			}
			io.Copy(io.Discard, in)
			if took := time.Since(start); took > 2900*time.Millisecond || took < 1900*time.Millisecond {
				t.Error(took)
			}
		})
	}
}

// Requests beyond the limit of open requests must be rejected.
func TestBeyondOpenRequestLimit(t *testing.T) {
	address, _, events := startServer(t, 1)
	_, first := dial(t, address, validRequest)
	c := (<-events).(dispatch.RequestReceived).Call
	_, second := dial(t, address, validRequest)
	if code, _, _ := readResponse(t, second); code != 503 {
		t.Error(code)
	}
	c.Responder.Respond(dispatch.Answer{})
	if code, _, _ := readResponse(t, first); code != 200 {
		t.Error(code)
	}
}

// A draining server must accept new connections for a while, close each after its response, and finish the open requests.
func TestDrain(t *testing.T) {
	address, server, events := startServer(t, 8)
	_, early := dial(t, address, validRequest)
	c := (<-events).(dispatch.RequestReceived).Call
	drained := make(chan error)
	server.draining.Store(true)
	_, late := dial(t, address, validRequest)
	(<-events).(dispatch.RequestReceived).Call.Responder.Respond(dispatch.Answer{})
	if code, h, _ := readResponse(t, late); code != 200 || h.Get("Connection") != "close" {
		t.Error(code, h)
	}
	go func() { drained <- server.Drain(0) }()
	for { // until the listener is closed
		conn, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		conn.Close()
	}
	c.Responder.Respond(dispatch.Answer{Body: []byte("hi")})
	if code, _, body := readResponse(t, early); code != 200 || body != "hi" {
		t.Error(code, body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

func FuzzParseTimeout(f *testing.F) {
	for _, text := range []string{"480m", "7u", "", "m", "99999999999999m"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if n, err := parseTimeout(text); err == nil && n < 0 {
			t.Error(n)
		}
	})
}
