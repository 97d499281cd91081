package standin

import "math"

// ClientBehaviour describes when a client retries and when it abandons an attempt.
type ClientBehaviour struct {
	Retries             int     // maximum number of retries
	InitialWait         int64   // mean wait before the first retry in nanoseconds; 0 retries at once
	BackoffFactor       float64 // factor by which the wait grows with each retry; 1 keeps it fixed
	HonoursRetryAfter   bool    // extends the wait to the Retry-After of the response
	EarlyFactor         float64 // fraction of Retry-After that the client waits for; 1 for all of it
	SendsIdempotencyKey bool    // sends an idempotency key, so that hosts recognize retries
	Patience            float64 // fraction of the timeout after which the client abandons an attempt
}

// NextRetry returns the wait before the next attempt in nanoseconds; again is false if there are no retries left. attempt
// counts from 0, advised is the Retry-After of the response in nanoseconds, and draw is a random number in [0, 1) for jitter.
func (b ClientBehaviour) NextRetry(attempt int, advised int64, draw float64) (wait int64, again bool) {
	if attempt >= b.Retries {
		return 0, false
	}
	wait = int64(float64(b.InitialWait) * math.Pow(max(1, b.BackoffFactor), float64(attempt)) * (0.5 + draw))
	if b.HonoursRetryAfter {
		wait = max(wait, int64(float64(advised)*b.EarlyFactor))
	}
	return wait, true
}

// DrawBehaviour returns a random behaviour from the mix of a typical fleet: clients that retry at once, after a fixed wait or
// with exponential backoff. retryAfterShare is the fraction of clients that honour Retry-After, sendsKeys sets
// SendsIdempotencyKey, and u, v, w and x are random numbers in [0, 1).
func DrawBehaviour(retryAfterShare float64, sendsKeys bool, u, v, w, x float64) ClientBehaviour {
	b := ClientBehaviour{Retries: 3, BackoffFactor: 1, EarlyFactor: 1, SendsIdempotencyKey: sendsKeys, Patience: 0.4 + 0.6*u, HonoursRetryAfter: w < retryAfterShare}
	switch {
	case v < 0.4: // retries at once
	case v < 0.7:
		b.InitialWait = 200e6
	case v < 0.9:
		b.InitialWait, b.BackoffFactor = 100e6, 2
	default:
		b.Retries = int(4 * x)
	}
	if w < retryAfterShare*0.1 {
		b.EarlyFactor = 0.5
	}
	return b
}
