package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// RunResult is the result of one run of a scenario on the benchmark.
type RunResult struct {
	Site       string         `json:"site"`
	Scenario   string         `json:"day"` // the scenario's name
	Seed       uint64         `json:"seed"`
	Kinds      []string       `json:"troubles"`
	Closing    string         `json:"closing,omitempty"`
	Head       string         `json:"head"`  // the commit under test
	Score      float64        `json:"score"` // 0 if a rule was violated or there was a fault
	Goodput    float64        `json:"worth"` // the benchmark's G, before deductions for rule violations
	Served     float64        `json:"served"`
	Violations map[string]int `json:"rules"` // number of violations by rule
	Fault      string         `json:"fault,omitempty"`
	GatePassed bool           `json:"gate"`
	Shortfalls []string       `json:"short,omitempty"` // reasons other than rule violations why the gate failed
	NotStarted []string       `json:"idle,omitempty"`  // entries that had no effect, so the run covers less than its scenario file
	Entry      string         `json:"entry"`           // ID of the journal entry
}

var startedLine = regexp.MustCompile(`^ *-?[0-9.]+ s to +-?[0-9.]+ s  ([a-z_]+)((?: \([^)]*\))?) *(.*)$`)

// NotStarted returns the entries that the benchmark ignored, found in its printed output of a run. These are entries without a target
// (machine, server or zone), except for planned work of kinds that don't affect machines.
func (g *Generator) NotStarted(printed string) (notStarted []string) {
	for l := range strings.Lines(printed) {
		m := startedLine.FindStringSubmatch(strings.TrimRight(l, "\n"))
		if m == nil || m[3] != "" {
			continue
		}
		if k, ok := g.Kind(m[1]); ok && (k.TargetsMachines || !g.Planned[k.Name]) {
			notStarted = append(notStarted, m[1]+m[2])
		}
	}
	return notStarted
}

// ParseRunResult parses a journal entry. It returns an error if the entry is incomplete or doesn't have exactly one run.
func ParseRunResult(text []byte) (RunResult, error) {
	var e struct {
		ID    string  `json:"id"`
		Head  string  `json:"head"`
		Site  string  `json:"site"`
		Error *string `json:"error"`
		Days  []struct {
			G        float64        `json:"G"`
			Name     string         `json:"name"`
			Seed     uint64         `json:"seed"`
			Troubles []string       `json:"troubles"`
			Score    float64        `json:"score"`
			Rules    map[string]int `json:"rules"`
			Fault    *string        `json:"fault"`
			Gate     bool           `json:"gate"`
			Short    []string       `json:"short"`
			Served   float64        `json:"served"`
		} `json:"days"`
	}
	if err := json.Unmarshal(text, &e); err != nil {
		return RunResult{}, fmt.Errorf("journal entry: %w", err)
	}
	if e.Error != nil && len(e.Days) == 0 {
		return RunResult{}, fmt.Errorf("journal entry %s: %s", e.ID, *e.Error)
	}
	if len(e.Days) != 1 {
		return RunResult{}, fmt.Errorf("journal entry %s: found %d days, expected one", e.ID, len(e.Days))
	}
	d := e.Days[0]
	if d.Name == "" || e.Head == "" {
		return RunResult{}, errors.New("journal entry " + e.ID + ": days[0].name or head is missing")
	}
	return RunResult{
		Site:       e.Site,
		Scenario:   d.Name,
		Seed:       d.Seed,
		Kinds:      d.Troubles,
		Head:       e.Head,
		Score:      d.Score,
		Goodput:    d.G,
		Served:     d.Served,
		Violations: d.Rules,
		Fault:      lo.FromPtr(d.Fault),
		GatePassed: d.Gate,
		Shortfalls: d.Short,
		Entry:      e.ID,
	}, nil
}

// Failed reports whether the run violated a rule or had a fault. A failed gate alone doesn't count.
func (r RunResult) Failed() bool { return len(r.Violations) > 0 || r.Fault != "" }

// String formats the result as one line, without a newline.
func (r RunResult) String() string {
	l := fmt.Sprintf("%-16s %6d  %.2f  served %.3f  gate %-6s %s", r.Site, r.Seed, r.Goodput, r.Served, lo.Ternary(r.GatePassed, "passed", "failed"), r.Scenario)
	if r.Closing != "" {
		l += ", closing " + r.Closing
	}
	if len(r.Violations) > 0 {
		names := lo.Keys(r.Violations)
		slices.Sort(names)
		l += "  BROKEN " + strings.Join(lo.Map(names, func(n string, _ int) string { return fmt.Sprintf("%s %d", n, r.Violations[n]) }), ", ")
	}
	if r.Fault != "" {
		l += "  FAULT " + r.Fault
	}
	if len(r.NotStarted) > 0 {
		l += "  (no effect: " + strings.Join(r.NotStarted, ", ") + ")"
	}
	for _, s := range r.Shortfalls {
		l += "  SHORT " + s
	}
	return l
}
