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

// narrowDialer opens connections that take little before it is read, so that answers wait at their sender.
var narrowDialer = net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
}}

// A router that ends closes each connection after its next answer. What a client has pipelined behind that request is not read then;
// the connection must not be reset because of it, as a reset takes the rest of the answer away.
func TestAnswerBeforeAClose(t *testing.T) {
	for _, length := range []int{100 << 10, maxBufferedAnswer + 100<<10} { // read before it is passed on, and streamed
		c := qt.New(t)
		answer := strings.Repeat("a", length)
		h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, answer), true })
		p, at := startProxy(t, h)
		p.draining.Store(true)
		conn, err := narrowDialer.Dial("tcp", at)
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
		c.Check(err, qt.IsNil, qt.Commentf("%d bytes", length))
		c.Check(len(body), qt.Equals, length)
		c.Check(countWrites(h), qt.DeepEquals, map[string]int{"first": 1})
	}
}
