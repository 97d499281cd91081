package dispatch

import "time"

// Clock returns the current time in nanoseconds. It is monotonic, and set to the Unix time once, when it is created, so that
// it can be compared with the Unix times in host lists.
type Clock func() int64

// NewClock returns a Clock that starts at the current Unix time.
func NewClock() Clock {
	start := time.Now()
	unix := start.UnixNano()
	return func() int64 { return unix + int64(time.Since(start)) }
}
