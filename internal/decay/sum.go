// Package decay provides exponentially decaying counts of events. It has no clock; callers pass the time in.
package decay

import "math"

// Sum is an exponentially decayed count of events, and the decayed total of their values. Times are in nanoseconds; timeConstant is
// the time in which both decay to 1/e. The zero Sum is empty. It is not safe for concurrent use.
type Sum struct {
	Count, Total float64
	updatedAt    int64 // time to which Count and Total have been decayed
}

// Decay decays the sum to now. It has no effect if now is before the time of the last call.
func (s *Sum) Decay(now, timeConstant int64) {
	if now <= s.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-s.updatedAt) / float64(timeConstant))
	s.Count *= factor
	s.Total *= factor
	s.updatedAt = now
}

// Add decays the sum to now, and then adds an event with the given value.
func (s *Sum) Add(now, timeConstant int64, value float64) {
	s.Decay(now, timeConstant)
	s.Count++
	s.Total += value
}
