// Package backoff waits between calls that fail.
package backoff

import (
	"context"
	"time"

	"portflow/internal/random"
)

const (
	first   = 50 * time.Millisecond // no more than the platforms' own delays
	longest = 2 * time.Second       // short beside the outages that routers see
)

// Waits are those of one caller, by the chance of its seed: routers that lost a peer in the same moment would else come
// back to it in step, again and again. It is not safe for use by two goroutines.
type Waits struct {
	Draw random.Source
}

// After is how long to wait after so many failures in a row: half to one and a half of a time that doubles up to a bound.
func (w *Waits) After(failures int) time.Duration {
	mean := min(longest, first<<min(max(failures-1, 0), 10))
	return time.Duration((0.5 + w.Draw.Next()) * float64(mean))
}

// Wait waits for so long, or until the context ends.
func (w *Waits) Wait(ctx context.Context, failures int) {
	timer := time.NewTimer(w.After(failures))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
