// Package decay counts recent events: each is forgotten exponentially with time. It is pure, and has no clock: its users pass the
// time in. Begin reading at Sum.
package decay

import "math"

// Sum is the decayed number of events and the decayed sum of their values. Times are in nanoseconds; memory is the time constant,
// after which 1/e is left. The zero Sum is empty. It is not safe for concurrent use.
type Sum struct {
	Count, Total float64
	updatedAt    int64 // up to which it is decayed
}

// Decay decays the sum up to now. A time before the last one changes nothing.
func (s *Sum) Decay(now, timeConstant int64) {
	if now <= s.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-s.updatedAt) / float64(timeConstant))
	s.Count *= factor
	s.Total *= factor
	s.updatedAt = now
}

// Add counts one event with its value.
func (s *Sum) Add(now, timeConstant int64, value float64) {
	s.Decay(now, timeConstant)
	s.Count++
	s.Total += value
}
