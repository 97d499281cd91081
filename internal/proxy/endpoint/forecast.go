package endpoint

import "portflow/internal/decay"

// Forecast foretells when a service will have room for a request that is refused now: those that were refused before come first, and all
// of them get a part of what the service answers, so that not all come back at once.
type Forecast struct {
	answers    decay.Sum
	nextReturn int64 // when the last refused request is to come back, Unix nanoseconds
}

const (
	answerMemory   = 2 * second     // time constant of the rate of answers
	returningShare = 0.5            // of the rate of answers is left to requests that come back; new ones get the rest
	minWait        = second / 5     // about as long as a host takes for one request
	maxWait        = 5 * second     // beyond which nothing is foretold
	minRate        = 1 / float64(2) // answers a second that are assumed at least, so that a forecast ends
)

// Answered counts one answer of a host.
func (f *Forecast) Answered(now int64) { f.answers.Add(now, answerMemory, 0) }

// Wait is after how many nanoseconds a request that is refused now should come back, at most the given bound, as it would not wait
// longer.
func (f *Forecast) Wait(now, most int64) int64 {
	f.answers.Decay(now, answerMemory)
	perSecond := f.answers.Count / (float64(answerMemory) / float64(second))
	returning := max(minRate, perSecond) * returningShare
	turn := max(f.nextReturn, now) + int64(float64(second)/returning)
	if turn-now > maxWait { // no more get the same turn than will have one
		turn = now + maxWait
	}
	f.nextReturn = turn
	return max(min(max(turn-now, minWait), most), 0)
}
