package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Scenario is what the bench plays in one run, which it calls a day.
type Scenario struct {
	Name     string
	Seed     uint64
	Template map[string]any // what a scenario of the site had, without its entries and marks
	Plan     []Entry
	Faults   []Entry
	Closing  Entry // empty for none
}

// TOML returns the scenario as a file of the bench.
func (s Scenario) TOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\n", s.Name, s.Seed)
	if len(s.Closing) > 0 {
		fmt.Fprintf(&b, "closing = %s\n", inlineTOML(s.Closing))
	}
	for _, l := range []struct {
		name    string
		entries []Entry
	}{{"plan", s.Plan}, {"faults", s.Faults}} {
		fmt.Fprintf(&b, "%s = [\n", l.name)
		for _, e := range l.entries {
			fmt.Fprintf(&b, "  %s,\n", inlineTOML(e))
		}
		b.WriteString("]\n")
	}
	keys := lo.Keys(s.Template)
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, "%s = %s\n", k, inlineTOML(s.Template[k]))
	}
	return b.String()
}

// roundHundredths rounds to the two decimals that files have.
func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

func isString(v any) bool { _, ok := v.(string); return ok }
