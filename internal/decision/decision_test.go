package decision

import (
	"math"
	"slices"
	"testing"

	"portflow/internal/testing/digest"
)

// FuzzEngine plays random scenarios with all kinds of events, which may be lost, late, repeated or out of order, and with various
// settings.
func FuzzEngine(f *testing.F) {
	for seed := range uint64(40) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { playScenario(t, seed, 1500, nil) })
}

// playScenario plays a random scenario of so many steps, and adds the effects to a digest unless it is nil.
func playScenario(t *testing.T, seed uint64, steps int, effects *digest.Digest) {
	set := testSettings()
	set.Hedging, set.KeyAffinity, set.CapPerClass = seed%2 == 0, seed%3 == 0, seed%5 == 0
	set.GuardedStages, set.Subscribe, set.Rank = int(seed%3), seed%4 == 0, int(seed%3)
	set.Gate, set.Classes[0].DedupScope = Gate(seed%3), DedupScope(seed%7%3)
	hosts := uint32(8)
	if seed%4 == 1 { // one of hundreds of routers, with many hosts
		set.Routers, hosts = 400, 100
	}
	w := newWorld(t, set, seed)
	w.effects = effects
	for id := range hosts {
		w.changeHosts(Delta, Host{ID: id, Cell: int(id % 2), Build: 4, Capacity: 1})
	}
	w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
	w.newestBuild = 4
	id := uint32(100)
	for w.step = range steps {
		w.playRandomEvent(&id)
		w.advance(w.rnd.Int64N(15) * ms)
		for _, value := range w.engine.gossipedValues() { // peers ignore messages with such values
			w.failIf(math.IsNaN(*value) || math.IsInf(*value, 0), "gossiped values are not finite: state %v, load %v", w.engine.state, w.engine.fleetLoad)
		}
	}
	w.advance(6000 * ms) // requests must be answered in time even if their attempts never end
}

// playRandomEvent plays one random event. id is the ID of the last request.
func (w *world) playRandomEvent(id *uint32) {
	switch p := w.rnd.IntN(100); {
	case p < 45:
		for range 1 + w.rnd.IntN(3) {
			*id++
			class := w.rnd.IntN(len(w.settings.Classes))
			w.receive(Request{ID: *id, Class: class, Customer: w.rnd.IntN(3), Key: uint64(w.rnd.IntN(30)),
				Remaining: w.rnd.Int64N(w.settings.Classes[class].Timeout) + ms})
		}
	case p < 85:
		for range min(len(w.inFlight), 8) {
			result, at := Succeeded, w.rnd.IntN(len(w.inFlight))
			if w.rnd.IntN(4) == 0 {
				result = Result(w.rnd.IntN(int(InvalidAnswer) + 1))
			}
			attempt := w.inFlight[at]
			w.inFlight = slices.Delete(w.inFlight, at, at+1)
			w.endAttempt(attempt, result)
		}
	case p < 90:
		h := Host{ID: uint32(w.rnd.IntN(len(w.hosts) + 1)), Health: Health(w.rnd.IntN(3)), Capacity: 1, Build: 4}
		h.Cell = int(h.ID % 2)
		if w.rnd.IntN(2) == 0 {
			h.Health, h.Build, h.StartedAt = Ready, w.newestBuild-1+w.rnd.IntN(3), w.now-w.rnd.Int64N(3000)*ms
		}
		w.changeHosts(Delta, h)
	case p < 93:
		n := Rollout{Build: w.newestBuild, Stage: w.rnd.IntN(4), State: RolloutState(w.rnd.IntN(4)), Age: w.rnd.Int64N(1000) * ms}
		if w.rnd.IntN(8) == 0 {
			w.newestBuild++
			n = Rollout{Build: w.newestBuild}
		}
		n.ExposureCap = []float64{0.1, 0.4, 1, 1}[n.Stage]
		if n.State != OnTrial && n.State != Released {
			n.ExposureCap = 0
		}
		w.changeRollout(n)
	case p < 95:
		w.engine.RolloutChanged(w.now, Rollout{Build: w.newestBuild + 9, VoteReply: true, VoteResult: VoteResult(1 + w.rnd.IntN(4)), ExposureCap: 1})
	case p < 97:
		raw := make([]byte, w.rnd.IntN(2*len(w.engine.encodeGossip())))
		for i := range raw {
			raw[i] = byte(w.rnd.Uint32())
		}
		w.engine.GossipReceived(w.now, w.rnd.IntN(4), raw)
	case p < 98:
		w.engine.AnswerFlagged(w.now, uint32(w.rnd.IntN(12)), w.rnd.IntN(3), 0)
	case p < 99:
		w.engine.AttemptEnded(w.now, *id, 9, Succeeded, true, ms, nil)
		w.engine.ClientGone(w.now, *id+1)
		w.engine.HostsChanged(w.now, FetchFailed, nil)
	default:
		if c := w.requests[*id-uint32(w.rnd.IntN(5))]; c != nil {
			c.done = true
			w.engine.ClientGone(w.now, c.ID)
		}
	}
}

// newQuietWorld returns a world with a released build on four ready hosts and, if trial is set, a host with a build on trial.
func newQuietWorld(t *testing.T, set Settings, trial bool) *world {
	w := newWorld(t, set, 7)
	w.changeRollout(Rollout{Build: 4, State: Released, ExposureCap: 1})
	w.listFourHosts(Ready)
	if trial {
		w.changeRollout(Rollout{Build: 5, ExposureCap: 1})
		w.changeHosts(Delta, Host{ID: 9, Build: 5, Capacity: 1})
	}
	return w
}

func (w *world) listFourHosts(h Health) {
	for id := range uint32(4) {
		w.changeHosts(Delta, Host{ID: id, Build: 4, Health: h, Capacity: 1})
	}
}
