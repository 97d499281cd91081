package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Informational responses (1xx) must not be passed on or affect how the final response is classified, whichever Attempt-Id they carry. A host
// that sends too many of them counts as giving no valid response.
func TestInformationalAnswers(t *testing.T) {
	hints := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nAttempt-Id: other\r\nLink: </a>\r\n\r\n"
	for name, x := range map[string]struct {
		before, want string
	}{
		"none": {"", "200"}, "two": {hints, "200"}, "too many responses": {strings.Repeat(hints, 200), "502"},
		"not run, informational": {"HTTP/1.1 102 Processing\r\nAttempt-Id: u1\r\nRequest-Not-Run: 1\r\n\r\n", "200"},
	} {
		h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { return x.before + goodAnswer(r, "ran"), true })
		_, addr := startProxy(t, h)
		got := exchange(t, addr, "POST", "/issue/x", "u1", "body")
		qt.Check(t, status(got), qt.Equals, x.want, qt.Commentf("%s: %.300q", name, got))
		qt.Check(t, strings.Count(got, "HTTP/1.1"), qt.Equals, 1, qt.Commentf("%s: %.300q", name, got))
		qt.Check(t, len(h.requests()), qt.Equals, 1, qt.Commentf("%s", name))
	}
}

// The proxy itself answers Expect: 100-continue, and only when it is ready to read the body. A request that is rejected because of its header
// is rejected before its body is sent, and never forwarded.
func TestExpectContinue(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, body string) (string, bool) { return goodAnswer(r, body), true })
	_, addr := startProxy(t, h)
	for name, x := range map[string]struct{ head, body, want string }{
		"taken":               {"POST /issue/x HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n", "body", "200"},
		"no route":            {"POST /nowhere HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n", "", "404"},
		"too long":            {"POST /issue/x HTTP/1.1\r\nContent-Length: 99999999\r\nExpect: 100-continue\r\n", "", "413"},
		"unknown expectation": {"POST /issue/x HTTP/1.1\r\nContent-Length: 4\r\nExpect: a miracle\r\n", "", "417"},
	} {
		before := len(h.requests())
		c, err := net.Dial("tcp", addr)
		qt.Assert(t, err, qt.IsNil)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(c, x.head+"Host: desk.example\r\nConnection: close\r\nAttempt-Id: u1\r\n\r\n")
		in := bufio.NewReader(c)
		first, _ := in.ReadString('\n')
		if x.body != "" {
			qt.Check(t, first, qt.Equals, "HTTP/1.1 100 Continue\r\n", qt.Commentf("%s", name))
			qt.Check(t, len(h.requests()), qt.Equals, before)
			in.ReadString('\n')
			io.WriteString(c, x.body)
			first, _ = in.ReadString('\n')
		}
		qt.Check(t, status(first), qt.Equals, x.want, qt.Commentf("%s", name))
		c.Close()
		all := h.requests()[before:]
		qt.Check(t, len(all) == 1, qt.Equals, x.body != "", qt.Commentf("%s", name))
		for _, in := range all {
			qt.Check(t, in.header.Get("Expect"), qt.Equals, "")
			qt.Check(t, in.body, qt.Equals, x.body)
		}
	}
}

// Trailers must be dropped in both directions, and nothing in them may count as a header. Bodies are buffered and forwarded with a length.
func TestTrailers(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
		id := r.Header.Get("Attempt-Id")
		if id == "u2" { // a seal in the trailer doesn't count
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\nTrailer: Server-Seal\r\n\r\n2\r\nhi\r\n0\r\nServer-Seal: s\r\n\r\n", id), true
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nhi\r\n0\r\nX-Sum: 1\r\nAttempt-Id: other\r\n\r\n", id), true
	})
	_, addr := startProxy(t, h)
	send := func(id string) string {
		return rawExchange(t, addr, "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nAttempt-Id: "+id+
			"\r\nTransfer-Encoding: chunked\r\nTrailer: X-Late, Time-Remaining\r\n\r\n4\r\nbody\r\n0\r\nX-Late: 1\r\nAttempt-Id: other\r\nTime-Remaining: 1\r\n\r\n", false)
	}
	got := send("u1")
	qt.Check(t, status(got), qt.Equals, "200", qt.Commentf("%q", got))
	qt.Check(t, got, qt.Contains, "Content-Length: 2\r\n")
	qt.Check(t, got, qt.Not(qt.Contains), "X-Sum")
	qt.Check(t, status(send("u2")), qt.Equals, "502")
	in := h.requests()[0]
	qt.Check(t, in.body, qt.Equals, "body")
	qt.Check(t, in.transferEncoding, qt.HasLen, 0)
	qt.Check(t, in.header["Attempt-Id"], qt.DeepEquals, []string{"u1"})
	qt.Check(t, in.header.Get("X-Late")+in.header.Get("Trailer"), qt.Equals, "")
	qt.Check(t, in.header.Get("Time-Remaining") != "1", qt.IsTrue)
}

