package scenario

import (
	"slices"
	"strings"

	"github.com/samber/lo"
)

// ownVariants returns the variants that fit a kind: of its line, of the deployment's invalid configurations where its line shares
// one of them, and none.
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

// extraVariants returns the variants that the catalog's head allows a kind beside its own.
func (g *Generator) extraVariants(k Kind) []string {
	switch {
	case k.TargetsMachines && !g.Planned[k.Name]:
		f := append(slices.Clone(g.Roles), g.suffixes(k)...)
		return append(f, lo.Ternary(k.CutsLinks, g.LinkVariants, nil)...)
	case k.TargetsMachines: // planned work goes over all machines, one by one
		return g.suffixes(k)
	case !g.Planned[k.Name] && slices.Contains(k.Words, "servers"):
		return g.ServerVariants
	}
	return nil
}

// Variants returns the variants that a kind is drawn with alone: each of its own, each that the site shows, each extra one.
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
