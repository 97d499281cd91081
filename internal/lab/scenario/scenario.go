package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Scenario is the input of one run of the benchmark, which calls it a day.
type Scenario struct {
	Name     string
	Seed     uint64
	Template map[string]any // further settings, copied from one of the site's scenarios; see Site.template
	Plan     []Entry
	Faults   []Entry
	Closing  Entry // empty if there is no closing fault
}

// TOML returns the scenario in the benchmark's file format.
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

// roundHundredths rounds to two decimals, as written to scenario files.
func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

func isString(v any) bool { _, ok := v.(string); return ok }
