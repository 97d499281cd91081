package decision

import (
	"testing"
)

// Hundreds of quiet routers each gave hosts that had all just started one command, and they fell over.
func TestColdHostsOfMany(t *testing.T) {
	sent, set := 0, testSettings()
	set.Routers = 300
	for seed := range uint64(300) {
		w := newWorld(t, set, seed)
		w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
		for id := range uint32(4) {
			w.changeHosts(Delta, Host{ID: id, Build: 4, Capacity: 1, StartedAt: w.now})
		}
		for i := range uint32(4) { // a command every half second
			a := w.receive(Request{ID: i, Class: 1, Remaining: 5000 * ms})
			w.advance(500 * ms)
			sent += len(a.attempts)
		}
	}
	if sent > 40 || sent < 8 {
		t.Fatalf("%d sent to four cold hosts in two seconds", sent)
	}
}

// Hosts that took few connections each refused half of all routers, whose idle ones filled them.
func TestFewConnections(t *testing.T) {
	w := newQuietWorld(t, testSettings(), false)
	for id := range uint32(50) {
		a := w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms})
		if id == 10 {
			w.endAttempt(a.attempts[0], ConnectFailed)
		}
		if was := w.closedIdle; len(a.attempts) > 0 {
			w.endAttempt(a.attempts[len(a.attempts)-1], Succeeded)
			w.failIf(w.closedIdle > was != (id >= 10 && id < 39), "command %d, a connection failed with the tenth", id)
		}
	}
}

// attemptLimit is a question that has room for so many hand-offs of all commands.
type attemptLimit struct {
	w   *world
	max int
}

func (r attemptLimit) Allowed(uint32) bool { return len(r.w.sent) < r.max }

// Commands that were held are placed in one step, as when the hosts of a service come back cold together: each is asked about
// again when it goes, as those before it have taken what room there was.
func TestAsksAgainWhereManyGoAtOnce(t *testing.T) {
	for _, most := range []int{0, 1, 2, 5} {
		w := newWorld(t, testSettings(), 7)
		w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
		for id := range uint32(6) {
			w.receive(Request{ID: id, Class: 1, Remaining: 5000 * ms, Filter: attemptLimit{w, most}})
		}
		w.failIf(len(w.sent) > 0, "%d sent with no host", len(w.sent))
		w.listFourHosts(Ready)
		w.advance(20 * ms)
		w.failIf(len(w.sent) != most, "%d sent, there was room for %d", len(w.sent), most)
	}
}