// Request headers up to the limit are forwarded unchanged, and longer ones rejected with 431. A response header over 16 KB is invalid.
func TestLongHeaders(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) {
		if r.Header.Get("Attempt-Id") == "long" {
			return strings.Replace(goodAnswer(r, "x"), "Server-Seal", "X-Long: "+strings.Repeat("y", 20<<10)+"\r\nServer-Seal", 1), true
		}
		return goodAnswer(r, "x"), true
	})
	_, addr := startProxy(t, h)
	for n, want := range map[int]string{100: "200", 3000: "200", 12000: "200", 17000: "431", 40000: "431", 2 << 20: "431"} {
		before := len(h.requests())
		got := exchange(t, addr, "POST", "/issue/x", "u1", "body", "X-Long: "+strings.Repeat("z", n))
		if got == "" && n > 1<<20 { // the connection was reset while the client was still sending
			got = "HTTP/1.1 431"
		}
		qt.Check(t, status(got), qt.Equals, want, qt.Commentf("%d: %.200q", n, got))
		all := h.requests()[before:]
		qt.Check(t, len(all) == 1, qt.Equals, want == "200", qt.Commentf("%d", n))
		for _, in := range all {
			qt.Check(t, len(in.header.Get("X-Long")), qt.Equals, n)
		}
	}
	qt.Check(t, status(exchange(t, addr, "POST", "/issue/x", "long", "body")), qt.Equals, "502")
}

// A protocol upgrade that a client requests must be ignored: it is not forwarded, and the request gets its usual response.
func TestUpgradeIsIgnored(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "x"), true })
	_, addr := startProxy(t, h)
	for _, to := range []string{"websocket", "h2c", "HTTP/2.0"} {
		got := exchange(t, addr, "GET", "/look/x", "s1", "", "Connection: Upgrade, HTTP2-Settings", "Upgrade: "+to, "HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA")
		qt.Check(t, status(got), qt.Equals, "200", qt.Commentf("%q", got))
	}
	for _, in := range h.requests() {
		qt.Check(t, in.header.Get("Upgrade")+in.header.Get("HTTP2-Settings")+in.header.Get("Connection"), qt.Equals, "")
	}
	preface := rawExchange(t, addr, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", false)
	qt.Check(t, strings.Contains(preface, " 200 "), qt.IsFalse, qt.Commentf("%q", preface))
}

// On a keep-alive connection responses must arrive in the order of the requests, each with the ID of its own, even if the first request is
// the slowest, one in between is rejected, and the last one's body is truncated.
func TestKeepAliveConnection(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, body string) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			time.Sleep(30 * time.Millisecond)
		}
		return goodAnswer(r, r.Header.Get("Attempt-Id")+body), true
	})
	_, addr := startProxy(t, h)
	rawRequest := func(method, target, id, body string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, target, id, len(body), body)
	}
	truncated := rawRequest("POST", "/issue/x", "cut", "body")
	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, rawRequest("GET", "/look/slow", "a", "")+rawRequest("POST", "/issue/x", "b", "1")+rawRequest("GET", "/nowhere", "c", "")+rawRequest("POST", "/issue/slow", "d", "2")+truncated[:len(truncated)-2])
	in := bufio.NewReader(c)
	for _, want := range []string{"200 a a", "200 b b1", "404  ", "200 d d2"} {
		resp, err := http.ReadResponse(in, nil)
		qt.Assert(t, err, qt.IsNil)
		body, _ := io.ReadAll(resp.Body)
		qt.Check(t, fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get("Attempt-Id"), body), qt.Equals, want)
	}
	c.(*net.TCPConn).CloseWrite()
	last, _ := io.ReadAll(in)
	qt.Check(t, strings.HasPrefix(string(last), "HTTP/1.1 400"), qt.IsTrue, qt.Commentf("%q", last))
	received := countWrites(h)
	qt.Check(t, received["cut"], qt.Equals, 0)
	for id, n := range received {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", id))
	}
}
