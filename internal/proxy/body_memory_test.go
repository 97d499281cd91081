package proxy

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/decision"
	"portflow/internal/proxy/attempt"
	"portflow/internal/upstream"
)

var _ upstream.WriteTracker = (*clientRequest)(nil)

// Reserved body memory must never exceed its limit, and long bodies must leave a share to short ones.
func TestReserveBody(t *testing.T) {
	p := &Proxy{}
	p.Settings.MemoryMB = 4 // 1 MB for bodies
	qt.Assert(t, p.bodyMemoryLimit(shortBodyBytes), qt.Equals, int64(1<<20))
	qt.Assert(t, p.bodyMemoryLimit(shortBodyBytes+1), qt.Equals, int64(7<<17))
	for n := range 14 {
		qt.Check(t, p.reserveBody(64<<10+1, 64<<10+1), qt.Equals, n < 13)
	}
	for n := range 4 {
		qt.Check(t, p.reserveBody(64<<10, 64<<10), qt.Equals, n < 2, qt.Commentf("%d bytes reserved", p.heldBodyBytes.Load()))
	}
	p.heldBodyBytes.Store(0)
	var all sync.WaitGroup
	var peak atomic.Int64
	for k := range 8 {
		all.Go(func() {
			for n := range 2000 {
				bytes := int64((k+1)*(n%50)) << 10
				if !p.reserveBody(bytes, bytes) {
					continue
				}
				for held := p.heldBodyBytes.Load(); held > peak.Load(); {
					peak.Store(held)
				}
				p.heldBodyBytes.Add(-bytes)
			}
		})
	}
	all.Wait()
	qt.Check(t, peak.Load() <= 1<<20 && p.heldBodyBytes.Load() == 0, qt.IsTrue, qt.Commentf("maximum %d, left at the end %d", peak.Load(), p.heldBodyBytes.Load()))
}

// Body memory is returned by the last holder to release it: the handler, or an attempt that is still in flight.
func TestBodyReservedUntilLastRelease(t *testing.T) {
	for _, handlerFirst := range []bool{true, false} {
		var held atomic.Int64
		held.Store(100)
		x := &clientRequest{streams: make(chan *streamedReply, 1), attempts: attempt.Request{Idempotent: true}, bodyMemory: bodyReservation{total: &held, bytes: 100, holders: 1}}
		for range 2 {
			qt.Assert(t, x.beginAttempt(), qt.IsTrue)
			qt.Assert(t, x.beginAttempt(), qt.IsFalse) // retains nothing
			x.endAttempt(decision.ConnectionReset)
		}
		qt.Assert(t, x.beginAttempt(), qt.IsTrue)
		releases := []func(){x.release, func() { x.endAttempt(decision.Canceled) }}
		if !handlerFirst {
			releases[0], releases[1] = releases[1], releases[0]
		}
		releases[0]()
		qt.Check(t, held.Load(), qt.Equals, int64(100))
		releases[1]()
		qt.Check(t, held.Load(), qt.Equals, int64(0))
	}
}

// A request whose body exceeds the memory left is rejected at once with 503 and Retry-After, before its body is read. Requests that hold a
// reservation are served, and so are short bodies while long ones use all of their share.
func TestBodiesBeyondMemory(t *testing.T) {
	h := startBodySink(t, nil)
	p, addr := startProxy(t, h)
	p.Settings.MemoryMB = 4
	allowLongRequests(t, p)
	const long = 200000
	var all []rawClient
	for n := range 4 {
		c := startRequest(t, addr, fmt.Sprint("in", n), fmt.Sprintf("Content-Length: %d", long))
		io.WriteString(c, "b")
		all = append(all, c)
	}
	waitUntil(t, func() bool { return p.heldBodyBytes.Load() == 4*long })
	for n := range 3 {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d", long), fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue", long), "Content-Length: 300000"} {
			began := time.Now()
			resp := startRequest(t, addr, fmt.Sprint("out", n), framing).answer()
			qt.Check(t, resp.StatusCode, qt.Equals, 503)
			qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			qt.Check(t, resp.Close, qt.IsTrue)
			qt.Check(t, time.Since(began) < 2*time.Second, qt.IsTrue) // reading a body would time out only after 5 s
		}
	}
	chunked := startRequest(t, addr, "chunked", "Transfer-Encoding: chunked")
	go fmt.Fprintf(chunked, "%x\r\n%s\r\n0\r\n\r\n", 2*long, strings.Repeat("c", 2*long))
	qt.Check(t, chunked.answer().StatusCode, qt.Equals, 503)
	qt.Check(t, status(exchange(t, addr, "POST", "/issue/x", "short", "body")), qt.Equals, "200")
	qt.Check(t, p.heldBodyBytes.Load(), qt.Equals, int64(4*long))
	for _, c := range all {
		io.WriteString(c, strings.Repeat("b", long-1))
		qt.Check(t, c.answer().StatusCode, qt.Equals, 200)
	}
	waitUntil(t, func() bool { return p.heldBodyBytes.Load() == 0 })
	qt.Check(t, p.counters.String(), qt.Contains, " unstowed=10 ")
	qt.Check(t, countWrites(h), qt.DeepEquals, map[string]int{"in0": 1, "in1": 1, "in2": 1, "in3": 1, "short": 1})
}

