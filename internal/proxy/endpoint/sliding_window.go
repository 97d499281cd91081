package endpoint

// SlidingWindow counts what was sent within the last second.
type SlidingWindow struct{ times []int64 }

const second = int64(1e9)

// Allows tells whether fewer than n were sent in the second before now.
func (w *SlidingWindow) Allows(now int64, n int) bool {
	drop := 0
	for drop < len(w.times) && now-w.times[drop] > second+second/10 {
		drop++
	}
	w.times = w.times[drop:]
	return len(w.times) < n
}

// Add counts one.
func (w *SlidingWindow) Add(now int64) { w.times = append(w.times, now) }
