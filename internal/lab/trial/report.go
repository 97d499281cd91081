package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// report judges all attempts and sums up.
func (r *rig) report() *Report {
	r.operators.mu.Lock()
	windows := slices.Clone(r.operators.windows)
	r.operators.mu.Unlock()
	r.mu.Lock()
	j := Judge{Terms: terms, Sent: slices.Clone(r.sent)}
	r.mu.Unlock()
	all := r.recorder.joinedAttempts()
	for _, a := range all {
		r.violate(j.Violations(a)...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Sum(j, all, windows)
	s.Seed = r.options.Seed
	s.Dir = r.dir
	s.Changes = r.operators.counts
	s.Results = r.operators.results
	s.SignalCounts = r.signalCounts
	s.Sent = j.Sent
	s.Violated = r.violated
	s.Violations = r.violations
	s.Others = map[string]int64{
		"connections that the proxy closed while they were idle, nothing sent": r.counters.closedIdle.Load(),
		"connections refused":         r.counters.refusedConnections.Load(),
		"hosts that drained and left": r.counters.hostsLeft.Load(),
	}
	return s
}

// Write writes the report as text.
func (s *Report) Write(w io.Writer) {
	s.writeTotals(w)
	s.writeCauses(w)
	s.writeSent(w)
	fmt.Fprintln(w, "first requests without a complete answer, but those of killed proxies:")
	for _, request := range s.Incomplete {
		fmt.Fprintln(w, " ", request)
	}
	fmt.Fprintf(w, "violations: %d\n", s.Violated)
	for _, v := range s.Violations {
		fmt.Fprintf(w, "  %v\n", v)
	}
}

func (s *Report) writeTotals(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests (%d unsafe, %d complete streams) in %.1f s beside changes and %.1f s without, logs in %s\n",
		s.Seed, s.Requests, s.Unsafe, s.Streams, s.Within.Seconds(), s.Outside.Seconds(), s.Dir)
	changes := 0
	for _, n := range s.Changes {
		changes += n
	}
	fmt.Fprintf(w, "%d changes: %v\n  by kind: %v\n", changes, s.Results, s.Changes)
	fmt.Fprintf(w, "signals: %v\nstyles: %v\nstatuses of complete answers: %v\n", s.SignalCounts, s.Styles, s.Statuses)
	for _, name := range slices.Sorted(maps.Keys(s.Others)) {
		fmt.Fprintf(w, "%s: %d\n", name, s.Others[name])
	}
}

func (s *Report) writeCauses(w io.Writer) {
	fmt.Fprintf(w, "%-75s %8s %8s\n", "HOW REQUESTS ENDED", "WITHIN", "OUTSIDE")
	for _, cause := range slices.Sorted(maps.Keys(s.Causes)) {
		fmt.Fprintf(w, "%-75s %8d %8d\n", cause, s.Causes[cause].Within, s.Causes[cause].Outside)
	}
}

// writeSent writes each signal that a proxy was sent.
func (s *Report) writeSent(w io.Writer) {
	for _, signal := range s.Sent {
		if signal.Proxy >= 0 {
			fmt.Fprintf(w, "  proxy %d, %s from %.3f s to %.3f s\n",
				signal.Proxy, disturbanceNames[signal.Kind], signal.At.Seconds(), signal.Until.Seconds())
		}
	}
}
