package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A not-run response to another request says nothing about this one, which must be neither retried nor reported as not run.
func TestNotRunOfAnotherRequest(t *testing.T) {
	for name, foreign := range map[string]string{"another's id": notRunAnswer("other"), "no id": strings.Replace(notRunAnswer(""), "Attempt-Id: \r\n", "", 1),
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
				return foreign + goodAnswer(r, "ran"), true
			})
			p, addr := startProxy(t, h)
			got := exchange(t, addr, "POST", "/issue/x", "u1", "body")
			qt.Check(t, len(h.requests()), qt.Equals, 1, qt.Commentf("%q", got))
			qt.Check(t, status(got), qt.Equals, "502", qt.Commentf("%q", got))
			qt.Check(t, p.counters.String(), qt.Contains, " odd.wrong_id=1 ")
		})
	}
}

// A duplicate of a not-run response that arrives on the connection of the retry must not be accepted as the response to the retry.
func TestDuplicateNotRun(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
		id := r.Header.Get("Attempt-Id")
		switch n {
		case 1: // an earlier request, after which the connection is kept
			return goodAnswer(r, "x"), true
		case 2:
			return notRunAnswer(id), true
		}
		return notRunAnswer(id) + goodAnswer(r, "ran"), true // the late duplicate; this time the request runs
	})
	_, addr := startProxy(t, h)
	qt.Assert(t, status(exchange(t, addr, "POST", "/issue/x", "u0", "body")), qt.Equals, "200")
	got := exchange(t, addr, "POST", "/issue/x", "u1", "body")
	all := h.requests()
	qt.Assert(t, len(all) >= 3, qt.IsTrue, qt.Commentf("%d %q", len(all), got))
	qt.Check(t, all[1].conn != all[2].conn, qt.IsTrue, qt.Commentf("retried on the connection of the first attempt"))
}

// With status 408, 429 or 503, a request counts as not run only if the response has Request-Not-Run.
func TestNotRunStatuses(t *testing.T) {
	for _, code := range []int{408, 429, 503} {
		for _, notRun := range []bool{false, true} {
			h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
				x := ""
				if notRun {
					x = "Request-Not-Run: 1\r\n"
				}
				return fmt.Sprintf("HTTP/1.1 %d no\r\nAttempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", code, r.Header.Get("Attempt-Id"), x), true
			})
			_, addr := startProxy(t, h)
			got := status(exchange(t, addr, "POST", "/issue/x", "u1", "body"))
			want := map[bool]string{true: "503", false: "502"}[notRun]
			qt.Check(t, got, qt.Equals, want, qt.Commentf("status %d, Request-Not-Run %v", code, notRun))
			if !notRun {
				qt.Check(t, len(h.requests()), qt.Equals, 1, qt.Commentf("%d", code))
			}
		}
	}
}

// A client that closes its sending side while a host handles the request counts as disconnected. It must not get a success that no host sent.
func TestHalfClosed(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
		time.Sleep(50 * time.Millisecond)
		return goodAnswer(r, "ran"), true
	})
	_, addr := startProxy(t, h)
	got := rawExchange(t, addr, "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: u1\r\nContent-Length: 4\r\n\r\nbody", true)
	qt.Check(t, strings.Contains(got, " 200 ") && !strings.Contains(got, "Server-Seal"), qt.IsFalse, qt.Commentf("%q", got))
}

// A 101 response to a request that was forwarded without Upgrade is invalid, and what follows it must be discarded.
func TestSwitchingProtocols(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n\r\nraw bytes", r.Header.Get("Attempt-Id")), false
	})
	_, addr := startProxy(t, h)
	got := exchange(t, addr, "POST", "/issue/x", "u1", "body", "Upgrade: x")
	qt.Check(t, status(got), qt.Equals, "502", qt.Commentf("%q", got))
	qt.Assert(t, len(h.requests()), qt.Equals, 1)
	qt.Check(t, h.requests()[0].header.Get("Upgrade"), qt.Equals, "")
}

// Fields listed in Connection are dropped as hop-by-hop, but this must not remove end-to-end fields such as Attempt-Id and Server-Seal.
func TestConnectionHeader(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
		return strings.Replace(goodAnswer(r, "ran"), "Server-Seal: s", "Connection: Server-Seal, Attempt-Id, X-Hop\r\nX-Hop: 1\r\nServer-Seal: s", 1), true
	})
	_, addr := startProxy(t, h)
	got := exchange(t, addr, "POST", "/issue/x", "u1", "body", "Connection: Attempt-Id, x-hop, Expected-Instance, Time-Remaining", "X-Hop: 1")
	qt.Assert(t, len(h.requests()), qt.Equals, 1)
	in := h.requests()[0]
	qt.Check(t, in.header.Get("Attempt-Id"), qt.Equals, "u1")
	qt.Check(t, in.header.Get("Expected-Instance"), qt.Equals, "i-0")
	qt.Check(t, in.header.Get("X-Hop"), qt.Equals, "")
	qt.Check(t, got, qt.Contains, "Server-Seal: s\r\n")
	qt.Check(t, got, qt.Contains, "Attempt-Id: u1\r\n")
	qt.Check(t, got, qt.Not(qt.Contains), "X-Hop")
}

