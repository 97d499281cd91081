package trial

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An arrival at a departed host is a violation only if its proxy and all control processes were undisturbed for the contact time.
func TestDrainViolations(t *testing.T) {
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	signal := func(proxy int, kind SignalKind, from, until float64) Signal {
		return Signal{Proxy: proxy, Kind: kind, At: at(from), Until: at(until)}
	}
	for _, x := range []struct {
		name       string
		log        []Signal
		violations int
	}{
		{"calm", nil, 1},
		{"control process killed and started before", []Signal{signal(controlProcess, Killed, 13, 13.1), signal(controlProcess, Started, 14.9, 14.9)}, 1},
		{"control process started within the contact time", []Signal{signal(controlProcess, Killed, 13, 13.1), signal(controlProcess, Started, 15.1, 15.1)}, 0},
		{"control process frozen until the contact time began", []Signal{signal(controlProcess, Stopped, 10, 15.1)}, 0},
		{"proxy terminating", []Signal{signal(2, Terminated, 19, 25)}, 0},
		{"another proxy terminating", []Signal{signal(1, Terminated, 19, 25)}, 1},
		{"proxy read its settings again", []Signal{signal(2, Hangup, 19, 19)}, 1},
		{"disturbed later", []Signal{signal(controlProcess, Killed, 20.1, 21)}, 1},
	} {
		j := Judge{Terms: Terms{Contact: 5 * time.Second}, SignalLog: x.log}
		arrivals := []DepartedArrival{{AttemptID: "a", Instance: "h", AckedAt: at(12), At: at(20)}, {AttemptID: "no attempt", At: at(20)}}
		got := j.DrainViolations(arrivals, []Attempt{{ID: "a", Proxy: 2}, {ID: "b", Proxy: 1}})
		qt.Check(t, got, qt.HasLen, x.violations, qt.Commentf(x.name))
	}
}

// Half of the instances leave without draining, all serve for longer than the drain limit, and heartbeats are seconds late.
func TestDrawDeparture(t *testing.T) {
	rng := (&rig{options: Options{Seed: 1}}).rng(1)
	drains, late := 0, 0
	for range 200 {
		d := drawDeparture(rng)
		if d.drains {
			drains++
		}
		late += len(d.lateness)
		qt.Check(t, d.serveOn > terms.Drain, qt.IsTrue)
		for _, lateness := range d.lateness {
			qt.Check(t, lateness >= minLateness && lateness < maxLateness, qt.IsTrue)
		}
	}
	qt.Check(t, drains > 60 && drains < 140, qt.IsTrue)
	qt.Check(t, late > 200, qt.IsTrue)
}
