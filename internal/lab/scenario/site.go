package scenario

import (
	"errors"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/samber/lo"
)

// Entry is a fault or a piece of planned work in a scenario, by field. The field at is its start in seconds.
type Entry map[string]any

// Kind returns the entry's kind, empty if it has none.
func (e Entry) Kind() string { return stringValue(e["kind"]) }

// Variant returns the words of the entry's variant (its field how).
func (e Entry) Variant() []string { return strings.Fields(stringValue(e["how"])) }

// Site describes a deployment: its zones, regions, services and classes, and the scenarios and entries of its site file, which serve as
// examples.
type Site struct {
	Name            string
	LengthS         float64 // duration of the traffic in seconds, up to a closing fault
	Zones           []string
	Regions         []string
	Services        []string
	Classes         []string           // classes of requests
	Templates       []map[string]any   // the site's own scenarios, as decoded from TOML
	Examples        map[string][]Entry // by kind
	Planned         map[string]bool    // by kind: true for planned work, false for a fault; kinds that no scenario has are missing
	ClosingExamples []Entry            // closing faults of the site's scenarios
	InvalidConfigs  []string           // variants of kinds that submit an invalid configuration
}

// scenarioFields are the fields of a site's scenario that aren't copied into generated ones: its entries, and goals and labels that only
// apply to them.
var scenarioFields = []string{
	"name", "seed", "plan", "faults", "closing", "one", "zero", "wall", "light", "labels", "slot", "goal", "floor_classes", "floor_zones",
}

// ParseSite parses a site file. Errors give the line of a TOML syntax error, or else the field.
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
	for _, parse := range []func(map[string]any) error{s.parseNames, s.parseTemplates, s.parseTroubles} {
		if err := parse(all); err != nil {
			return s, fmt.Errorf("site: %w", err)
		}
	}
	return s, nil
}

// parseNames reads the site's name, length, zones, regions, services, classes and invalid configurations.
func (s *Site) parseNames(all map[string]any) error {
	s.Name = stringValue(all["name"])
	s.LengthS = numberValue(all["length_s"])
	if s.Name == "" || s.LengthS <= 0 {
		return errors.New("name and length_s (seconds, above 0) are required")
	}
	for _, zone := range tableList(all["zones"]) {
		s.Zones = append(s.Zones, stringValue(zone["name"]))
		s.Regions = append(s.Regions, stringValue(zone["region"]))
	}
	s.Regions = lo.Uniq(s.Regions)
	s.Services = namesOf(all["services"])
	s.Classes = namesOf(all["classes"])
	if len(s.Zones) == 0 || len(s.Services) == 0 {
		return errors.New("zones and services are required, each as a list of tables with a name")
	}
	if config, ok := all["config"].(map[string]any); ok {
		for _, name := range stringList(config["invalid"]) {
			s.InvalidConfigs = append(s.InvalidConfigs, stringValue(name))
		}
	}
	return nil
}

// namesOf returns the name of each table in a list.
func namesOf(v any) (names []string) {
	for _, table := range tableList(v) {
		names = append(names, stringValue(table["name"]))
	}
	return names
}

// parseTemplates reads the site's scenarios and their entries.
func (s *Site) parseTemplates(all map[string]any) error {
	s.Templates = tableList(all["day"])
	if len(s.Templates) == 0 {
		return errors.New("no [[day]] to use as a template")
	}
	for i, day := range s.Templates {
		for field, planned := range map[string]bool{"plan": true, "faults": false} {
			for j, table := range tableList(day[field]) {
				e := Entry(table)
				if e.Kind() == "" {
					return fmt.Errorf("day %d, %s %d: kind is missing", i+1, field, j+1)
				}
				s.Planned[e.Kind()] = planned
				s.Examples[e.Kind()] = append(s.Examples[e.Kind()], e)
			}
		}
		if closing, ok := day["closing"].(map[string]any); ok {
			s.ClosingExamples = append(s.ClosingExamples, Entry(closing))
		}
	}
	return nil
}

// parseTroubles reads the entries that the site lists outside its scenarios.
func (s *Site) parseTroubles(all map[string]any) error {
	for i, table := range tableList(all["troubles"]) {
		e := Entry(table)
		if e.Kind() == "" {
			return fmt.Errorf("troubles %d: kind is missing", i+1)
		}
		s.Examples[e.Kind()] = append(s.Examples[e.Kind()], e)
	}
	return nil
}

// LearnFrom copies from another site whether a kind is planned work, for kinds that none of this site's own scenarios has. It copies
// nothing else.
func (s *Site) LearnFrom(other Site) {
	for k, p := range other.Planned {
		if _, ok := s.Planned[k]; !ok {
			s.Planned[k] = p
		}
	}
}

// template returns scenario i of the site without its scenarioFields. Each floor is replaced by the lowest one above 0 among all of the
// site's scenarios.
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
