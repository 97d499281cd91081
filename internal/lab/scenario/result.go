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

// RunResult is the result of one run.
type RunResult struct {
	Site       string         `json:"site"`
	Scenario   string         `json:"day"` // the scenario's name
	Seed       uint64         `json:"seed"`
	Kinds      []string       `json:"troubles"`
	Closing    string         `json:"closing,omitempty"`
	Head       string         `json:"head"`  // the commit that was played
	Score      float64        `json:"score"` // 0 with a broken rule or a fault
	Goodput    float64        `json:"worth"` // the bench's G: before deductions for broken rules
	Served     float64        `json:"served"`
	Violations map[string]int `json:"rules"` // how often each was broken
	Fault      string         `json:"fault,omitempty"`
	GatePassed bool           `json:"gate"`
	Shortfalls []string       `json:"short,omitempty"` // why the gate failed, if by no rule
	NotStarted []string       `json:"idle,omitempty"`  // entries that affected nothing, so that the run shows less than its file says
	Entry      string         `json:"entry"`           // of the journal
}

var startedLine = regexp.MustCompile(`^ *-?[0-9.]+ s to +-?[0-9.]+ s  ([a-z_]+)((?: \([^)]*\))?) *(.*)$`)

// NotStarted returns, from what the bench printed of a run, the entries that affected no machine, server or place though their kind
// does: the bench ignored them.
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

// ParseRunResult parses a journal entry of one run. An entry that is incomplete, or of no run or several, is an error.
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
		return RunResult{}, fmt.Errorf("journal entry %s: %d days, one is wanted", e.ID, len(e.Days))
	}
	d := e.Days[0]
	if d.Name == "" || e.Head == "" {
		return RunResult{}, errors.New("journal entry " + e.ID + ": days[0].name and head are wanted")
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

// Failed reports whether a rule was broken or a fault seen.
func (r RunResult) Failed() bool { return len(r.Violations) > 0 || r.Fault != "" }

// String returns the result in one line.
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
		l += "  (befell nobody: " + strings.Join(r.NotStarted, ", ") + ")"
	}
	for _, s := range r.Shortfalls {
		l += "  SHORT " + s
	}
	return l
}
