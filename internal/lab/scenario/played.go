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

// Played is how one day went.
type Played struct {
	Site     string         `json:"site"`
	Day      string         `json:"day"` // its name
	Seed     uint64         `json:"seed"`
	Troubles []string       `json:"troubles"`
	Closing  string         `json:"closing,omitempty"`
	Head     string         `json:"head"`  // the commit that was played
	Score    float64        `json:"score"` // 0 with a broken rule or a fault
	Worth    float64        `json:"worth"` // less prices, before rules
	Served   float64        `json:"served"`
	Rules    map[string]int `json:"rules"` // broken, and how often
	Fault    string         `json:"fault,omitempty"`
	Gate     bool           `json:"gate"`
	Short    []string       `json:"short,omitempty"` // why the gate failed, if by no rule
	Idle     []string       `json:"idle,omitempty"`  // entries that befell nobody, so that the day shows less than it says
	Entry    string         `json:"entry"`           // of the journal
}

var happened = regexp.MustCompile(`^ *-?[0-9.]+ s to +-?[0-9.]+ s  ([a-z_]+)((?: \([^)]*\))?) *(.*)$`)

// Befell reads, from what the bench prints of a day, the entries that befell no machine, server or place, though the kind
// is one that does: such an entry was passed over in silence.
func (d *Drawer) Befell(printed string) (idle []string) {
	for l := range strings.Lines(printed) {
		m := happened.FindStringSubmatch(strings.TrimRight(l, "\n"))
		if m == nil || m[3] != "" {
			continue
		}
		if k, ok := d.Kind(m[1]); ok && (k.Machines || !d.Planned[k.Name]) {
			idle = append(idle, m[1]+m[2])
		}
	}
	return idle
}

// ReadEntry reads what a journal entry of one day holds. An entry that isn't whole, or of no day or several, is an error.
func ReadEntry(text []byte) (Played, error) {
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
		return Played{}, fmt.Errorf("journal entry: %w", err)
	}
	if e.Error != nil && len(e.Days) == 0 {
		return Played{}, fmt.Errorf("journal entry %s: %s", e.ID, *e.Error)
	}
	if len(e.Days) != 1 {
		return Played{}, fmt.Errorf("journal entry %s: %d days, one is wanted", e.ID, len(e.Days))
	}
	d := e.Days[0]
	if d.Name == "" || e.Head == "" {
		return Played{}, errors.New("journal entry " + e.ID + ": days[0].name and head are wanted")
	}
	return Played{Site: e.Site, Day: d.Name, Seed: d.Seed, Troubles: d.Troubles, Head: e.Head, Score: d.Score, Worth: d.G, Served: d.Served,
		Rules: d.Rules, Fault: lo.FromPtr(d.Fault), Gate: d.Gate, Short: d.Short, Entry: e.ID}, nil
}

// Broke tells whether a rule was broken or a fault seen.
func (p Played) Broke() bool { return len(p.Rules) > 0 || p.Fault != "" }

// String is the day's one line.
func (p Played) String() string {
	l := fmt.Sprintf("%-16s %6d  %.2f  served %.3f  gate %-6s %s", p.Site, p.Seed, p.Worth, p.Served, lo.Ternary(p.Gate, "passed", "failed"), p.Day)
	if p.Closing != "" {
		l += ", closing " + p.Closing
	}
	if len(p.Rules) > 0 {
		names := lo.Keys(p.Rules)
		slices.Sort(names)
		l += "  BROKEN " + strings.Join(lo.Map(names, func(n string, _ int) string { return fmt.Sprintf("%s %d", n, p.Rules[n]) }), ", ")
	}
	if p.Fault != "" {
		l += "  FAULT " + p.Fault
	}
	if len(p.Idle) > 0 {
		l += "  (befell nobody: " + strings.Join(p.Idle, ", ") + ")"
	}
	for _, s := range p.Short {
		l += "  SHORT " + s
	}
	return l
}

// Table writes, by site and kind of trouble, how many days were played with it, broke a rule, had a fault or failed the
// gate, and the mean and the lowest worth; a day counts for each of its kinds.
func Table(w io.Writer, all []Played) {
	type row struct {
		days, broke, fault, gate int
		worth, least             float64
	}
	rows := map[string]*row{}
	for _, p := range all {
		kinds := append(lo.Uniq(p.Troubles), "closing "+lo.CoalesceOrEmpty(p.Closing, "none"), "all")
		for _, k := range kinds {
			key := p.Site + "\x00" + k
			r := rows[key]
			if r == nil {
				r = &row{least: p.Worth}
				rows[key] = r
			}
			r.days++
			r.broke += lo.Ternary(len(p.Rules) > 0, 1, 0)
			r.fault += lo.Ternary(p.Fault != "", 1, 0)
			r.gate += lo.Ternary(p.Gate, 0, 1)
			r.worth += p.Worth
			r.least = min(r.least, p.Worth)
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
