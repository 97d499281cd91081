package endpoint

import "portflow/internal/decay"

// Forecast estimates when a service will have capacity for a request that is rejected now. It spreads the retries of rejected requests over
// time, in the order of their rejection, at a fixed share of the rate at which the service answers. The zero value is ready to use.
type Forecast struct {
	answers     decay.Sum
	lastRetryAt int64 // when the request that was rejected last should be retried, in Unix nanoseconds
}

const (
	answerDecayTime = 2 * second     // time constant of the answer rate
	retryShare      = 0.5            // share of the answer rate that is left to retries; new requests get the rest
	minWait         = second / 5     // about as long as a host takes for one request
	maxWait         = 5 * second     // no retry is scheduled later than this
	minRate         = 1 / float64(2) // lower bound of the answer rate, per second, so that waits stay finite
)

// Answered counts a host's answer. Times are Unix nanoseconds.
func (f *Forecast) Answered(now int64) { f.answers.Add(now, answerDecayTime, 0) }

// Wait returns after how many nanoseconds a request that is rejected now should be retried, at most limit. It also schedules that retry,
// so that later rejected requests get later times.
func (f *Forecast) Wait(now, limit int64) int64 {
	f.answers.Decay(now, answerDecayTime)
	perSecond := f.answers.Count / (float64(answerDecayTime) / float64(second))
	retriesPerSecond := max(minRate, perSecond) * retryShare
	retryAt := max(f.lastRetryAt, now) + int64(float64(second)/retriesPerSecond)
	if retryAt-now > maxWait { // from here on all retries are scheduled at maxWait
		retryAt = now + maxWait
	}
	f.lastRetryAt = retryAt
	return max(min(max(retryAt-now, minWait), limit), 0)
}
