// Package retry waits between calls that fail.
package retry

import (
	"context"
	"time"
)

const (
	first   = 50 * time.Millisecond // no more than the platforms' own delays
	longest = 2 * time.Second       // short beside the outages that routers see
)

// Wait waits after so many failures in a row, twice as long each time up to a bound, or until the context ends.
func Wait(ctx context.Context, failures int) {
	timer := time.NewTimer(min(longest, first<<min(max(failures-1, 0), 10)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
