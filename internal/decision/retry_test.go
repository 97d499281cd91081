package decision

import (
	"testing"
)

// A non-idempotent request is retried only if the first attempt did not run.
func TestNonIdempotentIsNotRetriedIfItMayHaveRun(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	a := w.receive(Request{ID: 1, Class: 2, Remaining: 4000 * ms})
	w.endAttempt(a.attempts[0], ConnectFailed)
	w.failIf(len(a.attempts) != 2, "not retried although the first attempt did not run")
	w.endAttempt(a.attempts[1], ConnectionReset)
	w.failIf(len(a.attempts) != 2 || !a.done, "%d attempts, done %v after an attempt that may have run; want 2, true", len(a.attempts), a.done)
}

// No retry is sent after the dedup window, and no request to a draining host.
func TestDedupWindowAndDrain(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyTarget, set.Classes[0].Timeout = 4000*ms, 5000*ms
	w := newQuietWorld(t, set, false)
	a := w.receive(Request{ID: 1, Class: 0, Remaining: 5000 * ms})
	w.advance(2500 * ms)
	sent := len(a.attempts)
	for _, s := range a.attempts {
		w.endAttempt(s, ConnectionReset)
	}
	w.failIf(len(a.attempts) != sent || !a.done, "retried after the dedup window")
	w.listFourHosts(Draining)
	b := w.receive(Request{ID: 2, Class: 1, Remaining: 5000 * ms})
	w.failIf(len(b.attempts) != 0, "sent to a draining host")
	w.advance(1000 * ms)
	w.failIf(!w.requests[2].done, "a request without a usable host was not answered after one second")
}

// Guards against a host that fails fast attracting requests because it has few in flight.
func TestFastFailuresAttractNoRequests(t *testing.T) {
	w, sent := newQuietWorld(t, testSettings(), false), [4]int{}
	for i := range uint32(400) {
		a := w.receive(Request{ID: 10 + i, Class: 1, Remaining: 5000 * ms})
		for _, s := range a.attempts {
			if sent[s.host.ID]++; s.host.ID == 2 {
				w.endAttempt(s, Failed)
			}
		}
		w.advance(10 * ms)
		for _, s := range w.inFlight[max(0, len(w.inFlight)-12):max(0, len(w.inFlight)-8)] {
			w.endAttempt(s, Succeeded)
		}
	}
	w.failIf(sent[2] > sent[0]/2, "sent by host: %v", sent)
}
