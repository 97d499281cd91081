package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Check returns an error if the scenario contains anything that the benchmark would reject or ignore: an unknown kind, field, variant
// or name, a number out of range, or an entry in the wrong list.
func (g *Generator) Check(scenario Scenario) error {
	for list, entries := range map[string][]Entry{"plan": scenario.Plan, "faults": scenario.Faults} {
		for i, e := range entries {
			if err := g.checkScheduled(e, list == "plan"); err != nil {
				return fmt.Errorf("scenario %s, %s %d: %w", scenario.Name, list, i+1, err)
			}
		}
	}
	if err := g.checkClosing(scenario.Closing); err != nil {
		return fmt.Errorf("scenario %s: %w", scenario.Name, err)
	}
	return nil
}

// checkScheduled checks an entry, its start and whether it is in the right list; planned is true for the plan, false for the faults.
func (g *Generator) checkScheduled(e Entry, planned bool) error {
	if err := g.CheckEntry(e); err != nil {
		return err
	}
	switch {
	case numberValue(e["at"]) >= g.LengthS:
		return fmt.Errorf("at %v is not before the end of the scenario (%v s)", e["at"], g.LengthS)
	case e["at"] == nil:
		return errors.New("at is missing: an entry needs a start in seconds")
	case g.Planned[e.Kind()] != planned:
		return fmt.Errorf("kind %s is in the wrong list (planned work belongs in plan, faults in faults)", e.Kind())
	}
	return nil
}

// checkClosing checks a closing fault. An empty entry means that there is none.
func (g *Generator) checkClosing(e Entry) error {
	if len(e) == 0 {
		return nil
	}
	if !slices.Contains(g.Closings, e.Kind()) {
		return fmt.Errorf("closing kind %q is not one of %s", e.Kind(), strings.Join(g.Closings, ", "))
	}
	allowed := append(slices.Clone(g.ClosingVariants), lo.FlatMap(g.ClosingExamples, func(s Entry, _ int) []string { return s.Variant() })...)
	for f, v := range e {
		switch f {
		case "kind":
		case "down_s":
			if numberValue(v) <= 0 {
				return fmt.Errorf("closing down_s %v is not above 0", v)
			}
		case "how":
			if unknown := lo.Without(e.Variant(), allowed...); len(unknown) > 0 {
				return fmt.Errorf("closing how %q is not one of %s", unknown[0], strings.Join(lo.Uniq(allowed), ", "))
			}
		default:
			return fmt.Errorf("closing field %q is not one of kind, down_s, how", f)
		}
	}
	return nil
}

// CheckEntry checks the kind and the fields of a single entry. The start (at) may be missing, as it is in most requests.
func (g *Generator) CheckEntry(e Entry) error {
	k, ok := g.Kind(e.Kind())
	if !ok {
		return fmt.Errorf("kind %q is not one of the kinds of site %s (%s)", e.Kind(), g.Name,
			strings.Join(lo.Map(g.Kinds, func(k Kind, _ int) string { return k.Name }), ", "))
	}
	for f, v := range e {
		if err := g.checkField(k, f, v, e.Variant()); err != nil {
			return fmt.Errorf("%s: %w", k.Name, err)
		}
	}
	return nil
}

// allowedVariants returns the words that an entry of the kind may have in its variant.
func (g *Generator) allowedVariants(k Kind) []string {
	exampleVariants := lo.FlatMap(g.Examples[k.Name], func(e Entry, _ int) []string { return e.Variant() })
	allowed := slices.Concat(g.ownVariants(k), g.extraVariants(k), exampleVariants)
	if k.TargetsMachines {
		allowed = slices.Concat(allowed, g.Roles, g.suffixes(k))
	}
	return lo.Uniq(allowed)
}

// checkField checks field f, with value v, of an entry of kind k with the given variant.
func (g *Generator) checkField(k Kind, f string, v any, variant []string) error {
	switch {
	case f == "kind":
	case f == "at":
		if numberValue(v) < 0 {
			return fmt.Errorf("at %v is below 0", v)
		}
	case f == "how":
		allowed := g.allowedVariants(k)
		if unknown := lo.Without(variant, allowed...); len(unknown) > 0 {
			return fmt.Errorf("how %q is not one of %s", unknown[0], strings.Join(lo.Without(allowed, ""), ", "))
		}
	case !slices.Contains(g.Fields, f):
		return fmt.Errorf("field %q is not one of at, kind, how, %s", f, strings.Join(g.Fields, ", "))
	case g.allowedNames(f) != nil:
		if !slices.Contains(g.allowedNames(f), stringValue(v)) {
			return fmt.Errorf("%s %q is not one of %s", f, v, strings.Join(g.allowedNames(f), ", "))
		}
	case isString(v): // on: a class of machines, or the voters
	case numberValue(v) <= 0, f == "share" && numberValue(v) > 1, f == "count" && numberValue(v) != math.Trunc(numberValue(v)):
		return fmt.Errorf("%s %v is out of range (must be above 0; share at most 1, count a whole number)", f, v)
	}
	return nil
}

// allowedNames returns the names of the site that are allowed in a field, nil if the field doesn't take such a name.
func (g *Generator) allowedNames(field string) []string {
	switch field {
	case "zone", "to_zone":
		return g.Zones
	case "region":
		return g.Regions
	case "service":
		return g.Services
	case "class":
		return g.Classes
	}
	return nil
}
