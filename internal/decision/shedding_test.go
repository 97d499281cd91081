package decision

import (
	"testing"
)

// Answers once came after the contract time of the band that is worth most, long before any was turned away, and
// hosts worked for clients that give up early and ask again.
func TestOverload(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	rejected := [3]int{}
	for i := range 1500 {
		a := w.receive(Request{ID: uint32(10 + i), Class: i % 3, Remaining: 3000 * ms})
		w.advance(5 * ms)
		if a.done && len(a.attempts) == 0 {
			rejected[a.Class]++
		}
		if i%4 == 0 && len(w.inFlight) > 0 { // a quarter of what comes can be done
			w.endAttempt(w.inFlight[0], Succeeded)
			w.inFlight = w.inFlight[1:]
		}
	}
	w.failIf(rejected[1] < 200 || rejected[1] < rejected[0], "dismissed by band: %v", rejected)
	d, shed := w.engine.decider, [2]int{}
	d.tickLoad[openRequests], d.ownLoad[answerCount], d.ownLoad[answerSeconds] = 100, 14.8, 1e3 // nine tenths of the shortest contract time
	for i := range 1200 {
		if b := d.classes[i%3]; d.shouldShed(&request{class: b, customer: 9, target: d.now + b.LatencyTarget,
			deadline: d.now + b.LatencyTarget/2 + int64(i%2)*b.LatencyTarget}) {
			shed[i%2]++
		}
	}
	w.failIf(shed[0] < 2*shed[1], "%d of those that give up early turned away, and %d others", shed[0], shed[1])
}

// A router once let open commands run up to its last descriptor before it shed any: answers came soon enough.
func TestShedsByOpenRequests(t *testing.T) {
	rejected := 0
	for _, open := range []float64{10, 90} {
		d := newDecider(Settings{Routers: 1, MaxOpen: 100, Classes: []RequestClass{{LatencyTarget: 1000 * ms, Value: 1}}}, 1, nil)
		d.tickLoad[0] = open
		for range 100 {
			if d.shouldShed(&request{class: d.classes[0], deadline: 1000 * ms, target: 1000 * ms}) {
				rejected++
			}
		}
		if open == 10 && rejected > 0 || open == 90 && rejected < 50 {
			t.Errorf("%d turned away with %v of 100 open", rejected, open)
		}
	}
}
