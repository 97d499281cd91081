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

// recordingTracker is a WriteTracker that records its calls, and denies all writes if deny is set.
type recordingTracker struct {
	mu     sync.Mutex // guards the fields below
	deny   bool
	conns  []any
	wrote  int
	failed int
}

func (r *recordingTracker) WrittenOn(conn any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		if c == conn {
			return true
		}
	}
	return false
}

func (r *recordingTracker) BeginWrite(conn any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.deny {
		r.conns = append(r.conns, conn)
	}
	return !r.deny
}

func (r *recordingTracker) Wrote(n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrote += n
	if err != nil {
		r.failed++
	}
}

// Nothing may be written if the tracker denies it. A retry must be written on a connection that the request has not used before,
// while other requests reuse the open connections.
func TestWriteTracker(t *testing.T) {
	var received, conns atomic.Int64
	address := startHost(t, func(_ int, c net.Conn, _ *http.Request, _ string) bool {
		received.Add(1)
		return writeResponse(c, "200 OK", "Content-Length: 2\r\n\r\nhi")
	})
	p := newPool(4)
	p.Observe = func(string, net.Addr, net.Addr) ConnCounter {
		conns.Add(1)
		return noCounter{}
	}
	tracker := &recordingTracker{}
	for n, want := range []struct{ received, conns int64 }{{1, 1}, {2, 2}, {3, 3}} {
		r := get
		r.Payload = tracker
		if _, done := forward(p, address, r, longTimeout); (<-done).Result != decision.Succeeded || received.Load() != want.received || conns.Load() != want.conns {
			t.Errorf("attempt %d: host received %d requests on %d connections", n, received.Load(), conns.Load())
		}
		_, done := forward(p, address, get, longTimeout) // has no tracker
		if (<-done).Result != decision.Succeeded || conns.Load() != want.conns {
			t.Errorf("request without a tracker after attempt %d: %d connections", n, conns.Load())
		}
		received.Add(-1)
	}
	if len(tracker.conns) != 3 || tracker.wrote == 0 || tracker.failed > 0 {
		t.Error(len(tracker.conns), tracker.wrote, tracker.failed)
	}
	denied := dispatch.Request{Method: "POST", Target: "/accept", Body: []byte("body"), Payload: &recordingTracker{deny: true}}
	before := received.Load()
	if _, done := forward(p, address, denied, longTimeout); (<-done).Result == decision.Succeeded || received.Load() != before {
		t.Error("written although the tracker denied it")
	}
}
