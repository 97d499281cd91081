// Package decay counts what came of late: each event is forgotten exponentially. It is pure.
package decay

import "math"

// Sum is how many events there were, and the sum of a figure of theirs. Times are nanoseconds; the memory is that in which
// a third is left.
type Sum struct {
	Count, Total float64
	at           int64
}

// Decay forgets up to now; a time before the last one changes nothing.
func (s *Sum) Decay(now, memory int64) {
	if now > s.at {
		factor := math.Exp(-float64(now-s.at) / float64(memory))
		s.Count, s.Total, s.at = s.Count*factor, s.Total*factor, now
	}
}

// Add counts one event with its figure.
func (s *Sum) Add(now, memory int64, value float64) {
	s.Decay(now, memory)
	s.Count++
	s.Total += value
}
