// Package decay counts what came of late: each event is forgotten exponentially. It is pure.
package decay

import "math"

// Sum is how many events there were, and the sum of a figure of theirs. Times are nanoseconds; the memory is that in which
// a third is left.
type Sum struct {
	N, Of float64
	at    int64
}

// Fade forgets up to now; a time before the last one changes nothing.
func (s *Sum) Fade(now, memory int64) {
	if now > s.at {
		keep := math.Exp(-float64(now-s.at) / float64(memory))
		s.N, s.Of, s.at = s.N*keep, s.Of*keep, now
	}
}

// Add counts one event with its figure.
func (s *Sum) Add(now, memory int64, figure float64) {
	s.Fade(now, memory)
	s.N++
	s.Of += figure
}
