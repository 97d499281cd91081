package dispatch

import "time"

// Clock tells monotonic nanoseconds, anchored once at the Unix time of its start, so that the times in lists,
// which are Unix times, can be compared with it as they are.
type Clock func() int64

// NewClock starts a clock.
func NewClock() Clock {
	start := time.Now()
	unix := start.UnixNano()
	return func() int64 { return unix + int64(time.Since(start)) }
}
