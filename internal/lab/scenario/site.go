package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/samber/lo"
)

// Entry is one trouble or piece of planned work of a day: a kind and its fields, of which at is the moment in seconds.
type Entry map[string]any

// Kind is the entry's kind, empty if it has none.
func (e Entry) Kind() string { k, _ := e["kind"].(string); return k }

// Variant is the entry's variants, word by word.
func (e Entry) Variant() []string { h, _ := e["how"].(string); return strings.Fields(h) }

// Site is what a day is drawn from: a deployment's places and names, and the entries that its own days and lists show.
type Site struct {
	Name            string
	LengthS         float64 // of a day's traffic, before a closing fault
	Zones           []string
	Regions         []string
	Services        []string
	Classes         []string // of requests
	Templates       []map[string]any
	Examples        map[string][]Entry // by kind
	Planned         map[string]bool    // by kind: stands under plan; a kind that no day shows is missing
	ClosingExamples []Entry            // closing faults that its days show
	InvalidConfigs  []string           // ways of spoiling a configuration that the deployment has
}

// What of a site's day is its own and not taken over by one that is drawn: marks that were set for its troubles.
var scenarioFields = []string{"name", "seed", "plan", "faults", "closing", "one", "zero", "wall", "light", "labels", "slot", "goal", "floor_classes", "floor_zones"}

// ParseSite reads a site file. An error names the field or the line.
func ParseSite(text string) (Site, error) {
	var all map[string]any
	if _, err := toml.Decode(text, &all); err != nil {
		var p toml.ParseError
		if errors.As(err, &p) {
			return Site{}, fmt.Errorf("site, line %d: %s", p.Position.Line, p.Message)
		}
		return Site{}, fmt.Errorf("site: %w", err)
	}
	s := Site{Examples: map[string][]Entry{}, Planned: map[string]bool{}}
	s.Name, _ = all["name"].(string)
	s.LengthS = numberValue(all["length_s"])
	if s.Name == "" || s.LengthS <= 0 {
		return s, errors.New("site: name and length_s (seconds, above 0) are wanted")
	}
	for _, z := range tableList(all["zones"]) {
		s.Zones, s.Regions = append(s.Zones, stringValue(z["name"])), append(s.Regions, stringValue(z["region"]))
	}
	s.Regions = lo.Uniq(s.Regions)
	for _, t := range tableList(all["services"]) {
		s.Services = append(s.Services, stringValue(t["name"]))
	}
	for _, t := range tableList(all["classes"]) {
		s.Classes = append(s.Classes, stringValue(t["name"]))
	}
	if len(s.Zones) == 0 || len(s.Services) == 0 {
		return s, errors.New("site: zones and services are wanted, each a table with a name")
	}
	if config, ok := all["config"].(map[string]any); ok {
		for _, w := range stringList(config["invalid"]) {
			s.InvalidConfigs = append(s.InvalidConfigs, stringValue(w))
		}
	}
	s.Templates = tableList(all["day"])
	if len(s.Templates) == 0 {
		return s, errors.New("site: no [[day]] to take traffic from")
	}
	for i, d := range s.Templates {
		for field, planned := range map[string]bool{"plan": true, "faults": false} {
			for j, t := range tableList(d[field]) {
				e := Entry(t)
				if e.Kind() == "" {
					return s, fmt.Errorf("site: day %d, %s %d: no kind", i+1, field, j+1)
				}
				s.Planned[e.Kind()] = planned
				s.Examples[e.Kind()] = append(s.Examples[e.Kind()], e)
			}
		}
		if c, ok := d["closing"].(map[string]any); ok {
			s.ClosingExamples = append(s.ClosingExamples, Entry(c))
		}
	}
	for i, t := range tableList(all["troubles"]) {
		e := Entry(t)
		if e.Kind() == "" {
			return s, fmt.Errorf("site: troubles %d: no kind", i+1)
		}
		s.Examples[e.Kind()] = append(s.Examples[e.Kind()], e)
	}
	return s, nil
}

// LearnFrom takes over from another site where kinds stand that this one's own days don't show, so that planned work isn't
// taken for a trouble.
func (s *Site) LearnFrom(other Site) {
	for k, p := range other.Planned {
		if _, ok := s.Planned[k]; !ok {
			s.Planned[k] = p
		}
	}
}

// template is a day of the site without what is its own. Its floors are the lowest that any of the site's days has.
func (s Site) template(i int) map[string]any {
	b := lo.OmitByKeys(s.Templates[i], scenarioFields)
	lowest := func(values []float64) (float64, bool) {
		values = lo.Filter(values, func(v float64, _ int) bool { return v > 0 })
		return lo.Min(values), len(values) > 0
	}
	if v, ok := lowest(lo.Map(s.Templates, func(d map[string]any, _ int) float64 {
		goal, _ := d["goal"].(map[string]any)
		return numberValue(goal["floor"])
	})); ok {
		b["goal"] = map[string]any{"floor": v}
	}
	for _, f := range []string{"floor_classes", "floor_zones"} {
		if v, ok := lowest(lo.FlatMap(s.Templates, func(d map[string]any, _ int) []float64 {
			return lo.Map(stringList(d[f]), func(v any, _ int) float64 { return numberValue(v) })
		})); ok {
			b[f] = []any{v}
		}
	}
	return b
}

func stringValue(v any) string { t, _ := v.(string); return t }

func numberValue(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	case int:
		return float64(n)
	}
	return 0
}

func stringList(v any) []any {
	switch l := v.(type) {
	case []any:
		return l
	case []map[string]any:
		return lo.Map(l, func(m map[string]any, _ int) any { return m })
	case []Entry:
		return lo.Map(l, func(e Entry, _ int) any { return map[string]any(e) })
	}
	return nil
}

func tableList(v any) []map[string]any {
	return lo.FilterMap(stringList(v), func(v any, _ int) (map[string]any, bool) { m, ok := v.(map[string]any); return m, ok })
}

// firstLetter sorts what comes first in a table.
var firstLetter = map[string]string{"at": "\x00", "kind": "\x01"}

// inlineTOML writes a value as TOML on one line; lists of tables get a line for each. A field's order in a table is: at, kind,
// then by name.
func inlineTOML(v any) string {
	switch t := v.(type) {
	case string:
		return fmt.Sprintf("%q", t)
	case float64:
		s := fmt.Sprintf("%g", t)
		if !strings.ContainsAny(s, ".e") {
			s += ".0"
		}
		return s
	case Entry:
		return inlineTOML(map[string]any(t))
	case map[string]any:
		keys := slices.SortedFunc(maps.Keys(t), func(a, b string) int {
			return strings.Compare(firstLetter[a]+a, firstLetter[b]+b)
		})
		return "{ " + strings.Join(lo.Map(keys, func(k string, _ int) string { return k + " = " + inlineTOML(t[k]) }), ", ") + " }"
	}
	if l := stringList(v); l != nil {
		items := lo.Map(l, func(v any, _ int) string { return inlineTOML(v) })
		if len(tableList(v)) == len(l) && len(l) > 0 {
			return "[\n  " + strings.Join(items, ",\n  ") + ",\n]"
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	if _, ok := v.([]any); ok {
		return "[]"
	}
	return fmt.Sprint(v)
}
