package standin

import "math"

// ClientBehaviour is how a client asks again.
type ClientBehaviour struct {
	Retries             int     // at most
	InitialWait         int64   // before a further try, 0 for at once
	BackoffFactor       float64 // the wait with each try; 1 for a fixed one
	HonoursRetryAfter   bool    // it waits as long as it is told, where that is longer
	EarlyFactor         float64 // part of the told time after which it comes all the same, 1 for when it is told
	SendsIdempotencyKey bool    // it marks further tries
	Patience            float64 // part of the cut-off after which it gives a try up
}

// NextRetry tells how long to wait before the next try, if there is one; try counts from 0, and draw is from [0, 1).
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

// DrawBehaviour is a mixture of habits, as fleets have them: of hasty clients, patient ones, and those that heed what they
// are told; u, v, w and x are draws from [0, 1).
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