// A request with two IDs is ambiguous and must be rejected.
func TestTwoIDs(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "ran"), true })
	_, addr := startProxy(t, h)
	got := exchange(t, addr, "POST", "/issue/x", "u1", "body", "Attempt-Id: u2")
	qt.Check(t, status(got), qt.Equals, "400")
	qt.Check(t, len(h.requests()), qt.Equals, 0)
}

// The framing of a pipelined request must be checked like that of the first one. One with ambiguous framing ends the connection, and a request
// smuggled in it is not forwarded. A valid one is served without delay.
func TestPipelined(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "ran"), true })
	_, addr := startProxy(t, h)
	for name, first := range map[string]string{
		"none":   "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: s1\r\n\r\n",
		"length": "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: s1\r\nContent-Length: 3\r\n\r\nabc",
		"chunks": "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailing: 1\r\n\r\n",
	} {
		hidden := "GET /look/hidden HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: hidden\r\n\r\n"
		second := fmt.Sprintf("POST /issue/y HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: s2\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
			len(hidden)+5, hidden)
		got := rawExchange(t, addr, first+map[bool]string{true: "\r\n"}[name != "none"]+second, false) // an empty line after a body is skipped
		qt.Check(t, strings.Count(got, "HTTP/1.1 200 OK"), qt.Equals, 1, qt.Commentf("%s: %q", name, got))
		qt.Check(t, got, qt.Contains, "HTTP/1.1 400", qt.Commentf("%s", name))
		got = rawExchange(t, addr, strings.Replace(first, "x HTTP/1.1", "x HTTP/1.0", 1), false)
		want := map[string]string{"none": "200", "length": "200", "chunks": "400"}[name] // HTTP/1.0 has no chunked encoding
		qt.Check(t, status(got), qt.Equals, want, qt.Commentf("%s: %q", name, got))
		began := time.Now()
		last := strings.Replace(first, "HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n", 1)
		got = rawExchange(t, addr, first+first+last, false)
		qt.Check(t, strings.Count(got, "HTTP/1.1 200 OK"), qt.Equals, 3, qt.Commentf("%s: %q", name, got))
		qt.Check(t, time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("%s: %v", name, time.Since(began)))
	}
	for _, x := range h.requests() {
		qt.Check(t, x.header.Get("Attempt-Id"), qt.Equals, "s1")
	}
}

// A request target must be forwarded unchanged, whatever its form.
func TestTargets(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "ran"), true })
	_, addr := startProxy(t, h)
	for _, target := range []string{"/a", "//a/b", "//a:80/b?c", "/a?", "/a%2Fb?x=;&y=%zz", "/a//b", "/?//", "///", "/a;b", "http://root.example/a?b", "/%41", "//a%2Fb?", "/:80"} {
		before := len(h.requests())
		got := rawExchange(t, addr, "GET "+target+" HTTP/1.1\r\nHost: root.example\r\nConnection: close\r\nAttempt-Id: u1\r\n\r\n", false)
		all := h.requests()[before:]
		if status(got) == "400" && len(all) == 0 {
			continue // rejected and not forwarded
		}
		qt.Assert(t, len(all), qt.Equals, 1, qt.Commentf("%s: %q", target, got))
		qt.Check(t, all[0].target, qt.Equals, target)
	}
}

