package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// narrowDialer opens connections with a small receive buffer, so that most of a response stays at the sender until it is read.
var narrowDialer = net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
}}

// A draining proxy closes each connection after its next response and doesn't read pipelined requests. They must not cause a reset, which would
// make the client lose the rest of the response.
func TestAnswerBeforeClose(t *testing.T) {
	for _, length := range []int{100 << 10, maxBufferedAnswer + 100<<10} { // buffered, and streamed
		c := qt.New(t)
		answer := strings.Repeat("a", length)
		h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, answer), true })
		p, addr := startProxy(t, h)
		p.draining.Store(true)
		conn, err := narrowDialer.Dial("tcp", addr)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		var requests bytes.Buffer
		behind := strings.Repeat("b", 64<<10) // more than the server reads ahead
		fmt.Fprint(&requests, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: first\r\n\r\n")
		fmt.Fprintf(&requests, "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: behind\r\nContent-Length: %d\r\n\r\n%s", len(behind), behind)
		_, err = conn.Write(requests.Bytes())
		c.Assert(err, qt.IsNil)
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Check(resp.Close, qt.IsTrue)
		body, err := io.ReadAll(resp.Body)
		c.Check(err, qt.IsNil, qt.Commentf("response of %d bytes", length))
		c.Check(len(body), qt.Equals, length)
		c.Check(countWrites(h), qt.DeepEquals, map[string]int{"first": 1})
	}
}
