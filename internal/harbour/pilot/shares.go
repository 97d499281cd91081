package pilot

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/papers"
	"portflow/internal/harbour/tonnage"
)

// ShareChange is the change that sets one share, with the version after highest. Its fields are checked as control checks
// them.
func ShareChange(fields map[string]any, highest uint64) ([]byte, error) {
	for name, v := range fields {
		if v == nil {
			delete(fields, name)
		}
	}
	r := papers.Read(papers.Tree(fields))
	manifest.ReadShare(r)
	if err := r.Err(); err != nil {
		return nil, err
	}
	columns, row := []string{"version"}, []any{manifest.Digits(highest + 1)}
	for name, v := range fields {
		columns, row = append(columns, name), append(row, v)
	}
	return json.Marshal(map[string]any{"set-items": map[string]any{manifest.Shares: map[string]any{
		"table-columns": columns, "table-rows": [][]any{row}}}})
}

// ShareDrop is the change that drops one.
func ShareDrop(name string, highest uint64) ([]byte, error) {
	return json.Marshal(map[string]any{"drop-names": map[string]any{manifest.Shares: []map[string]string{{
		"name": name, "version": manifest.Digits(highest + 1)}}}})
}

// Held is whom a share would have held back.
type Held struct {
	Caller   string `json:"caller"` // empty for those without a name or too many to be counted by name
	Requests uint64 `json:"requests"`
	HeldBack uint64 `json:"held_back"`
	Worst    uint64 `json:"worst_minute"` // most of them within one minute
}

// Dry tells whom shares of so many requests a second for one caller, or for each, would have held back by the counts of the
// last hour, as all control processes have them: those held back most come first. It goes by whole minutes, and by nothing
// being left over.
func Dry(surveys []map[string][]tonnage.Caller, service, caller string, perSecond float64) (all []Held) {
	sums := map[string][]uint64{}
	for _, s := range surveys {
		for _, c := range s[service] {
			if caller != "" && c.Name != caller && !(caller == manifest.Others && c.Name == "") {
				continue
			}
			if sums[c.Name] == nil {
				sums[c.Name] = make([]uint64, 60)
			}
			for i, n := range c.Minutes[:min(60, len(c.Minutes))] {
				sums[c.Name][i] += n
			}
		}
	}
	for name, minutes := range sums {
		h := Held{Caller: name, HeldBack: tonnage.Caller{Minutes: minutes}.HeldBack(perSecond)}
		for _, n := range minutes {
			h.Requests += n
			h.Worst = max(h.Worst, n)
		}
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b Held) int {
		return cmp.Or(cmp.Compare(b.HeldBack, a.HeldBack), strings.Compare(a.Caller, b.Caller))
	})
	return all
}

// Named is how a caller is shown.
func Named(caller string) string {
	if caller == "" {
		return "(others)"
	}
	return fmt.Sprintf("%q", caller)
}
