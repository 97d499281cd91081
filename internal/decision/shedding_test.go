package decision

import (
	"testing"
)

// Answers once came after the latency target of the most valuable class long before any request was shed, and hosts worked
// for clients that give up early and send again.
func TestOverloadShedsTheLeastValuable(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	rejected := [3]int{}
	for i := range 1500 {
		a := w.receive(Request{ID: uint32(10 + i), Class: i % 3, Remaining: 3000 * ms})
		w.advance(5 * ms)
		if a.done && len(a.attempts) == 0 {
			rejected[a.Class]++
		}
		if i%4 == 0 && len(w.inFlight) > 0 { // hosts can do a quarter
			w.endAttempt(w.inFlight[0], Succeeded)
			w.inFlight = w.inFlight[1:]
		}
	}
	w.failIf(rejected[1] < 200 || rejected[1] < rejected[0], "rejected by class: %v", rejected)
	d, shed := w.engine.decider, [2]int{}
	d.tickLoad[openRequests] = 100
	d.ownLoad[answerCount] = 14.8
	d.ownLoad[answerSeconds] = 1e3 // nine tenths of the shortest latency target
	for i := range 1200 {
		class := d.classes[i%3]
		req := &request{
			class:    class,
			customer: 9,
			target:   d.now + class.LatencyTarget,
			deadline: d.now + class.LatencyTarget/2 + int64(i%2)*class.LatencyTarget,
		}
		if d.shouldShed(req) {
			shed[i%2]++
		}
	}
	w.failIf(shed[0] < 2*shed[1], "%d of those that give up early shed, and %d others", shed[0], shed[1])
}

// A router once let open requests take its last file descriptor before it shed any, as answers came soon enough.
func TestShedsByOpenRequests(t *testing.T) {
	rejected := 0
	for _, open := range []float64{10, 90} {
		d := newDecider(Settings{Routers: 1, MaxOpen: 100, Classes: []RequestClass{{LatencyTarget: 1000 * ms, Value: 1}}}, 1, nil)
		d.tickLoad[openRequests] = open
		for range 100 {
			if d.shouldShed(&request{class: d.classes[0], deadline: 1000 * ms, target: 1000 * ms}) {
				rejected++
			}
		}
		if open == 10 && rejected > 0 || open == 90 && rejected < 50 {
			t.Errorf("%d shed with %v of 100 open", rejected, open)
		}
	}
}
