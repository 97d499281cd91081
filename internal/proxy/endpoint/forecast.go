package endpoint

import "portflow/internal/decay"

// Forecast foretells when a service will have room for a request that is refused now: those that were refused before come first, and all
// of them get a part of what the service answers, so that not all come back at once.
type Forecast struct {
	answers     decay.Sum
	lastRetryAt int64 // when the last refused request is to come back, Unix nanoseconds
}

const (
	answerDecayTime = 2 * second     // time constant of the rate of answers
	retryShare      = 0.5            // of the rate of answers is left to requests that come back; new ones get the rest
	minWait         = second / 5     // about as long as a host takes for one request
	maxWait         = 5 * second     // beyond which nothing is foretold
	minRate         = 1 / float64(2) // answers a second that are assumed at least, so that a forecast ends
)

// Answered counts one answer of a host.
func (f *Forecast) Answered(now int64) { f.answers.Add(now, answerDecayTime, 0) }

// Wait is after how many nanoseconds a request that is refused now should come back, at most the given bound, as it would not wait
// longer.
func (f *Forecast) Wait(now, limit int64) int64 {
	f.answers.Decay(now, answerDecayTime)
	perSecond := f.answers.Count / (float64(answerDecayTime) / float64(second))
	retriesPerSecond := max(minRate, perSecond) * retryShare
	retryAt := max(f.lastRetryAt, now) + int64(float64(second)/retriesPerSecond)
	if retryAt-now > maxWait { // no more get the same turn than will have one
		retryAt = now + maxWait
	}
	f.lastRetryAt = retryAt
	return max(min(max(retryAt-now, minWait), limit), 0)
}
