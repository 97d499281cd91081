package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/decision"
	"portflow/internal/proxy/attempt"
)

// Only the decision engine may retry. A request must reach a host only once if the host closes a keep-alive connection after reading it,
// whatever its method and body, and even if its Idempotency-Key would let net/http retry it.
func TestOnlyEngineRetries(t *testing.T) {
	for _, how := range []string{"closed", "reset", "cut head", "cut body"} {
		t.Run(how, func(t *testing.T) {
			h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
				answer := goodAnswer(r, "x")
				if r.Header.Get("Attempt-Id") == "warm" {
					return answer, true
				}
				return answer[:map[string]int{"cut head": 20, "cut body": len(answer) - 1}[how]], false
			})
			h.resetOnClose = how == "reset"
			other := startScriptedHost(t, h.respond) // a retry would have another host to go to
			_, addr := startProxy(t, h, other)
			for i, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "DELETE", "POST", "PUT", "PATCH", "PROPFIND"} {
				for k, extra := range [][]string{nil, {"Idempotency-Key: k"}, {"X-Idempotency-Key: k"}} {
					for _, body := range []string{"", "body"} {
						if body != "" && (method == "TRACE" || method == "HEAD") || method == "HEAD" && how == "cut body" { // a response to HEAD has no body
							continue
						}
						for range 3 {
							exchange(t, addr, "GET", "/look/warm", "warm", "")
						}
						id := fmt.Sprintf("u-%d-%d-%s", i, k, body)
						got := exchange(t, addr, method, "/issue/x", id, body, extra...)
						qt.Check(t, status(got), qt.Equals, "502", qt.Commentf("%s %q", method, got))
					}
				}
			}
			for id, n := range countWrites(h, other) {
				qt.Check(t, id == "warm" || n == 1, qt.IsTrue, qt.Commentf("request %s reached hosts %d times, want 1", id, n))
			}
		})
	}
}

// Hosts that close each connection right after a response, possibly while the next request is being written: no request may be received
// twice, and a request that a host received must not be reported as not run.
func TestConnectionsClosedAfterResponse(t *testing.T) {
	respondAndClose := func(n int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "x"), false }
	hosts := []*scriptedHost{startScriptedHost(t, respondAndClose), startScriptedHost(t, respondAndClose)}
	hosts[1].resetOnClose = true
	_, addr := startProxy(t, hosts...)
	var mu sync.Mutex
	statuses := map[string]string{}
	var wg sync.WaitGroup
	for k := range 4 {
		wg.Go(func() {
			for n := range 100 {
				id := fmt.Sprintf("u-%d-%d", k, n)
				got := status(exchange(t, addr, "POST", "/issue/x", id, "body"))
				mu.Lock()
				statuses[id] = got
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	received, byStatus := countWrites(hosts...), map[string]int{}
	for id, code := range statuses {
		byStatus[code]++
		qt.Check(t, received[id] <= 1, qt.IsTrue, qt.Commentf("request %s reached hosts %d times, want at most 1", id, received[id]))
		qt.Check(t, received[id] == 0 || code == "200" || code == "502", qt.IsTrue, qt.Commentf("request %s reached a host and got status %s", id, code))
	}
	t.Log(byStatus)
	qt.Check(t, byStatus["200"] > 300, qt.IsTrue, qt.Commentf("%v", byStatus))
}

// failingNetwork is a network on which the next writes to hosts fail.
type failingNetwork struct {
	*loopback
	fail  atomic.Int32 // number of writes that still fail
	after int          // bytes of a failing write that are sent
}

func (f *failingNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := f.loopback.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &failingConn{c, f}, nil
}

type failingConn struct {
	net.Conn
	network *failingNetwork
}

func (c *failingConn) Pending() bool { return false }

func (c *failingConn) Write(b []byte) (int, error) {
	if c.network.fail.Add(-1) < 0 {
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:c.network.after])
	c.Close()
	return n, syscall.EPIPE
}

// A request must be retried if the connection accepted none of its bytes, but not if it accepted some, because the host may have run it.
func TestFailedWrites(t *testing.T) {
	for _, x := range []struct {
		after  int
		status string
	}{{0, "200"}, {1, "502"}, {60, "502"}} {
		for _, method := range []string{"POST", "HEAD", "GET"} {
			h, other := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
				return goodAnswer(r, map[bool]string{true: "", false: "x"}[r.Method == "HEAD"]), true
			}), startScriptedHost(t, nil)
			other.respond = h.respond
			net := &failingNetwork{loopback: &loopback{}, after: x.after}
			_, addr := startProxyOn(t, net, net.loopback, h, other)
			net.fail.Store(1)
			got := exchange(t, addr, method, "/issue/x", "u1", "")
			qt.Check(t, status(got), qt.Equals, x.status, qt.Commentf("%s, write failed after %d bytes: %q", method, x.after, got))
			qt.Check(t, countWrites(h, other)["u1"], qt.Equals, map[string]int{"200": 1, "502": 0}[x.status], qt.Commentf("%s, write failed after %d bytes", method, x.after))
		}
	}
}

// An attempt must be reported to the decision engine as not run only if that is certain, whichever result the connection pool reports.
// Nothing may be written to a host once the final response is decided.
func TestResultsReportedToEngine(t *testing.T) {
	c := qt.New(t)
	notRun := map[decision.Result]bool{decision.Rejected: true, decision.ConnectFailed: true, decision.Unsent: true}
	for e := decision.Succeeded; e <= decision.InvalidAnswer; e++ {
		for _, sent := range []bool{false, true} {
			x := &clientRequest{streams: make(chan *streamedReply, 1)}
			c.Assert(x.beginAttempt(), qt.IsTrue)
			c.Check(x.beginAttempt(), qt.IsFalse)
			if sent {
				c.Assert(x.BeginWrite(1), qt.IsTrue)
				x.Wrote(9, nil)
				c.Check(x.BeginWrite(2), qt.IsFalse)
				c.Check(x.WrittenOn(1) && !x.WrittenOn(2), qt.IsTrue)
			}
			reported, _ := x.endAttempt(e)
			known := x.settle()
			c.Check(notRun[reported] || reported <= decision.Failed && !sent, qt.Equals, known.Execution() == attempt.NotRun, qt.Commentf("result %d, sent %v: reported %d", e, sent, reported))
			c.Check(x.BeginWrite(3), qt.IsFalse)
		}
	}
	x := &clientRequest{streams: make(chan *streamedReply, 1)}
	x.beginAttempt()
	c.Check(x.settle().MayRefuse(), qt.IsTrue)
	c.Check(x.BeginWrite(1), qt.IsFalse) // by the attempt in flight
	c.Check(x.offerStream(&streamedReply{}), qt.IsFalse)
}

// A streamed response that nobody receives, because the client disconnects or the final response is decided, must end its attempt.
func TestStreamWithoutReceiver(t *testing.T) {
	x := &clientRequest{streams: make(chan *streamedReply, 1)}
	s := &streamedReply{done: make(chan error, 1)}
	x.beginAttempt()
	x.BeginWrite(1)
	qt.Assert(t, x.offerStream(s), qt.IsTrue)
	x.settle()
	qt.Check(t, <-s.done, qt.Equals, errSettled)
	qt.Check(t, strings.HasPrefix(x.settle().Execution().String(), "may"), qt.IsTrue)
}
