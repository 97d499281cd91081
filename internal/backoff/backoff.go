// Package backoff waits between calls that fail: for longer each time, and for a random part of that. It makes no calls. Begin reading
// at Backoff.
package backoff

import (
	"context"
	"time"

	"portflow/internal/random"
)

const (
	initialDelay = 50 * time.Millisecond // the mean after one failure: no more than the platforms' own delays
	maxDelay     = 2 * time.Second       // the greatest mean: short beside the outages that routers see
	maxDoublings = 10                    // so that the shift does not overflow; maxDelay is reached before
)

// Backoff is the waits of one caller, which depend on the seed of its Source: routers that lost a peer at the same moment would
// otherwise call it again at the same moments. It is not safe for concurrent use.
type Backoff struct {
	Source random.Source
}

// Delay returns the wait after so many failures in a row: half to one and a half of a mean that doubles up to a bound.
func (b *Backoff) Delay(failures int) time.Duration {
	mean := min(maxDelay, initialDelay<<min(max(failures-1, 0), maxDoublings))
	return time.Duration((0.5 + b.Source.Float64()) * float64(mean))
}

// Wait waits for Delay, or until the context ends.
func (b *Backoff) Wait(ctx context.Context, failures int) {
	timer := time.NewTimer(b.Delay(failures))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
