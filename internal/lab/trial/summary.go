package trial

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"
)

// Report is the result of a trial.
type Report struct {
	Seed         uint64             `json:"seed"`
	Requests     int                `json:"requests"`
	Within       time.Duration      `json:"within_ns"`  // time of the load within the windows of changes
	Outside      time.Duration      `json:"outside_ns"` // time of the load outside these windows
	Causes       map[Cause]Counts   `json:"causes"`
	Styles       map[Style]int      `json:"styles"`
	Statuses     map[int]int        `json:"statuses"` // complete responses by status
	Streams      int                `json:"streams"`  // complete responses with status 200 that were large enough to be streamed
	Unsafe       int                `json:"unsafe"`
	Changes      map[changeKind]int `json:"changes"`
	Results      map[string]int     `json:"results"` // changes by response status
	SignalCounts map[string]int     `json:"signals"` // number by role and signal
	SeriesCounts map[seriesKind]int `json:"series"`
	Processes    int                `json:"processes"`
	SignalLog    []Signal           `json:"struck"`
	Others       map[string]int64   `json:"others"`
	Violated     int                `json:"violated"`
	Rules        map[string]int     `json:"rules"` // violations by rule
	Incomplete   []string           `json:"cuts"`  // first ones without a complete response, except ProxyKilled and BehindClose
	Violations   []Violation        `json:"violations"`
	Dir          string             `json:"dir"`
}

// Counts counts attempts by whether they were sent or ended within the window of a change.
type Counts struct {
	Within  int `json:"within"`
	Outside int `json:"outside"`
}

func (c Counts) add(within bool) Counts {
	if within {
		c.Within++
	} else {
		c.Outside++
	}
	return c
}

// Summarize counts attempts by cause, within and outside the windows of changes. The windows must not overlap.
func Summarize(j Judge, all []Attempt, windows []Interval) *Report {
	s := &Report{Requests: len(all), Causes: map[Cause]Counts{}, Styles: map[Style]int{}, Statuses: map[int]int{}}
	first, last := time.Duration(math.MaxInt64), time.Duration(0)
	for _, a := range all {
		first = min(first, a.SentAt)
		last = max(last, a.EndedAt)
		within := slices.ContainsFunc(windows, func(i Interval) bool { return i.contains(a.SentAt) || i.contains(a.EndedAt) })
		s.count(a, j.Cause(a), within)
	}
	for _, i := range windows {
		s.Within += max(0, min(i.To, last)-max(i.From, first))
	}
	s.Outside = max(0, last-first-s.Within)
	return s
}

// count adds one attempt to the report.
func (r *Report) count(a Attempt, cause Cause, within bool) {
	r.Causes[cause] = r.Causes[cause].add(within)
	r.Styles[a.Style]++
	if !a.Idempotent {
		r.Unsafe++
	}
	if a.Outcome == Complete {
		r.Statuses[a.Status]++
	}
	if a.Outcome == Complete && a.Stream && a.Status == http.StatusOK {
		r.Streams++
	}
	notable := cause != Answered && cause != ProxyKilled && cause != BehindClose
	if notable && len(r.Incomplete) < maxKeptViolations {
		r.Incomplete = append(r.Incomplete, fmt.Sprintf("%s: %v", cause, a))
	}
}
