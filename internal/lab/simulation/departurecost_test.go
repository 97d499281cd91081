package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Bounds of the cost of a departure for six control processes: a change costs maxFrames frames, and a departure is announced to the five others
// and acknowledged by them besides; a sync of each member for the vote, as for a change.
const (
	maxDepartureFrames = maxFrames + 2*5
	maxDepartureSyncs  = maxSyncs
)

// Heartbeats must cost the control processes neither a sync nor a message among them, and a departure no more than a change and an
// update. Each departure must be answered within the second that a host waits, also if many hosts leave at once.
func TestDepartureCost(t *testing.T) {
	runBenchmark(t, newLayout(6, 0, 5, 1), func(b *benchmark) {
		quiet := b.idleCost() // with heartbeats of 30 hosts
		b.c.Logf("a second with 23 heartbeats: %.1f frames, %.2f syncs", quiet.frames, quiet.syncs)
		b.c.Check(quiet.syncs, qt.Equals, 0.0)
		for _, at := range []int{0, 5} {
			const departures = 40
			var latencies []time.Duration
			before := b.currentCost()
			for n := range departures {
				latencies = append(latencies, b.leave(at, fmt.Sprintf("alone-%d-%d", at, n)))
				time.Sleep(200 * time.Millisecond)
			}
			cost := before.perChange(b.currentCost(), quiet, departures)
			b.c.Logf("process %d, per departure: %.1f frames, %.1f syncs, %.0f bytes between regions, answered after %v at most", at, cost.frames, cost.syncs,
				cost.crossRegionBytes, slices.Max(latencies))
			b.c.Check(cost.frames <= maxDepartureFrames, qt.IsTrue, qt.Commentf("%.1f frames per departure", cost.frames))
			b.c.Check(cost.syncs <= maxDepartureSyncs, qt.IsTrue, qt.Commentf("%.1f syncs per departure", cost.syncs))
			b.c.Check(slices.Max(latencies) < hostCallTimeout, qt.IsTrue)
		}
		b.checkManyLeave(300)
	})
}

// checkManyLeave lets a number of hosts leave at once, at all control processes.
func (b *benchmark) checkManyLeave(hosts int) {
	latencies := make([]time.Duration, hosts)
	before := b.currentCost()
	var leaving sync.WaitGroup
	for n := range hosts {
		leaving.Go(func() { latencies[n] = b.leave(n%len(b.clients), fmt.Sprintf("together-%d", n)) })
	}
	leaving.Wait()
	cost := before.perChange(b.currentCost(), controlCost{}, hosts)
	slices.Sort(latencies)
	b.c.Logf("%d at once: %.2f frames and %.2f syncs per departure, answered after %v, half of them, and %v at most", hosts, cost.frames, cost.syncs,
		latencies[hosts/2], latencies[hosts-1])
	b.c.Check(latencies[hosts-1] < hostCallTimeout, qt.IsTrue, qt.Commentf("%v", latencies[hosts-1]))
}

// leave deregisters a host at a control process and returns the latency of the answer, which must be an acknowledgement.
func (b *benchmark) leave(at int, id string) time.Duration {
	start := time.Now()
	status, _, err := callRPC(b.c.Context(), b.clients[at], b.cluster.controlAddress(at), "instances.leave", id, nil)
	b.c.Check(err, qt.IsNil)
	b.c.Check(status, qt.Equals, http.StatusOK)
	return time.Since(start)
}
