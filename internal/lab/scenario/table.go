package scenario

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// tableRow aggregates the runs of one site that have one kind.
type tableRow struct {
	runs, violated, faults, gateFailed int
	totalGoodput, lowestGoodput        float64 // of the runs; the mean is totalGoodput / runs
}

func (r *tableRow) add(result RunResult) {
	r.runs++
	r.violated += lo.Ternary(len(result.Violations) > 0, 1, 0)
	r.faults += lo.Ternary(result.Fault != "", 1, 0)
	r.gateFailed += lo.Ternary(result.GatePassed, 0, 1)
	r.totalGoodput += result.Goodput
	r.lowestGoodput = min(r.lowestGoodput, result.Goodput)
}

// FormatTable writes a table by site and kind: the number of runs, of runs that violated a rule, had a fault or failed the gate, and the
// mean and lowest goodput. A run counts once for each of its kinds, for its closing fault and for all.
func FormatTable(w io.Writer, all []RunResult) {
	rows := map[string]*tableRow{} // by site and kind, separated by a NUL byte
	for _, result := range all {
		kinds := append(lo.Uniq(result.Kinds), "closing "+lo.CoalesceOrEmpty(result.Closing, "none"), "all")
		for _, kind := range kinds {
			key := result.Site + "\x00" + kind
			if rows[key] == nil {
				rows[key] = &tableRow{lowestGoodput: result.Goodput}
			}
			rows[key].add(result)
		}
	}
	fmt.Fprintf(w, "%-20s %-28s %5s %6s %6s %11s %5s %6s\n", "site", "kind", "days", "broken", "faults", "gate failed", "worth", "lowest")
	keys := lo.Keys(rows)
	slices.Sort(keys)
	for _, key := range keys {
		site, kind, _ := strings.Cut(key, "\x00")
		r := rows[key]
		fmt.Fprintf(w, "%-20s %-28s %5d %6d %6d %11d %5.2f %6.2f\n",
			site, kind, r.runs, r.violated, r.faults, r.gateFailed, r.totalGoodput/float64(r.runs), r.lowestGoodput)
	}
}
