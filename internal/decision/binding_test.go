package decision

import (
	"testing"
)

func TestGuardedStageAndKeys(t *testing.T) {
	set := testSettings()
	set.GuardedStages = 1
	w := newQuietWorld(t, set, true)
	w.listFourHosts(Gone)
	a := w.receive(Request{ID: 1, Class: 0, Remaining: 3000 * ms})
	w.failIf(len(a.attempts) != 0, "a non-idempotent request was sent to a guarded stage")
	w.changeRollout(Rollout{Build: 5})
	a = w.receive(Request{ID: 3, Class: 1, Remaining: 3000 * ms})
	w.failIf(len(a.attempts) != 0, "sent to the trial with an exposure cap of 0")
	w.changeRollout(Rollout{Build: 5, ExposureCap: 1})
	a = w.receive(Request{ID: 2, Class: 1, Key: 77, Remaining: 5000 * ms})
	w.endAttempt(a.attempts[0], Succeeded)
	w.listFourHosts(Ready)
	w.changeRollout(Rollout{Build: 5, State: Released, ExposureCap: 1}) // keys stay bound to a released build
	for id := range uint32(20) {
		a := w.receive(Request{ID: 10 + id, Class: 1, Key: 77, Remaining: 5000 * ms})
		w.failIf(len(a.attempts) == 1 && a.attempts[0].build != 5, "a key was sent back to an earlier build")
	}
}

// Guards against a key going back to an earlier build after an attempt that may have run, such as one that was canceled.
func TestKeyIsBoundWhenAttemptStarts(t *testing.T) {
	for _, result := range []Result{Canceled, TimedOut, ConnectionReset, Succeeded, Failed, ConnectFailed} {
		d := newDecider(Settings{Routers: 1, TimerResolution: ms, MaxAttempts: 3, KeyAffinity: true, Classes: []RequestClass{{LatencyTarget: 1000 * ms}}}, 1, nil)
		d.hasRollout, d.rollout = true, Rollout{Build: 5}
		req := &request{class: d.classes[0], key: 7, done: true}
		ended := &attempt{host: &host{build: 5, capacity: 1}, build: 5, binding: d.bindKey(req, 5)}
		if d.bindings.latest(7) != 5 {
			t.Fatal("key is not bound while the attempt is in flight")
		}
		d.attemptEnded(req, ended, result, true, ms, nil)
		if bound := d.bindings.latest(7) == 5; bound == (result == Failed || result == ConnectFailed) {
			t.Errorf("result %d: bound %v", result, bound)
		}
	}
}
