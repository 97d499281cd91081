package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/router/protocol"
)

// pipeConn is a connection of net.Pipe, which holds no data that was not read.
type pipeConn struct{ net.Conn }

func (pipeConn) Pending() bool { return false }

// answerAfter is a host at the other end of a pipe that answers each request after a delay.
func answerAfter(c net.Conn, delay time.Duration) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(delay)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Trace-Id: t\r\n\r\nok"); err != nil {
			return
		}
	}
}

// A proxy answered 502 to requests that their hosts were answering, if the first byte of the response came when the timeout for getting a
// connection had expired and its function had not run yet: the function then took the attempt for one whose response was late. The
// timeout for getting a connection must have no effect once the request has been written. There are many attempts, as it is a race.
func TestResponseAtConnectTimeout(t *testing.T) {
	const attempts, rounds = 2000, 10
	for round := range rounds {
		readTimeout := time.Duration(round%2) * time.Second
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{
				Protocol:       protocol.Protocol{ReportFields: []string{"depth", "mean_ms"}},
				ConnectTimeout: time.Second / 2,
				ReadTimeout:    readTimeout,
				IdleTimeout:    longTimeout,
				MaxConns:       attempts,
				Dial: func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go answerAfter(far, time.Second/2)
					return pipeConn{near}, nil
				},
			})
			defer p.Shutdown()
			var all []chan dispatch.Outcome
			for range attempts {
				_, done := forward(p, "10.0.0.1:1", dispatch.Request{Method: "POST", Target: "/x"}, longTimeout)
				all = append(all, done)
			}
			results := map[decision.Result]int{}
			for _, done := range all {
				results[(<-done).Result]++
			}
			qt.Check(t, results, qt.DeepEquals, map[decision.Result]int{decision.Succeeded: attempts}, qt.Commentf("read timeout %v", readTimeout))
		})
	}
}

// Once a request has been written, only its own timeout and the read timeout end the attempt, whatever timer functions run late.
func TestTimersOfWrittenAttempt(t *testing.T) {
	for _, readTimeout := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancelCause(t.Context())
			a := &attempt{cancel: cancel}
			a.readTimer = a.newReadTimer(readTimeout)
			a.state.Store(stateWriting)
			time.Sleep(2 * time.Second)
			c.Check(ctx.Err(), qt.IsNil, qt.Commentf("the read timer must not run before the response starts"))
			a.startResponse(readTimeout)
			a.connectTimedOut() // expired before the response started, and runs now
			c.Check(ctx.Err(), qt.IsNil)
			time.Sleep(time.Second / 2)
			c.Check(ctx.Err(), qt.IsNil)
			time.Sleep(time.Second)
			c.Check(errors.Is(context.Cause(ctx), errReadTimeout), qt.Equals, readTimeout > 0)
		})
	}
}
