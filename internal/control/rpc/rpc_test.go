package rpc

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"
)

// singleConnListener is a net.Listener that accepts the connections in the channel until it is closed.
type singleConnListener chan net.Conn

func (l singleConnListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return &net.UnixAddr{} }

// halfClosed is a connection whose peer has closed its sending side: reads end with io.EOF after sent.
type halfClosed struct {
	net.Conn
	sent io.Reader
}

func (c halfClosed) Read(b []byte) (int, error) { return c.sent.Read(b) }

const (
	chunked  = "Transfer-Encoding: chunked"
	megabyte = 1 << 20
)

// A call whose body times out or is truncated must get status 408 without running, so that the client can retry; a malformed body must get
// status 400. The timeout grows with the Content-Length up to MaxBody.
func TestIncompleteBodies(t *testing.T) {
	length := func(n int) string { return fmt.Sprint("Content-Length: ", n) }
	large := strings.Repeat(" ", 8*megabyte-2) + "{}"
	for name, x := range map[string]struct {
		header, begin string
		pause         time.Duration
		end           string
		breaks        bool
		status        int
		counted       string
	}{
		"complete":                 {length(2), "{", 0, "}", false, 200, "set"},
		"slow":                     {length(2), "{", 2900 * time.Millisecond, "}", false, 200, "set"},
		"too slow":                 {length(2), "{", 3100 * time.Millisecond, "", false, 408, "set.incomplete"},
		"chunked, too slow":        {chunked, "1\r\n{\r\n", 3100 * time.Millisecond, "", false, 408, "set.incomplete"},
		"large, slow":              {length(len(large)), large[:megabyte], 10 * time.Second, large[megabyte:], false, 200, "set"},
		"large, too slow":          {length(len(large)), large[:megabyte], 11100 * time.Millisecond, "", false, 408, "set.incomplete"},
		"over MaxBody, too slow":   {length(1 << 40), "{", 11100 * time.Millisecond, "", false, 408, "set.incomplete"},
		"malformed chunk":          {chunked, "1\r\n{\r\n", 0, "x\r\n", false, 400, "set.malformed"},
		"malformed content":        {length(2), "{", 0, "{", false, 400, "set.malformed"},
		"truncated body":           {length(2), "{", 0, "", true, 408, "set.incomplete"},
		"chunked, truncated":       {chunked, "1\r\n{\r\n", 0, "", true, 408, "set.incomplete"},
		"chunked, truncated chunk": {chunked, "3\r\n{", 0, "", true, 408, "set.incomplete"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ran := 0
				rpcServer := New(Call{Name: "set", MaxBody: 8 * megabyte, Handle: func(_ context.Context, _ string, body []byte) (any, error) {
					ran++
					return nil, func() error { _, err := ParseObject(body); return err }()
				}})
				mux := chi.NewRouter()
				rpcServer.Mount(mux)
				serverConn, clientConn := net.Pipe()
				request := fmt.Sprintf("POST /-/rpc?call=set HTTP/1.1\r\nHost: control\r\n%s\r\n\r\n%s", x.header, x.begin)
				conn := serverConn
				if x.breaks {
					conn = halfClosed{serverConn, strings.NewReader(request)}
				}
				l := make(singleConnListener, 1)
				l <- conn
				close(l)
				server := &http.Server{Handler: mux}
				go server.Serve(l) // ends when it has accepted the only connection in l
				defer clientConn.Close()
				sent := make(chan bool)
				defer func() { <-sent }()
				go func() { // the client; the test waits for it through sent
					defer close(sent)
					if x.breaks {
						return
					}
					io.WriteString(clientConn, request)
					time.Sleep(x.pause)
					io.WriteString(clientConn, x.end)
				}()
				resp, err := http.ReadResponse(bufio.NewReader(clientConn), nil)
				c.Assert(err, quicktest.IsNil)
				io.Copy(io.Discard, resp.Body)
				c.Check(resp.StatusCode, quicktest.Equals, x.status)
				c.Check(rpcServer.Counts(), quicktest.DeepEquals, map[string]int64{x.counted: 1})
				if x.status == 408 {
					c.Check(ran, quicktest.Equals, 0)
					c.Check(resp.Close, quicktest.IsTrue)
				}
			})
		})
	}
}
