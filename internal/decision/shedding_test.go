package decision

import (
	"testing"
)

// Guards against shedding too late to meet the latency target of the most valuable class, and against preferring requests of
// clients that give up early.
func TestOverloadShedsTheLeastValuable(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	rejected := [3]int{}
	for i := range 1500 {
		a := w.receive(Request{ID: uint32(10 + i), Class: i % 3, Remaining: 3000 * ms})
		w.advance(5 * ms)
		if a.done && len(a.attempts) == 0 {
			rejected[a.Class]++
		}
		if i%4 == 0 && len(w.inFlight) > 0 { // the hosts' throughput is a quarter of the load
			w.endAttempt(w.inFlight[0], Succeeded)
			w.inFlight = w.inFlight[1:]
		}
	}
	w.failIf(rejected[1] < 200 || rejected[1] < rejected[0], "rejected by class: %v", rejected)
	d, shed := w.engine.decider, [2]int{}
	d.tickLoad[openRequests] = 100
	d.ownLoad[answerCount] = 14.8
	d.ownLoad[answerSeconds] = 1e3 // a mean latency of nine tenths of the shortest latency target
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
	w.failIf(shed[0] < 2*shed[1], "shed %d requests of clients that give up early and %d others, want at least twice as many", shed[0], shed[1])
}

// Guards against a router that runs out of file descriptors because it sheds by latency only.
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
			t.Errorf("%d requests shed with %v of 100 open", rejected, open)
		}
	}
}
