package lanes

import "math"

// Forecast says when a service will have room for one that is sent away now: those who were sent away before come first, and
// all of them get a part of what the service answers. So not all come back at once.
type Forecast struct {
	answers float64 // of late, forgotten over memory
	at      int64
	next    int64 // when the last one that was sent away is to come back, Unix nanoseconds
}

const (
	memory   = 2 * second
	returns  = 0.5            // of what is answered is left to those who come back; who comes anew gets the rest
	shortest = second / 5     // about as long as a host takes for one request
	longest  = 5 * second     // beyond which nothing is foretold
	fewest   = 1 / float64(2) // answers a second are taken for granted, so that a forecast ends
)

// Answered counts one answer of a host.
func (f *Forecast) Answered(now int64) {
	f.fade(now)
	f.answers++
}

func (f *Forecast) fade(now int64) {
	if now > f.at {
		f.answers *= math.Exp(-float64(now-f.at) / float64(memory))
		f.at = now
	}
}

// Wait is after how long one that is sent away now should come back, nanoseconds: at most most, as it would not wait longer.
func (f *Forecast) Wait(now, most int64) int64 {
	f.fade(now)
	pace := max(fewest, f.answers/(float64(memory)/float64(second))) * returns
	turn := max(f.next, now) + int64(float64(second)/pace)
	if turn-now > longest { // no more are promised a turn than will have one
		turn = now + longest
	}
	f.next = turn
	return max(min(max(turn-now, shortest), most), 0)
}
