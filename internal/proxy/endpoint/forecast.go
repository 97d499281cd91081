package endpoint

import "portflow/internal/decay"

// Forecast says when a service will have room for one that is sent away now: those who were sent away before come first, and
// all of them get a part of what the service answers. So not all come back at once.
type Forecast struct {
	answers    decay.Sum
	nextReturn int64 // when the last one that was sent away is to come back, Unix nanoseconds
}

const (
	answerMemory   = 2 * second     // of answers
	returningShare = 0.5            // of what is answered is left to those who come back; who comes anew gets the rest
	minWait        = second / 5     // about as long as a host takes for one request
	maxWait        = 5 * second     // beyond which nothing is foretold
	minRate        = 1 / float64(2) // answers a second are taken for granted, so that a forecast ends
)

// Answered counts one answer of a host.
func (f *Forecast) Answered(now int64) { f.answers.Add(now, answerMemory, 0) }

// Wait is after how long one that is sent away now should come back, nanoseconds: at most most, as it would not wait longer.
func (f *Forecast) Wait(now, most int64) int64 {
	f.answers.Decay(now, answerMemory)
	pace := max(minRate, f.answers.Count/(float64(answerMemory)/float64(second))) * returningShare
	turn := max(f.nextReturn, now) + int64(float64(second)/pace)
	if turn-now > maxWait { // no more are promised a turn than will have one
		turn = now + maxWait
	}
	f.nextReturn = turn
	return max(min(max(turn-now, minWait), most), 0)
}
