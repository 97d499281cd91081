package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// RunResult is how one day went.
type RunResult struct {
	Site       string         `json:"site"`
	Scenario   string         `json:"day"` // its name
	Seed       uint64         `json:"seed"`
	Kinds      []string       `json:"troubles"`
	Closing    string         `json:"closing,omitempty"`
	Head       string         `json:"head"`  // the commit that was played
	Score      float64        `json:"score"` // 0 with a broken rule or a fault
	Goodput    float64        `json:"worth"` // less prices, before rules
	Served     float64        `json:"served"`
	Violations map[string]int `json:"rules"` // broken, and how often
	Fault      string         `json:"fault,omitempty"`
	GatePassed bool           `json:"gate"`
	Shortfalls []string       `json:"short,omitempty"` // why the gate failed, if by no rule
	NotStarted []string       `json:"idle,omitempty"`  // entries that befell nobody, so that the day shows less than it says
	Entry      string         `json:"entry"`           // of the journal
}

var startedLine = regexp.MustCompile(`^ *-?[0-9.]+ s to +-?[0-9.]+ s  ([a-z_]+)((?: \([^)]*\))?) *(.*)$`)

// NotStarted reads, from what the bench prints of a day, the entries that befell no machine, server or place, though the kind
// is one that does: such an entry was passed over in silence.
func (g *Generator) NotStarted(printed string) (idle []string) {
	for l := range strings.Lines(printed) {
		m := startedLine.FindStringSubmatch(strings.TrimRight(l, "\n"))
		if m == nil || m[3] != "" {
			continue
		}
		if k, ok := g.Kind(m[1]); ok && (k.TargetsMachines || !g.Planned[k.Name]) {
			idle = append(idle, m[1]+m[2])
		}
	}
	return idle
}

// ParseRunResult reads what a journal entry of one day holds. An entry that isn't whole, or of no day or several, is an error.
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
	return RunResult{Site: e.Site, Scenario: d.Name, Seed: d.Seed, Kinds: d.Troubles, Head: e.Head, Score: d.Score, Goodput: d.G, Served: d.Served,
		Violations: d.Rules, Fault: lo.FromPtr(d.Fault), GatePassed: d.Gate, Shortfalls: d.Short, Entry: e.ID}, nil
}

// Failed tells whether a rule was broken or a fault seen.
func (r RunResult) Failed() bool { return len(r.Violations) > 0 || r.Fault != "" }

// String is the day's one line.
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

// FormatTable writes, by site and kind of trouble, how many days were played with it, broke a rule, had a fault or failed the
// gate, and the mean and the lowest worth; a day counts for each of its kinds.
func FormatTable(w io.Writer, all []RunResult) {
	type row struct {
		days, broke, fault, gate int
		worth, least             float64
	}
	rows := map[string]*row{}
	for _, p := range all {
		kinds := append(lo.Uniq(p.Kinds), "closing "+lo.CoalesceOrEmpty(p.Closing, "none"), "all")
		for _, k := range kinds {
			key := p.Site + "\x00" + k
			r := rows[key]
			if r == nil {
				r = &row{least: p.Goodput}
				rows[key] = r
			}
			r.days++
			r.broke += lo.Ternary(len(p.Violations) > 0, 1, 0)
			r.fault += lo.Ternary(p.Fault != "", 1, 0)
			r.gate += lo.Ternary(p.GatePassed, 0, 1)
			r.worth += p.Goodput
			r.least = min(r.least, p.Goodput)
		}
	}
	fmt.Fprintf(w, "%-20s %-28s %5s %6s %6s %11s %5s %6s\n", "site", "kind", "days", "broken", "faults", "gate failed", "worth", "lowest")
	keys := lo.Keys(rows)
	slices.Sort(keys)
	for _, k := range keys {
		site, kind, _ := strings.Cut(k, "\x00")
		r := rows[k]
		fmt.Fprintf(w, "%-20s %-28s %5d %6d %6d %11d %5.2f %6.2f\n", site, kind, r.days, r.broke, r.fault, r.gate, r.worth/float64(r.days), r.least)
	}
}
