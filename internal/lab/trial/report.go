package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Report is what came of a trial.
type Report struct {
	Seed     uint64           `json:"seed"`
	Requests int              `json:"requests"`
	Within   time.Duration    `json:"within_ns"`  // of the load that is beside a change
	Outside  time.Duration    `json:"outside_ns"` // and that isn't
	Causes   map[Cause]Places `json:"causes"`
	Styles   map[Style]int    `json:"styles"`
	Statuses map[int]int      `json:"statuses"` // of whole answers
	Streams  int              `json:"streams"`  // whole answers that proxies passed on as they came
	Unsafe   int              `json:"unsafe"`
	Changes  map[string]int   `json:"changes"` // by kind
	Results  map[string]int   `json:"results"` // of changes
	Signals  map[string]int   `json:"signals"`
	Struck   []Signal         `json:"struck"`
	Others   map[string]int64 `json:"others"`
	Violated int              `json:"violated"`
	Cuts     []string         `json:"cuts"` // the first requests without a whole answer, one a line
	First    []Violation      `json:"violations"`
	Dir      string           `json:"dir"`
}

// Places counts what began beside a change and what did not.
type Places struct {
	Within  int `json:"within"`
	Outside int `json:"outside"`
}

// report judges all attempts and sums up.
func (r *rig) report() *Report {
	r.council.mu.Lock()
	windows := slices.Clone(r.council.windows)
	r.council.mu.Unlock()
	r.mu.Lock()
	j := Judge{Terms: terms, Signals: slices.Clone(r.signals)}
	r.mu.Unlock()
	all := r.book.all()
	for _, a := range all {
		r.violate(j.Violations(a)...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Sum(j, all, windows)
	s.Seed, s.Dir = r.options.Seed, r.dir
	s.Changes, s.Results, s.Signals = r.council.counts, r.council.results, r.struck
	s.Struck = j.Signals
	s.Violated, s.First = r.violated, r.violations
	s.Others = map[string]int64{"connections that the proxy closed while they rested, nothing sent on them": r.sums.closedIdle.Load(),
		"connections refused": r.sums.refusedConnections.Load(), "hosts that drained and left": r.sums.hostsLeft.Load()}
	return s
}

// Sum counts attempts by their causes, within and outside the intervals of changes.
func Sum(j Judge, all []Attempt, windows []Interval) *Report {
	s := &Report{Requests: len(all), Causes: map[Cause]Places{}, Styles: map[Style]int{}, Statuses: map[int]int{}}
	last := time.Duration(0)
	first := time.Duration(1<<63 - 1)
	for _, a := range all {
		first, last = min(first, a.SentAt), max(last, a.EndedAt)
		within := slices.ContainsFunc(windows, func(i Interval) bool { return i.contains(a.SentAt) || i.contains(a.EndedAt) })
		cause := j.Cause(a)
		n := s.Causes[cause]
		if within {
			n.Within++
		} else {
			n.Outside++
		}
		s.Causes[cause] = n
		s.Styles[a.Style]++
		if cause != Answered && cause != ProxyKilled && len(s.Cuts) < mostViolations && cause != BehindEnd {
			s.Cuts = append(s.Cuts, fmt.Sprintf("%s: %v", cause, a))
		}
		if !a.Idempotent {
			s.Unsafe++
		}
		if a.Outcome == Complete {
			s.Statuses[a.Status]++
			if a.Stream && a.Status == 200 {
				s.Streams++
			}
		}
	}
	for _, i := range windows {
		s.Within += max(0, min(i.To, last)-max(i.From, first))
	}
	s.Outside = max(0, last-first-s.Within)
	return s
}

// Write lays the report out.
func (s *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests (%d unsafe, %d whole streams) in %.1f s beside changes and %.1f s without, logs in %s\n", s.Seed,
		s.Requests, s.Unsafe, s.Streams, s.Within.Seconds(), s.Outside.Seconds(), s.Dir)
	changes := 0
	for _, n := range s.Changes {
		changes += n
	}
	fmt.Fprintf(w, "%d changes: %v\n  by kind: %v\n", changes, s.Results, s.Changes)
	fmt.Fprintf(w, "signals: %v\nstyles: %v\nstatuses of whole answers: %v\n", s.Signals, s.Styles, s.Statuses)
	for _, name := range slices.Sorted(maps.Keys(s.Others)) {
		fmt.Fprintf(w, "%s: %d\n", name, s.Others[name])
	}
	fmt.Fprintf(w, "%-75s %8s %8s\n", "HOW REQUESTS ENDED", "WITHIN", "OUTSIDE")
	for _, cause := range slices.Sorted(maps.Keys(s.Causes)) {
		fmt.Fprintf(w, "%-75s %8d %8d\n", cause, s.Causes[cause].Within, s.Causes[cause].Outside)
	}
	for _, signal := range s.Struck {
		if signal.Proxy >= 0 {
			fmt.Fprintf(w, "  proxy %d, %s from %.3f s to %.3f s\n", signal.Proxy, disturbanceNames[signal.Kind], signal.At.Seconds(), signal.Until.Seconds())
		}
	}
	fmt.Fprintln(w, "first requests without a whole answer, but those of killed proxies:")
	for _, cut := range s.Cuts {
		fmt.Fprintln(w, " ", cut)
	}
	fmt.Fprintf(w, "violations: %d\n", s.Violated)
	for _, v := range s.First {
		fmt.Fprintf(w, "  %v\n", v)
	}
}
