// Package backoff provides exponential backoff with jitter for repeated calls that fail.
package backoff

import (
	"context"
	"time"

	"portflow/internal/random"
)

const (
	initialDelay = 50 * time.Millisecond // mean after one failure, no longer than the platforms' own delays
	maxDelay     = 2 * time.Second       // largest mean, short compared with typical outages
	maxDoublings = 10                    // keeps the shift from overflowing; maxDelay is reached earlier
)

// Backoff computes the delays of one caller. Each caller needs a Source with its own seed: routers that lose a peer at the same
// moment would otherwise all retry at the same moments. It is not safe for concurrent use.
type Backoff struct {
	Source random.Source
}

// Delay returns the delay after the given number of consecutive failures: 0.5 to 1.5 times a mean that doubles with each failure, up
// to 2 s.
func (b *Backoff) Delay(failures int) time.Duration {
	mean := min(maxDelay, initialDelay<<min(max(failures-1, 0), maxDoublings))
	return time.Duration((0.5 + b.Source.Float64()) * float64(mean))
}

// Wait blocks for the time that Delay returns, or until ctx is done.
func (b *Backoff) Wait(ctx context.Context, failures int) {
	timer := time.NewTimer(b.Delay(failures))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
