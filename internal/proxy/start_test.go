package proxy

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A proxy crashed when its context ended, or when it was drained, before a goroutine of Start had created the server for clients. The server
// and the listener must exist when Start returns, also if the context has ended by then.
func TestContextEndsDuringStart(t *testing.T) {
	const starts = 200 // the crash was a race
	for range starts {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		p, err := Start(ctx, Options{Settings: testSettings(), Network: &loopback{}, Seed: 1})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, p.server.Load() != nil && p.front.Load() != nil, qt.IsTrue)
		<-p.acceptDone
		p.Close()
	}
}
