package lanes

import "portflow/internal/parts/faded"

// Forecast says when a service will have room for one that is sent away now: those who were sent away before come first, and
// all of them get a part of what the service answers. So not all come back at once.
type Forecast struct {
	answers faded.Sum
	next    int64 // when the last one that was sent away is to come back, Unix nanoseconds
}

const (
	memory   = 2 * second     // of answers
	returns  = 0.5            // of what is answered is left to those who come back; who comes anew gets the rest
	shortest = second / 5     // about as long as a host takes for one request
	longest  = 5 * second     // beyond which nothing is foretold
	fewest   = 1 / float64(2) // answers a second are taken for granted, so that a forecast ends
)

// Answered counts one answer of a host.
func (f *Forecast) Answered(now int64) { f.answers.Add(now, memory, 0) }

// Wait is after how long one that is sent away now should come back, nanoseconds: at most most, as it would not wait longer.
func (f *Forecast) Wait(now, most int64) int64 {
	f.answers.Fade(now, memory)
	pace := max(fewest, f.answers.N/(float64(memory)/float64(second))) * returns
	turn := max(f.next, now) + int64(float64(second)/pace)
	if turn-now > longest { // no more are promised a turn than will have one
		turn = now + longest
	}
	f.next = turn
	return max(min(max(turn-now, shortest), most), 0)
}
