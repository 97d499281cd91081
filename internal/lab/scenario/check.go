package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Check returns an error for what the bench would reject or ignore in a scenario: unknown kinds, fields, variants and names, numbers
// out of bounds, an entry in the wrong list.
func (g *Generator) Check(scenario Scenario) error {
	for list, entries := range map[string][]Entry{"plan": scenario.Plan, "faults": scenario.Faults} {
		for i, e := range entries {
			if err := g.checkScheduled(e, list == "plan"); err != nil {
				return fmt.Errorf("day %s, %s %d: %w", scenario.Name, list, i+1, err)
			}
		}
	}
	if err := g.checkClosing(scenario.Closing); err != nil {
		return fmt.Errorf("day %s: %w", scenario.Name, err)
	}
	return nil
}

// checkScheduled checks an entry of a scenario.
func (g *Generator) checkScheduled(e Entry, planned bool) error {
	if err := g.CheckEntry(e); err != nil {
		return err
	}
	switch {
	case numberValue(e["at"]) >= g.LengthS:
		return fmt.Errorf("at %v: the day lasts %v s", e["at"], g.LengthS)
	case e["at"] == nil:
		return errors.New("at is wanted")
	case g.Planned[e.Kind()] != planned:
		return fmt.Errorf("kind %s stands in the wrong list", e.Kind())
	}
	return nil
}

// checkClosing checks a closing fault; an empty one is none.
func (g *Generator) checkClosing(e Entry) error {
	if len(e) == 0 {
		return nil
	}
	if !slices.Contains(g.Closings, e.Kind()) {
		return fmt.Errorf("closing kind %q: none of %s", e.Kind(), strings.Join(g.Closings, ", "))
	}
	allowed := append(slices.Clone(g.ClosingVariants), lo.FlatMap(g.ClosingExamples, func(s Entry, _ int) []string { return s.Variant() })...)
	for f, v := range e {
		switch f {
		case "kind":
		case "down_s":
			if numberValue(v) <= 0 {
				return fmt.Errorf("closing down_s %v: above 0 is wanted", v)
			}
		case "how":
			if unknown := lo.Without(e.Variant(), allowed...); len(unknown) > 0 {
				return fmt.Errorf("closing how %q: none of %s", unknown[0], strings.Join(lo.Uniq(allowed), ", "))
			}
		default:
			return fmt.Errorf("closing field %q: kind, down_s, how", f)
		}
	}
	return nil
}

// CheckEntry checks one entry by itself; at may be missing, as in a request.
func (g *Generator) CheckEntry(e Entry) error {
	k, ok := g.Kind(e.Kind())
	if !ok {
		return fmt.Errorf("kind %q: not in the list of %s (%s)", e.Kind(), g.Name,
			strings.Join(lo.Map(g.Kinds, func(k Kind, _ int) string { return k.Name }), ", "))
	}
	for f, v := range e {
		if err := g.checkField(k, f, v, e.Variant()); err != nil {
			return fmt.Errorf("%s: %w", k.Name, err)
		}
	}
	return nil
}

// allowedVariants returns the variants that entries of a kind may have.
func (g *Generator) allowedVariants(k Kind) []string {
	exampleVariants := lo.FlatMap(g.Examples[k.Name], func(e Entry, _ int) []string { return e.Variant() })
	allowed := slices.Concat(g.ownVariants(k), g.extraVariants(k), exampleVariants)
	if k.TargetsMachines {
		allowed = slices.Concat(allowed, g.Roles, g.suffixes(k))
	}
	return lo.Uniq(allowed)
}

// checkField checks one field of an entry.
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
			return fmt.Errorf("how %q is none of %s", unknown[0], strings.Join(lo.Without(allowed, ""), ", "))
		}
	case !slices.Contains(g.Fields, f):
		return fmt.Errorf("field %q is none of at, kind, how, %s", f, strings.Join(g.Fields, ", "))
	case g.allowedNames(f) != nil:
		if !slices.Contains(g.allowedNames(f), stringValue(v)) {
			return fmt.Errorf("%s %q is none of %s", f, v, strings.Join(g.allowedNames(f), ", "))
		}
	case isString(v): // a class of machines, or the voters
	case numberValue(v) <= 0, f == "share" && numberValue(v) > 1, f == "count" && numberValue(v) != math.Trunc(numberValue(v)):
		return fmt.Errorf("%s %v is out of bounds (above 0; a share at most 1, a count a whole number)", f, v)
	}
	return nil
}

// allowedNames returns the names that a field may have, nil if it has no name of the site's.
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
