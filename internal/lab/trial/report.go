package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// report checks all attempts and returns the report of the trial.
func (r *rig) report() *Report {
	r.operators.mu.Lock()
	windows := slices.Clone(r.operators.windows)
	r.operators.mu.Unlock()
	r.mu.Lock()
	j := Judge{Terms: terms, SignalLog: slices.Clone(r.signalLog)}
	r.mu.Unlock()
	all := r.recorder.joinedAttempts()
	for _, a := range all {
		r.violate(j.Violations(a)...)
	}
	r.violate(j.DrainViolations(r.recorder.departedArrivals(), all)...)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summarize(j, all, windows)
	s.Seed = r.options.Seed
	s.Dir = r.dir
	s.Changes = r.operators.counts
	s.Results = r.operators.results
	s.SignalCounts = r.signalCounts
	s.SeriesCounts = r.seriesCounts
	s.Processes = len(r.processes())
	s.SignalLog = j.SignalLog
	s.Violated = r.violated
	s.Rules = r.ruleCounts
	s.Violations = r.violations
	s.Others = map[string]int64{
		"connections that the proxy closed while they were idle, nothing sent": r.counters.closedIdle.Load(),
		"connections refused":                                  r.counters.refusedConnections.Load(),
		"hosts whose departure was acknowledged":               r.counters.departuresAcked.Load(),
		"hosts whose departure was not acknowledged":           r.counters.departuresUnacked.Load(),
		"hosts that left without draining":                     r.counters.leftWithoutDrain.Load(),
		"late heartbeats of departed hosts that were answered": r.counters.lateHeartbeats.Load(),
	}
	return s
}

// Write writes the report as text. Write errors are ignored.
func (r *Report) Write(w io.Writer) {
	r.writeTotals(w)
	r.writeCauses(w)
	r.writeSignalLog(w)
	fmt.Fprintln(w, "first requests without a complete answer, but those of killed proxies:")
	for _, request := range r.Incomplete {
		fmt.Fprintln(w, " ", request)
	}
	fmt.Fprintf(w, "violations: %d, by rule: %v\n", r.Violated, r.Rules)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %v\n", v)
	}
}

func (r *Report) writeTotals(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests (%d unsafe, %d complete streams) in %.1f s during changes and %.1f s outside them, logs in %s\n",
		r.Seed, r.Requests, r.Unsafe, r.Streams, r.Within.Seconds(), r.Outside.Seconds(), r.Dir)
	changes := 0
	for _, n := range r.Changes {
		changes += n
	}
	fmt.Fprintf(w, "%d changes: %v\n  by kind: %v\n", changes, r.Results, r.Changes)
	fmt.Fprintf(w, "%d processes, signal series: %v\n", r.Processes, r.SeriesCounts)
	fmt.Fprintf(w, "signals: %v\nstyles: %v\nstatuses of complete answers: %v\n", r.SignalCounts, r.Styles, r.Statuses)
	for _, name := range slices.Sorted(maps.Keys(r.Others)) {
		fmt.Fprintf(w, "%s: %d\n", name, r.Others[name])
	}
}

func (r *Report) writeCauses(w io.Writer) {
	fmt.Fprintf(w, "%-75s %8s %8s\n", "HOW REQUESTS ENDED", "WITHIN", "OUTSIDE")
	for _, cause := range slices.Sorted(maps.Keys(r.Causes)) {
		fmt.Fprintf(w, "%-75s %8d %8d\n", cause, r.Causes[cause].Within, r.Causes[cause].Outside)
	}
}

// writeSignalLog writes the signal log without control processes.
func (r *Report) writeSignalLog(w io.Writer) {
	for _, signal := range r.SignalLog {
		if signal.Proxy != controlProcess && signal.Kind != Started {
			fmt.Fprintf(w, "  proxy %d, %s from %.3f s to %.3f s\n",
				signal.Proxy, signalNames[signal.Kind], signal.At.Seconds(), signal.Until.Seconds())
		}
	}
}
