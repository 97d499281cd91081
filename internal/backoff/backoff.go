// Package backoff waits between calls that fail.
package backoff

import (
	"context"
	"time"

	"portflow/internal/random"
)

const (
	initialDelay = 50 * time.Millisecond // no more than the platforms' own delays
	maxDelay     = 2 * time.Second       // short beside the outages that routers see
)

// Backoff are those of one caller, by the chance of its seed: routers that lost a peer in the same moment would else come
// back to it in step, again and again. It is not safe for use by two goroutines.
type Backoff struct {
	Source random.Source
}

// Delay is how long to wait after so many failures in a row: half to one and a half of a time that doubles up to a bound.
func (b *Backoff) Delay(failures int) time.Duration {
	mean := min(maxDelay, initialDelay<<min(max(failures-1, 0), 10))
	return time.Duration((0.5 + b.Source.Float64()) * float64(mean))
}

// Wait waits for so long, or until the context ends.
func (b *Backoff) Wait(ctx context.Context, failures int) {
	timer := time.NewTimer(b.Delay(failures))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
