package standin

import "math"

// Habit is how a client asks again.
type Habit struct {
	Retries  int     // at most
	Wait     int64   // before a further try, 0 for at once
	Grows    float64 // the wait with each try; 1 for a fixed one
	Heeds    bool    // it waits as long as it is told, where that is longer
	Early    float64 // part of the told time after which it comes all the same, 1 for when it is told
	Marks    bool    // it marks further tries
	Patience float64 // part of the cut-off after which it gives a try up
}

// Next tells how long to wait before the next try, if there is one; try counts from 0, and draw is from [0, 1).
func (h Habit) Next(try int, told int64, draw float64) (wait int64, again bool) {
	if try >= h.Retries {
		return 0, false
	}
	wait = int64(float64(h.Wait) * math.Pow(max(1, h.Grows), float64(try)) * (0.5 + draw))
	if h.Heeds {
		wait = max(wait, int64(float64(told)*h.Early))
	}
	return wait, true
}

// Fleet is a mixture of habits, as fleets have them: of hasty clients, patient ones, and those that heed what they
// are told; u, v, w and x are draws from [0, 1).
func Fleet(heed float64, marks bool, u, v, w, x float64) Habit {
	h := Habit{Retries: 3, Grows: 1, Early: 1, Marks: marks, Patience: 0.4 + 0.6*u, Heeds: w < heed}
	switch {
	case v < 0.4: // at once
	case v < 0.7:
		h.Wait = 200e6
	case v < 0.9:
		h.Wait, h.Grows = 100e6, 2
	default:
		h.Retries = int(4 * x)
	}
	if w < heed*0.1 {
		h.Early = 0.5
	}
	return h
}