// A truncated response must not become a success. A response that ends with its connection is complete if the connection is closed normally, and
// truncated if it is reset.
func TestTruncatedAnswers(t *testing.T) {
	long := strings.Repeat("x", maxBufferedAnswer+100)
	for name, x := range map[string]struct{ version, framing, body, want string }{
		"no length":                {"1.1", "", "part", "200"},
		"no length, reset":         {"1.1", "", "part", "502"},
		"no length, none, reset":   {"1.1", "", "", "502"},
		"no length, long":          {"1.1", "", long, "200"},
		"no length, long, reset":   {"1.1", "", long, "200, broken"},
		"no length to HTTP/1.0":    {"1.0", "", "part", "200"},
		"no length, long, to 1.0":  {"1.0", "", long, "502"},
		"cut length, long":         {"1.1", fmt.Sprintf("Content-Length: %d\r\n", len(long)+1), long, "200, broken"},
		"cut length, long, reset":  {"1.1", fmt.Sprintf("Content-Length: %d\r\n", len(long)+1), long, "200, broken"},
		"cut chunks, long":         {"1.1", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(long), long), "200, broken"},
		"chunks":                   {"1.1", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", "200"},
		"cut chunks":               {"1.1", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", "502"},
		"cut length":               {"1.1", "Content-Length: 9\r\n", "part", "502"},
		"two lengths":              {"1.1", "Content-Length: 4\r\nContent-Length: 5\r\n", "part", "502"},
		"long chunks to HTTP/1.0":  {"1.0", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), "502"},
		"long length to HTTP/1.0":  {"1.0", fmt.Sprintf("Content-Length: %d\r\n", len(long)), long, "200"},
		"long chunks":              {"1.1", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long), "200"},
		"short chunks to HTTP/1.0": {"1.0", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", "200"},
	} {
		t.Run(name, func(t *testing.T) {
			h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n%s\r\n%s", r.Header.Get("Attempt-Id"), x.framing, x.body), false
			})
			h.resetOnClose = strings.HasSuffix(name, "reset")
			_, addr := startProxy(t, h)
			got := rawExchange(t, addr, "POST /issue/x HTTP/"+x.version+"\r\nHost: desk.example\r\nConnection: close\r\nAttempt-Id: u1\r\nContent-Length: 1\r\n\r\n1", false)
			want, broken := strings.CutSuffix(x.want, ", broken")
			if h.resetOnClose && broken && status(got) == "502" { // the reset discarded the buffered beginning of the response
				return
			}
			qt.Assert(t, status(got), qt.Equals, want, qt.Commentf("%.200q", got))
			if want != "200" {
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
			qt.Assert(t, err, qt.IsNil)
			delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			body, err := io.ReadAll(resp.Body)
			qt.Check(t, delimited, qt.IsTrue, qt.Commentf("%.200q", got))
			qt.Check(t, err != nil, qt.Equals, broken, qt.Commentf("%v", err))
			if !broken {
				qt.Check(t, string(body) == long || string(body) == "part", qt.IsTrue, qt.Commentf("%d bytes", len(body)))
			}
			qt.Check(t, got, qt.Not(qt.Contains), "Content-Type", qt.Commentf("not sent by the host"))
		})
	}
}

// For responses without a body, the Content-Length that the host sent must be passed on, and none may be added.
func TestBodilessAnswers(t *testing.T) {
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
		id := "Attempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nServer-Seal: s\r\n"
		switch r.URL.Path {
		case "/look/204":
			return "HTTP/1.1 204 No Content\r\n" + id + "\r\n", true
		case "/look/304":
			return "HTTP/1.1 304 Not Modified\r\nEtag: e\r\n" + id + "\r\n", true
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n" + id + "\r\n", true
	})
	_, addr := startProxy(t, h)
	head := exchange(t, addr, "HEAD", "/look/200", "s1", "")
	qt.Check(t, status(head), qt.Equals, "200", qt.Commentf("%q", head))
	qt.Check(t, head, qt.Contains, "Content-Length: 1234\r\n")
	noContent := exchange(t, addr, "GET", "/look/204", "s2", "")
	qt.Check(t, status(noContent), qt.Equals, "204", qt.Commentf("%q", noContent))
	qt.Check(t, noContent, qt.Not(qt.Contains), "Content-Length")
	notModified := exchange(t, addr, "GET", "/look/304", "s3", "")
	qt.Check(t, status(notModified), qt.Equals, "304", qt.Commentf("%q", notModified))
	qt.Check(t, notModified, qt.Not(qt.Contains), "Content-Length: 0")
}

// A response without an ID must not be accepted for a request that has one, as it may be a late response to an earlier request.
func TestNoID(t *testing.T) {
	for _, code := range []string{"200 OK", "404 no", "500 no"} {
		h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
			return "HTTP/1.1 " + code + "\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nold" + goodAnswer(r, "ran"), true
		})
		_, addr := startProxy(t, h)
		got := exchange(t, addr, "POST", "/issue/x", "u1", "body")
		qt.Check(t, status(got), qt.Equals, "502", qt.Commentf("%s: %q", code, got))
	}
	h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) { // this response is valid for a request without an ID
		return "HTTP/1.1 404 no\r\nContent-Length: 3\r\n\r\nold", true
	})
	_, addr := startProxy(t, h)
	qt.Check(t, status(exchange(t, addr, "POST", "/issue/x", "", "body")), qt.Equals, "404")
}