// Body memory must be returned however a request ends.
func TestBodyMemoryIsReturned(t *testing.T) {
	wait := make(chan bool, 100)
	h := startBodySink(t, wait)
	p, addr := startProxy(t, h)
	send := func(c rawClient, body string) rawClient {
		io.WriteString(c, body)
		return c
	}
	contentLength := func(n int) string { return fmt.Sprintf("Content-Length: %d", n) }
	body, waitReturned := strings.Repeat("b", 100000), func() { waitUntil(t, func() bool { return p.heldBodyBytes.Load() == 0 && p.openRequests.Load() == 0 }) }

	wait <- true // served
	qt.Check(t, send(startRequest(t, addr, "a", contentLength(len(body))), body).answer().StatusCode, qt.Equals, 200)
	waitReturned()
	wait <- true
	qt.Check(t, send(startRequest(t, addr, "a", "Transfer-Encoding: chunked"), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)).answer().StatusCode, qt.Equals, 200)
	waitReturned()
	c := send(startRequest(t, addr, "b", contentLength(len(body))), body[1:]) // the body is truncated
	waitUntil(t, func() bool { return p.heldBodyBytes.Load() == int64(len(body)) })
	c.Close()
	waitReturned()
	c = send(startRequest(t, addr, "b", "Transfer-Encoding: chunked"), fmt.Sprintf("%x\r\n%s", len(body), body[1:]))
	waitUntil(t, func() bool { return p.heldBodyBytes.Load() >= int64(len(body)) })
	c.Close()
	waitReturned()
	c = send(startRequest(t, addr, "c", contentLength(len(body))), body) // the client disconnects while the host handles the request
	waitUntil(t, func() bool { return countWrites(h)["c"] == 1 })
	c.Close()
	waitReturned()
	wait <- true
	c = startRequest(t, addr, "d", "Transfer-Encoding: chunked") // over the limit
	go fmt.Fprintf(c, "%x\r\n%s", 3<<20, strings.Repeat("b", 2<<20))
	qt.Check(t, c.answer().StatusCode, qt.Equals, 413)
	waitReturned()
	c = send(startRequest(t, addr, "e", contentLength(len(body))+"\r\nTime-Remaining: 100"), body) // the request times out
	qt.Check(t, c.answer().StatusCode, qt.Equals, 504)
	waitReturned()
	wait <- true
	qt.Check(t, countWrites(h), qt.DeepEquals, map[string]int{"a": 2, "c": 1, "e": 1})
}

// Under a load of many times the body memory, as many requests must be served as fit, the others must be rejected at once, and the heap must
// grow by little more than the reserved bodies and shrink again after the requests.
func TestBodyMemoryUnderLoad(t *testing.T) {
	wait := make(chan bool)
	h := startBodySink(t, wait)
	p, addr := startProxy(t, h)
	p.Settings.MemoryMB = 20 // 5 MB for bodies, of which long ones may use 4.4 MB
	allowLongRequests(t, p)
	const clients, rounds, size, maxBodies, tolerance = 40, 12, 1 << 20, 4, 2 << 20 // maxBodies also equals the slots of the host
	body := []byte(strings.Repeat("b", size))
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	var held, left int64
	for n := range rounds {
		var all sync.WaitGroup
		var served, refused, other atomic.Int64
		for k := range clients {
			all.Go(func() {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					other.Add(1)
					return
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(20 * time.Second))
				fmt.Fprintf(c, "POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %d-%d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", n, k, size)
				all.Go(func() { c.Write(body) })
				answer := make([]byte, 12)
				io.ReadFull(c, answer)
				switch status(string(answer)) {
				case "200":
					served.Add(1)
				case "503":
					refused.Add(1)
				default:
					other.Add(1)
				}
			})
		}
		waitUntil(t, func() bool { return refused.Load() == clients-maxBodies && len(h.requests()) == maxBodies })
		qt.Check(t, p.heldBodyBytes.Load(), qt.Equals, int64(maxBodies*size))
		waitUntil(t, func() bool { // requests that have just ended may not be released yet
			held = heap() - before
			return held < maxBodies*size+tolerance
		})
		for range maxBodies {
			wait <- true
		}
		all.Wait()
		qt.Check(t, served.Load(), qt.Equals, int64(maxBodies))
		qt.Check(t, other.Load(), qt.Equals, int64(0))
		waitUntil(t, func() bool { return p.heldBodyBytes.Load() == 0 && p.openRequests.Load() == 0 })
		waitUntil(t, func() bool {
			left = heap() - before
			return left < tolerance
		})
		h.mu.Lock()
		h.received = nil
		h.mu.Unlock()
	}
	t.Logf("heap growth: %d KB with %d bodies of %d KB, %d KB after %d rounds", held>>10, maxBodies, size>>10, left>>10, rounds)
}
