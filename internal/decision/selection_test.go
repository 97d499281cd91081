package decision

import (
	"testing"
)

// Guards against hundreds of routers with little traffic overloading hosts that have all just started.
func TestManyRoutersDoNotOverloadColdHosts(t *testing.T) {
	sent, set := 0, testSettings()
	set.Routers = 300
	for seed := range uint64(300) {
		w := newWorld(t, set, seed)
		w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
		for id := range uint32(4) {
			w.changeHosts(Delta, Host{ID: id, Build: 4, Capacity: 1, StartedAt: w.now})
		}
		for i := range uint32(4) { // a request every half second
			a := w.receive(Request{ID: i, Class: 1, Remaining: 5000 * ms})
			w.advance(500 * ms)
			sent += len(a.attempts)
		}
	}
	if sent > 40 || sent < 8 {
		t.Fatalf("%d attempts sent to four cold hosts in two seconds, want 8 to 40", sent)
	}
}

// Guards against idle connections of some routers using up the connections of hosts that accept few.
func TestIdleConnectionsAreClosedAfterConnectFailure(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	for id := range uint32(50) {
		a := w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms})
		if id == 10 {
			w.endAttempt(a.attempts[0], ConnectFailed)
		}
		if before := w.closedIdle; len(a.attempts) > 0 {
			w.endAttempt(a.attempts[len(a.attempts)-1], Succeeded)
			w.failIf(w.closedIdle > before != (id >= 10 && id < 39), "request %d: closing of idle connections does not match the failed connection of request 10", id)
		}
	}
}

// attemptLimit is a HostFilter that allows at most max attempts over all requests.
type attemptLimit struct {
	w   *world
	max int
}

var _ HostFilter = attemptLimit{}

func (l attemptLimit) Allowed(uint32) bool { return len(l.w.sent) < l.max }

// Guards against exceeding the filter's limit when pending requests are placed in one call: the filter must be checked again
// before each attempt.
func TestFilterIsCheckedForEachAttempt(t *testing.T) {
	for _, limit := range []int{0, 1, 2, 5} {
		w := newWorld(t, testSettings(), 7)
		w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
		for id := range uint32(6) {
			w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms, Filter: attemptLimit{w, limit}})
		}
		w.failIf(len(w.sent) > 0, "%d attempts sent without a host", len(w.sent))
		w.listFourHosts(Ready)
		w.advance(20 * ms)
		w.failIf(len(w.sent) != limit, "%d attempts sent, want %d", len(w.sent), limit)
	}
}
