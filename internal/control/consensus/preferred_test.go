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
	w := newSimulation(seed, wrong)
	for _, m := range w.machines {
		w.after(w.between(0, 500*ms), func() { w.start(m) })
	}
	w.after(3*second, func() { w.call(w.machines[1], &operationCopies{operation: deskOperation()}) })
	w.run(8 * second)
	first := w.byIP[w.membership().Members[0].IP]
	others := slices.DeleteFunc(slices.Clone(w.machines), func(m *machine) bool { return m == first })
	var all []*call
	var asks func()
	asks = func() {
		if w.now < 34*second {
			m := others[w.random.IntN(len(others))]
			g := &operationCopies{n: len(all) + 1}
			g.operation = serviceOperation(fmt.Sprintf("x%d", g.n%8), uint64(g.n), fmt.Sprint(g.n))
			all = append(all, w.call(m, g))
			w.after(w.between(30*ms, 90*ms), asks)
		}
	}
	asks()
	count := func() (n int) {
		for _, k := range w.sent {
			n += k
		}
		return n
	}
	w.run(10 * second)
	before := count()
	switch how {
	case "cut":
		w.partition(20*second, func(a, b *machine) bool { return a == first || b == first })
	case "silent one way":
		w.partition(20*second, func(a, _ *machine) bool { return a == first })
	case "deaf":
		w.partition(20*second, func(_, b *machine) bool { return b == first })
	case "frozen":
		w.freeze(first, 20*second)
	}
	w.run(34 * second)
	s.sent += count() - before
	w.run(38 * second)
	for _, m := range w.machines {
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
	for _, x := range []struct {
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
		var s outageStats
		days := 0
		for seed := uint64(0); days < max(*seeds, fewSilences); seed++ {
			if w := newSimulation(seed, mutant{}); len(w.machines) == 6 && w.maxSync <= 40*ms {
				simulateOutage(seed, x.how, mutant{}, &s)
				days++
			}
		}
		p99, worst, messages, rejections := s.percentile(0.99)/ms, s.percentile(1)/ms, float64(s.sent)/float64(s.submitted), float64(s.rejections)/float64(days)
		summary := fmt.Sprintf("%s: %d orders in %d days, p50 %d ms, p99 %d ms, worst %d ms, refused %d, messages an order %.1f, beaten a day %.1f", x.how, s.submitted, days, s.percentile(0.5)/ms, p99, worst, s.rejected, messages, rejections)
		if p99 > x.p99 || worst > x.worst || messages > x.messages || rejections > x.beaten || s.rejected > 0 {
			t.Errorf("%s: over p99 %d ms, worst %d ms, %.1f messages an order, beaten %.1f a day", summary, x.p99, x.worst, x.messages, x.beaten)
			continue
		}
		t.Log(summary)
	}
}

// The member that proposes for all decides many numbers between two words on its standing: it is known by what it decides to be
// as far as the others, and goes on being the first.
func TestFirstIsNotBehind(t *testing.T) {
	x, l := threeMembers(second)
	first := l.Members[0]
	x.Step(Event{Now: second, From: first.IP, Peer: &Peer{Member: first, Epoch: 1, Applied: 1, CaughtUp: true}})
	for n := uint64(2); n < 30; n++ {
		b := Ballot{7, "other"}
		for _, m := range []Message{{Kind: Accept, Index: n, Ballot: b, Applied: n - 1, Value: []config.Item{item(config.KindStableVersions, "desk", n, `{}`)}},
			{Kind: Commit, Index: n, Ballot: b, Applied: n}} {
			m.DiskID, m.Epoch = first.ID, 1
			x.Step(Event{Now: second + int64(n)*ms, From: first.IP, Message: &m})
		}
		if x.Applied() != n || x.preferredProposer() != first.IP {
			t.Fatalf("at %d, applied %d: the first is %s", n, x.Applied(), x.preferredProposer())
		}
	}
}
