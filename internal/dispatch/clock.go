package dispatch

import "time"

// Clock returns the present time in nanoseconds. It is monotonic and anchored once at the Unix time of its start, so that
// it can be compared with the Unix times in lists of hosts.
type Clock func() int64

// NewClock returns a clock that is anchored at the present time.
func NewClock() Clock {
	start := time.Now()
	unix := start.UnixNano()
	return func() int64 { return unix + int64(time.Since(start)) }
}
