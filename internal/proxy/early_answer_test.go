package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallWindowNetwork is a network with small send buffers towards hosts, so that writing a long body blocks if the host doesn't read it.
type smallWindowNetwork struct{ *loopback }

func (n smallWindowNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.loopback.Dial(ctx, network, address)
	if err == nil {
		c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	}
	return c, err
}

// earlyHost is a host that responds to the first request before it has read the body. It then closes the connection, or, if keepsConnection is
// set, reads on once proceed is closed and sends what it read to rest. Later connections are served normally.
type earlyHost struct {
	*scriptedHost
	answer          func(id string) string
	keepsConnection bool
	proceed         chan struct{}
	rest            chan string // everything received after the header of the first request
}

func startEarlyHost(t *testing.T, keep bool, answer func(id string) string) *earlyHost {
	h := &earlyHost{answer: answer, keepsConnection: keep, proceed: make(chan struct{}), rest: make(chan string, 1)}
	h.scriptedHost = &scriptedHost{t: t, respond: func(_ int, r *http.Request, body string) (string, bool) {
		return goodAnswer(r, "later"), true
	}}
	h.address = acceptConns(t, func(n int, c net.Conn) {
		if n > 1 {
			h.serve(n, c)
			return
		}
		c.(*net.TCPConn).SetReadBuffer(64 << 10)
		h.readFirst(c)
	})
	return h
}

func (h *earlyHost) readFirst(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4<<10)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	h.mu.Lock()
	h.received = append(h.received, receivedRequest{1, r.Method, r.RequestURI, r.Host, r.Header, "", r.TransferEncoding})
	h.mu.Unlock()
	if io.WriteString(c, h.answer(r.Header.Get("Attempt-Id"))); !h.keepsConnection {
		return
	}
	<-h.proceed
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	rest, _ := io.ReadAll(in)
	h.rest <- string(rest)
}

const longBody = 900 << 10

// A response that arrives before a long body was sent completely is valid, including one with Request-Not-Run. After it the host may receive
// only the rest of that body or the end of the connection, never the bytes of another request.
func TestEarlyAnswers(t *testing.T) {
	answers := map[string]func(id string) string{
		"served": func(id string) string {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nearly"
		},
		"served, empty": func(id string) string {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n"
		},
		"failed": func(id string) string {
			return "HTTP/1.1 500 no\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n"
		},
		"rejected":     notRunAnswer,
		"another's":    func(string) string { return notRunAnswer("other") },
		"not run, 413": func(id string) string { return strings.Replace(notRunAnswer(id), "503", "413", 1) },
	}
	for name, answer := range answers {
		for _, keeps := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", keeps connection ", keeps), func(t *testing.T) {
				h := startEarlyHost(t, keeps, answer)
				l := &loopback{}
				_, addr := startProxyOn(t, smallWindowNetwork{l}, l, h.scriptedHost)
				body := strings.Repeat("b", longBody)
				got := exchange(t, addr, "POST", "/issue/x", "u1", body)
				switch name {
				case "served", "served, empty":
					if keeps {
						qt.Check(t, status(got), qt.Equals, "200", qt.Commentf("%q", got))
					}
				case "failed":
					if keeps {
						qt.Check(t, status(got), qt.Equals, "500", qt.Commentf("%q", got))
					}
				case "another's":
					qt.Check(t, status(got), qt.Equals, "502", qt.Commentf("%q", got))
				default: // retried with the complete body on another connection
					qt.Check(t, status(got), qt.Equals, "200", qt.Commentf("%q", got))
					qt.Check(t, got, qt.Contains, "later")
				}
				for n := range 20 {
					qt.Check(t, status(exchange(t, addr, "GET", "/look/x", fmt.Sprint("s", n), "")), qt.Equals, "200")
				}
				for _, x := range h.requests()[1:] {
					qt.Check(t, x.conn > 1, qt.IsTrue)
					qt.Check(t, x.body == "" || x.body == body, qt.IsTrue, qt.Commentf("%d bytes", len(x.body)))
				}
				if keeps {
					close(h.proceed)
					rest := <-h.rest
					qt.Check(t, len(bytes.TrimLeft([]byte(rest), "b")), qt.Equals, 0, qt.Commentf("the host received bytes that are not part of the body"))
					qt.Check(t, len(rest) < longBody, qt.IsTrue, qt.Commentf("the body was complete, so the response was not early"))
				}
			})
		}
	}
}

// Server-Seal is passed on only with the status that the host sent it with. A response that the proxy sends in place of the host's has none.
func TestSealsAndStatuses(t *testing.T) {
	code := 0
	notRunHeader := ""
	h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 %d x\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%sContent-Length: 0\r\n\r\n", code, r.Header.Get("Attempt-Id"), notRunHeader), true
	})
	_, addr := startProxy(t, h)
	for _, code = range []int{200, 201, 206, 299, 300, 304, 400, 401, 404, 408, 409, 413, 421, 425, 429, 431, 500, 501, 502, 503, 504, 507, 599, 600, 999} {
		for _, notRunHeader = range []string{"", "Request-Not-Run: 1\r\n"} {
			for _, target := range []string{"/look/x", "/issue/x"} {
				got := rawExchange(t, addr, "POST "+target+" HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\nTime-Remaining: 60\r\nAttempt-Id: u1\r\nContent-Length: 4\r\n\r\nbody", false)
				sealed := strings.Contains(got, "Server-Seal")
				qt.Check(t, !sealed || status(got) == fmt.Sprint(code), qt.IsTrue, qt.Commentf("%d %q: %q", code, notRunHeader, got))
				qt.Check(t, sealed || status(got) >= "500", qt.IsTrue, qt.Commentf("%d %q: %q", code, notRunHeader, got))
			}
		}
	}
}
