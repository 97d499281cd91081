package consensus

import (
	"fmt"
	"slices"
	"testing"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// outageStats is how orders fare while the member that proposes for all falls silent without a word, for 20 s, and comes back.
type outageStats struct {
	latencies  []int64 // of confirmed orders, from the call to the answer
	rejected   int
	sent       int // messages while it was so
	rejections int64
	submitted  int
}

// simulateOutage plays one day, 38 s, of which 20 s are so, of a core of six: an order every 30 to 90 ms at any process but the first one.
func simulateOutage(seed uint64, how string, wrong mutant, s *outageStats) {
	sim := newSimulation(seed, wrong)
	for _, m := range sim.machines {
		sim.after(sim.between(0, 500*ms), func() { sim.start(m) })
	}
	sim.after(3*second, func() { sim.call(sim.machines[1], &operationCopies{operation: deskOperation()}) })
	sim.run(8 * second)
	first := sim.byIP[sim.membership().Members[0].IP]
	others := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return m == first })
	var all []*call
	var asks func()
	asks = func() {
		if sim.now < 34*second {
			m := others[sim.rand.IntN(len(others))]
			g := &operationCopies{number: len(all) + 1}
			g.operation = serviceOperation(fmt.Sprintf("x%d", g.number%8), uint64(g.number), fmt.Sprint(g.number))
			all = append(all, sim.call(m, g))
			sim.after(sim.between(30*ms, 90*ms), asks)
		}
	}
	asks()
	count := func() (n int) {
		for _, k := range sim.sent {
			n += k
		}
		return n
	}
	sim.run(10 * second)
	before := count()
	switch how {
	case "cut":
		sim.partition(20*second, func(a, b *machine) bool { return a == first || b == first })
	case "silent one way":
		sim.partition(20*second, func(a, _ *machine) bool { return a == first })
	case "deaf":
		sim.partition(20*second, func(_, b *machine) bool { return b == first })
	case "frozen":
		sim.freeze(first, 20*second)
	}
	sim.run(34 * second)
	s.sent += count() - before
	sim.run(38 * second)
	for _, m := range sim.machines {
		s.rejections += m.node.Counts.Beaten
	}
	for _, c := range all {
		if c.startedAt < 10*second {
			continue
		}
		s.submitted++
		if c.result.Kind != apierror.None || !c.done {
			s.rejected++
			continue
		}
		s.latencies = append(s.latencies, c.endedAt-c.startedAt)
	}
	slices.Sort(s.latencies)
}

func (s *outageStats) percentile(share float64) int64 {
	return s.latencies[min(len(s.latencies)-1, int(share*float64(len(s.latencies))))]
}

// Whatever silences the member that proposes for all, no order waits for nearly as long as that is noticed (1 to 2 s): it is
// passed over, and what it was handed goes to the next. In calm nobody is asked for nothing, and nobody is beaten for it.
func TestFirstFallsSilent(t *testing.T) {
	for _, test := range []struct {
		how              string
		p99, worst       int64   // milliseconds
		messages, beaten float64 // an order, a day
	}{
		{"calm", 250, 350, 25, 8},
		{"cut", 450, 1000, 24, 20},
		{"frozen", 450, 1000, 24, 20},
		{"silent one way", 450, 1000, 24, 20},
		{"deaf", 450, 1000, 24, 20},
	} {
		var stats outageStats
		days := 0
		for seed := uint64(0); days < max(*seeds, defaultOutages); seed++ {
			if w := newSimulation(seed, mutant{}); len(w.machines) == 6 && w.maxSync <= 40*ms {
				simulateOutage(seed, test.how, mutant{}, &stats)
				days++
			}
		}
		p99, worst, messages, rejections := stats.percentile(0.99)/ms, stats.percentile(1)/ms, float64(stats.sent)/float64(stats.submitted), float64(stats.rejections)/float64(days)
		summary := fmt.Sprintf("%s: %d orders in %d days, p50 %d ms, p99 %d ms, worst %d ms, refused %d, messages an order %.1f, beaten a day %.1f", test.how, stats.submitted, days, stats.percentile(0.5)/ms, p99, worst, stats.rejected, messages, rejections)
		if p99 > test.p99 || worst > test.worst || messages > test.messages || rejections > test.beaten || stats.rejected > 0 {
			t.Errorf("%s: over p99 %d ms, worst %d ms, %.1f messages an order, beaten %.1f a day", summary, test.p99, test.worst, test.messages, test.beaten)
			continue
		}
		t.Log(summary)
	}
}

// The member that proposes for all decides many numbers between two words on its standing: it is known by what it decides to be
// as far as the others, and goes on being the first.
func TestFirstIsNotBehind(t *testing.T) {
	n, l := threeMembers(second)
	first := l.Members[0]
	n.Step(Event{Now: second, From: first.IP, Peer: &Peer{Member: first, Epoch: 1, Applied: 1, CaughtUp: true}})
	for index := uint64(2); index < 30; index++ {
		b := Ballot{7, "other"}
		for _, m := range []Message{{Kind: Accept, Index: index, Ballot: b, Applied: index - 1, Value: []config.Item{item(config.KindStableVersions, "desk", index, `{}`)}},
			{Kind: Commit, Index: index, Ballot: b, Applied: index}} {
			m.DiskID, m.Epoch = first.ID, 1
			n.Step(Event{Now: second + int64(index)*ms, From: first.IP, Message: &m})
		}
		if n.Applied() != index || n.preferredProposer() != first.IP {
			t.Fatalf("at %d, applied %d: the first is %s", index, n.Applied(), n.preferredProposer())
		}
	}
}
