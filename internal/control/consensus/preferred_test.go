package consensus

import (
	"fmt"
	"slices"
	"testing"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// outageStats holds the results of operations submitted during an outage of the preferred proposer and in the 4 s after it.
type outageStats struct {
	latencies  []int64 // of confirmed operations, in nanoseconds, sorted
	failed     int     // operations that were not confirmed
	sent       int     // messages sent from the start of the outage to the end of the submissions
	rejections int64   // rejected ballots in all runs, also before the outage
	submitted  int     // operations
}

// simulateOutage simulates 38 s of a cluster and adds the results to stats. The fault affects the preferred proposer from 10 to 30 s.
// An operation is submitted every 30 to 90 ms to a random one of the other processes.
func simulateOutage(seed uint64, fault string, mutation mutant, stats *outageStats) {
	sim := newSimulation(seed, mutation)
	for _, m := range sim.machines {
		sim.after(sim.between(0, 500*ms), func() { sim.start(m) })
	}
	sim.after(3*second, func() { sim.call(sim.machines[1], &operationCopies{operation: deskOperation()}) })
	sim.run(8 * second)
	preferred := sim.byIP[sim.membership().Members[0].IP]
	others := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return m == preferred })
	var all []*call
	var submitNext func()
	submitNext = func() {
		if sim.now < 34*second {
			m := others[sim.rand.IntN(len(others))]
			copies := &operationCopies{number: len(all) + 1}
			copies.operation = serviceOperation(fmt.Sprintf("x%d", copies.number%8), uint64(copies.number), fmt.Sprint(copies.number))
			all = append(all, sim.call(m, copies))
			sim.after(sim.between(30*ms, 90*ms), submitNext)
		}
	}
	submitNext()
	count := func() (n int) {
		for _, k := range sim.sent {
			n += k
		}
		return n
	}
	sim.run(10 * second)
	before := count()
	switch fault {
	case "cut":
		sim.partition(20*second, func(a, b *machine) bool { return a == preferred || b == preferred })
	case "outbound cut":
		sim.partition(20*second, func(a, _ *machine) bool { return a == preferred })
	case "deaf":
		sim.partition(20*second, func(_, b *machine) bool { return b == preferred })
	case "frozen":
		sim.freeze(preferred, 20*second)
	}
	sim.run(34 * second)
	stats.sent += count() - before
	sim.run(38 * second)
	for _, m := range sim.machines {
		stats.rejections += m.node.Counts.Beaten
	}
	for _, c := range all {
		if c.startedAt < 10*second {
			continue
		}
		stats.submitted++
		if c.result.Kind != apierror.None || !c.done {
			stats.failed++
			continue
		}
		stats.latencies = append(stats.latencies, c.endedAt-c.startedAt)
	}
	slices.Sort(stats.latencies)
}

func (s *outageStats) percentile(fraction float64) int64 {
	return s.latencies[min(len(s.latencies)-1, int(fraction*float64(len(s.latencies))))]
}

// An outage of the preferred proposer must not delay operations until its connections are found to be lost (1 to 2 s): the others skip
// it and forward its operations to the next member. Without an outage, no needless messages or rejections may occur.
func TestPreferredProposerOutage(t *testing.T) {
	for _, test := range []struct {
		fault                string
		p99, worst           int64   // maximum latencies, in milliseconds
		messages, rejections float64 // maximum messages per operation and rejections per seed
	}{
		{"calm", 250, 350, 25, 8},
		{"cut", 450, 1000, 24, 20},
		{"frozen", 450, 1000, 24, 20},
		{"outbound cut", 450, 1000, 24, 20},
		{"deaf", 450, 1000, 24, 20},
	} {
		var stats outageStats
		runs := 0
		for seed := uint64(0); runs < max(*seeds, defaultOutages); seed++ {
			if sim := newSimulation(seed, mutant{}); len(sim.machines) == 6 && sim.maxSync <= 40*ms {
				simulateOutage(seed, test.fault, mutant{}, &stats)
				runs++
			}
		}
		p99, worst, messages, rejections := stats.percentile(0.99)/ms, stats.percentile(1)/ms, float64(stats.sent)/float64(stats.submitted), float64(stats.rejections)/float64(runs)
		summary := fmt.Sprintf("%s: %d operations in %d seeds, p50 %d ms, p99 %d ms, worst %d ms, failed %d, messages per operation %.1f, rejections per seed %.1f", test.fault, stats.submitted, runs, stats.percentile(0.5)/ms, p99, worst, stats.failed, messages, rejections)
		if p99 > test.p99 || worst > test.worst || messages > test.messages || rejections > test.rejections || stats.failed > 0 {
			t.Errorf("%s; want none failed, at most p99 %d ms, worst %d ms, messages per operation %.1f, rejections per seed %.1f", summary, test.p99, test.worst, test.messages, test.rejections)
			continue
		}
		t.Log(summary)
	}
}

// The preferred proposer decides many indexes without reporting its status in between. Its messages show that it is not behind, so it
// must remain the preferred proposer.
func TestPreferredProposerStaysEligible(t *testing.T) {
	n, l := newTestNode(second)
	preferred := l.Members[0]
	n.Step(Event{Now: second, From: preferred.IP, Peer: &Peer{Member: preferred, Epoch: 1, Applied: 1, CaughtUp: true}})
	for index := uint64(2); index < 30; index++ {
		b := Ballot{7, "other"}
		for _, m := range []Message{{Kind: Accept, Index: index, Ballot: b, Applied: index - 1, Value: []config.Item{item(config.KindStableVersions, "desk", index, `{}`)}},
			{Kind: Commit, Index: index, Ballot: b, Applied: index}} {
			m.DiskID, m.Epoch = preferred.ID, 1
			n.Step(Event{Now: second + int64(index)*ms, From: preferred.IP, Message: &m})
		}
		if n.Applied() != index || n.preferredProposer() != preferred.IP {
			t.Fatalf("after the commit of index %d: applied %d, preferred proposer %s", index, n.Applied(), n.preferredProposer())
		}
	}
}
