package upstream

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// recordingTracker is a Track that remembers what it was told.
type recordingTracker struct {
	mu     sync.Mutex
	deny   bool
	conns  []any
	wrote  int
	failed int
}

func (f *recordingTracker) WrittenOn(conn any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if c == conn {
			return true
		}
	}
	return false
}

func (f *recordingTracker) BeginWrite(conn any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.deny {
		f.conns = append(f.conns, conn)
	}
	return !f.deny
}

func (f *recordingTracker) Wrote(n int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wrote += n; err != nil {
		f.failed++
	}
}

// Without leave nothing is written; a request that goes to a host again goes on another connection, and others go on using
// the ones that are there.
func TestWriteTracker(t *testing.T) {
	var came, conns atomic.Int64
	address := startHost(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
		came.Add(1)
		return writeAnswer(c, "200 OK", "Content-Length: 2\r\n\r\nhi")
	})
	p := newPool(4)
	p.Observe = func(string, net.Addr, net.Addr) ConnCounter {
		conns.Add(1)
		return noCounter{}
	}
	f := &recordingTracker{}
	for n, want := range []struct{ came, conns int64 }{{1, 1}, {2, 2}, {3, 3}} {
		r := get
		r.Payload = f
		if _, done := start(p, address, r, never); (<-done).Result != decision.Succeeded || came.Load() != want.came || conns.Load() != want.conns {
			t.Errorf("%d: %d came on %d connections", n, came.Load(), conns.Load())
		}
		_, done := start(p, address, get, never) // has no Track: uses what is there
		if (<-done).Result != decision.Succeeded || conns.Load() != want.conns {
			t.Errorf("%d: %d connections", n, conns.Load())
		}
		came.Add(-1)
	}
	if len(f.conns) != 3 || f.wrote == 0 || f.failed > 0 {
		t.Error(len(f.conns), f.wrote, f.failed)
	}
	none := dispatch.Request{Method: "POST", Target: "/accept", Body: []byte("body"), Payload: &recordingTracker{deny: true}}
	before := came.Load()
	if _, done := start(p, address, none, never); (<-done).Result == decision.Succeeded || came.Load() != before {
		t.Error("written without leave")
	}
}
