package scenario

import (
	"slices"
	"strings"

	"github.com/samber/lo"
)

// ownVariants returns the variants of a kind: an empty one, those of its line and, if its line names one of the site's invalid
// configurations, all of these.
func (g *Generator) ownVariants(k Kind) []string {
	own := append([]string{""}, k.Variants...)
	if len(lo.Intersect(k.Variants, g.InvalidConfigs)) > 0 {
		own = append(own, g.InvalidConfigs...)
	}
	return lo.Uniq(own)
}

// suffixes returns the words that may follow a role in a kind's variant.
func (g *Generator) suffixes(k Kind) []string {
	return lo.Filter(g.Suffixes, func(w string, _ int) bool {
		return g.SuffixKinds[w] == nil || slices.Contains(g.SuffixKinds[w], k.Name)
	})
}

// extraVariants returns the variants that the header of the catalog allows for a kind in addition to its own.
func (g *Generator) extraVariants(k Kind) []string {
	switch {
	case k.TargetsMachines && !g.Planned[k.Name]:
		f := append(slices.Clone(g.Roles), g.suffixes(k)...)
		return append(f, lo.Ternary(k.CutsLinks, g.LinkVariants, nil)...)
	case k.TargetsMachines: // planned work visits all machines one by one, so roles don't apply
		return g.suffixes(k)
	case !g.Planned[k.Name] && slices.Contains(k.Words, "servers"):
		return g.ServerVariants
	}
	return nil
}

// Variants returns all variants that single-kind scenarios of a kind use: its own, those of the site's entries and the extra ones.
func (g *Generator) Variants(k Kind) []string {
	v := append(g.ownVariants(k), lo.Map(g.Examples[k.Name], func(e Entry, _ int) string { return strings.Join(e.Variant(), " ") })...)
	for _, w := range g.extraVariants(k) {
		if slices.Contains(g.suffixes(k), w) && !g.Planned[k.Name] && len(g.Roles) > 0 {
			w = g.Roles[0] + " " + w
		}
		v = append(v, w)
	}
	return lo.Uniq(v)
}
