package endpoint

const second = int64(1e9) // nanoseconds

// windowLength is how long a request is counted: a second, plus a tenth because requests that are sent further apart may arrive within
// one second.
const windowLength = second + second/10

// SlidingWindow limits the number of requests in any second. The zero value is empty. Calls must have non-decreasing times, in Unix
// nanoseconds.
type SlidingWindow struct{ times []int64 }

// Allows reports whether fewer than n requests were sent in the window that ends now.
func (w *SlidingWindow) Allows(now int64, n int) bool {
	expired := 0
	for expired < len(w.times) && now-w.times[expired] > windowLength {
		expired++
	}
	w.times = w.times[expired:]
	return len(w.times) < n
}

// Add counts a request that is sent now.
func (w *SlidingWindow) Add(now int64) { w.times = append(w.times, now) }
