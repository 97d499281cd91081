package standin

import "math"

// ClientBehaviour is how a client retries.
type ClientBehaviour struct {
	Retries             int     // at most
	InitialWait         int64   // before a retry, 0 for at once
	BackoffFactor       float64 // of the wait with each attempt; 1 for a fixed one
	HonoursRetryAfter   bool    // it waits as long as Retry-After says, where that is longer
	EarlyFactor         float64 // fraction of Retry-After after which it retries all the same, 1 for none
	SendsIdempotencyKey bool    // it marks retries
	Patience            float64 // fraction of the timeout after which it gives an attempt up
}

// NextRetry returns how long to wait before the next attempt, if there is one; attempt counts from 0, and draw is from [0, 1).
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

// DrawBehaviour returns a mixture of behaviours, as fleets have them: hasty clients, patient ones, and those that honour
// Retry-After; u, v, w and x are draws from [0, 1).
func DrawBehaviour(heed float64, marks bool, u, v, w, x float64) ClientBehaviour {
	h := ClientBehaviour{Retries: 3, BackoffFactor: 1, EarlyFactor: 1, SendsIdempotencyKey: marks, Patience: 0.4 + 0.6*u, HonoursRetryAfter: w < heed}
	switch {
	case v < 0.4: // at once
	case v < 0.7:
		h.InitialWait = 200e6
	case v < 0.9:
		h.InitialWait, h.BackoffFactor = 100e6, 2
	default:
		h.Retries = int(4 * x)
	}
	if w < heed*0.1 {
		h.EarlyFactor = 0.5
	}
	return h
}
