package decision

import (
	"testing"
)

// Hundreds of routers with little traffic once each sent a request to hosts that had all just started, and they collapsed.
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
		t.Fatalf("%d sent to four cold hosts in two seconds", sent)
	}
}

// Hosts that take few connections once refused half of all routers, as idle connections of the others took them.
func TestIdleConnectionsAreClosedAfterConnectFailure(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	for id := range uint32(50) {
		a := w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms})
		if id == 10 {
			w.endAttempt(a.attempts[0], ConnectFailed)
		}
		if before := w.closedIdle; len(a.attempts) > 0 {
			w.endAttempt(a.attempts[len(a.attempts)-1], Succeeded)
			w.failIf(w.closedIdle > before != (id >= 10 && id < 39), "request %d, a connection failed with the tenth", id)
		}
	}
}

// attemptLimit is a filter that allows so many attempts of all requests.
type attemptLimit struct {
	w   *world
	max int
}

var _ HostFilter = attemptLimit{}

func (l attemptLimit) Allowed(uint32) bool { return len(l.w.sent) < l.max }

// Requests that waited are placed in one call, as when all hosts of a service come back cold: the filter is asked again as each
// is sent, as those before it may have used up what it allows.
func TestFilterIsCheckedForEachAttempt(t *testing.T) {
	for _, limit := range []int{0, 1, 2, 5} {
		w := newWorld(t, testSettings(), 7)
		w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
		for id := range uint32(6) {
			w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms, Filter: attemptLimit{w, limit}})
		}
		w.failIf(len(w.sent) > 0, "%d sent with no host", len(w.sent))
		w.listFourHosts(Ready)
		w.advance(20 * ms)
		w.failIf(len(w.sent) != limit, "%d sent, %d were allowed", len(w.sent), limit)
	}
}
