package proxy

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxAllocations is the maximum number of allocations per small request in the entire process, including net/http and the decision engine.
const maxAllocations = 146

// Guards against additional allocations per request. All requests use one keep-alive connection, and neither the client nor the host of this
// test allocates.
func TestAllocations(t *testing.T) {
	address := acceptConns(t, func(_ int, c net.Conn) {
		defer c.Close()
		in, answer := bufio.NewReader(c), []byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nbody")
		for {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 {
				c.Write(answer)
			}
		}
	})
	_, addr := startProxy(t, &scriptedHost{address: address})
	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	request, answer, size := []byte("GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\nTime-Remaining: 1500\r\n\r\n"), make([]byte, 4096), 0
	roundTrip := func() {
		c.Write(request)
		if size == 0 { // every response is as long as the first one
			size, err = c.Read(answer)
		} else {
			_, err = io.ReadFull(c, answer[:size])
		}
		qt.Assert(t, err == nil && strings.HasPrefix(string(answer[:15]), "HTTP/1.1 200 OK"), qt.IsTrue)
	}
	const requests = 1000
	measureAllocs := func() float64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range requests {
			roundTrip()
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / requests
	}
	measureAllocs()
	allocs := min(measureAllocs(), measureAllocs(), measureAllocs()) // background tasks add a few allocations
	t.Logf("%.1f allocations per request", allocs)
	qt.Check(t, allocs <= maxAllocations, qt.IsTrue, qt.Commentf("%.1f", allocs))
}
