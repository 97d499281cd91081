package endpoint

const second = int64(1e9) // nanoseconds

// windowLength is for how long a request is counted: a second, and a tenth for the time that requests take on their way.
const windowLength = second + second/10

// SlidingWindow counts the requests of the last second. The zero value is empty.
type SlidingWindow struct{ times []int64 }

// Allows reports whether fewer than n were sent in the window before now.
func (w *SlidingWindow) Allows(now int64, n int) bool {
	expired := 0
	for expired < len(w.times) && now-w.times[expired] > windowLength {
		expired++
	}
	w.times = w.times[expired:]
	return len(w.times) < n
}

// Add counts one that is sent now.
func (w *SlidingWindow) Add(now int64) { w.times = append(w.times, now) }
