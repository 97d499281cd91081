package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/samber/lo"

	"portflow/internal/random"
)

// Generator draws scenarios for one site. It must be created with NewGenerator.
type Generator struct {
	Catalog
	Site
	singleKindRequests []Request // one for each variant of each kind, shuffled
}

// Ranges and probabilities of the random draws.
const (
	earliestStart = 0.03 // earliest start of an entry, as a fraction of Site.LengthS
	latestStart   = 0.85 // leaves time for the last entry to take effect before a closing fault
	maxRepeats    = 3    // maximum number of times that an entry occurs
	minScale      = 0.6  // range of the factors applied to a field's typical value
	maxScale      = 1.6

	classProbability = 0.3 // probability that an entry names a class of machines
	nameProbability  = 0.7 // probability that it names a zone, region, service or class, if the site's example does
	extraProbability = 0.5 // probability that it has an extra variant
)

// NewGenerator returns a generator for a site. It returns an error if the site doesn't define whether a kind is planned work or a fault
// (see Site.LearnFrom), because listing planned work as a fault would relax the benchmark's rules.
func NewGenerator(c Catalog, s Site) (*Generator, error) {
	for _, k := range c.Kinds {
		if _, ok := s.Planned[k.Name]; !ok {
			return nil, fmt.Errorf("kind %s: no scenario of site %s, or of the sites it learns from, shows whether it is planned work or a fault; add a site that has it", k.Name, s.Name)
		}
	}
	g := &Generator{Catalog: c, Site: s}
	// Add the fields that only the site's entries use.
	for _, k := range lo.Keys(s.Examples) {
		for _, e := range s.Examples[k] {
			g.Fields = append(g.Fields, lo.Without(lo.Keys(e), "at", "kind", "how")...)
		}
	}
	g.Fields = lo.Uniq(g.Fields)
	slices.Sort(g.Fields)
	for _, k := range c.Kinds {
		for _, variant := range g.Variants(k) {
			g.singleKindRequests = append(g.singleKindRequests, Request{Entries: []Entry{{"kind": k.Name, "how": variant}}})
		}
	}
	// Shuffle, so that consecutive seeds don't have the same or related kinds.
	shuffle(&random.Source{Seed: uint64(len(g.singleKindRequests))}, g.singleKindRequests)
	return g, nil
}

// SingleKinds returns the number of scenarios that are needed to generate each variant of each kind by itself.
func (g *Generator) SingleKinds() int { return len(g.singleKindRequests) }

// Generate returns the scenario for a seed, which must be at least 1. The first SingleKinds seeds each produce one kind with one
// variant, later seeds two or three kinds with drawn variants. kindCount, if above 0, overrides the number of kinds. If there are
// requests, the scenarios use them in rotation and add drawn kinds up to kindCount.
func (g *Generator) Generate(seed uint64, kindCount int, requests []Request) (Scenario, error) {
	if seed == 0 {
		return Scenario{}, errors.New("seed is 0: seeds start at 1")
	}
	rng := &random.Source{Seed: seed}
	index := int(seed - 1)
	request, kindCount := g.requestOf(index, kindCount, requests)
	entries := g.drawKinds(rng, request.Entries, kindCount)
	scenario := Scenario{
		Seed:     seed,
		Name:     fmt.Sprintf("own-%d-%s", seed, strings.Join(kindsOf(entries), "-")),
		Template: g.template(int(rng.Float64() * float64(len(g.Templates)))),
	}
	for _, e := range entries {
		if err := g.addRepeated(rng, &scenario, e); err != nil {
			return Scenario{}, err
		}
	}
	slices.SortStableFunc(scenario.Plan, compareStarts)
	slices.SortStableFunc(scenario.Faults, compareStarts)
	scenario.Closing = request.Closing
	if scenario.Closing == nil {
		scenario.Closing = g.drawClosing(rng, index)
	}
	return scenario, g.Check(scenario)
}

// requestOf returns the request that applies to the scenario with the given index (from 0) and the scenario's number of kinds.
func (g *Generator) requestOf(index, kindCount int, requests []Request) (Request, int) {
	candidates := g.singleKindRequests
	if len(requests) > 0 {
		candidates = requests
	}
	if len(requests) == 0 && index >= len(candidates) {
		return Request{}, cmp.Or(kindCount, 2+index%2)
	}
	return candidates[index%len(candidates)], cmp.Or(kindCount, 1)
}

// drawKinds returns the requested entries, with drawn ones added until there are at least kindCount kinds.
func (g *Generator) drawKinds(rng *random.Source, requested []Entry, kindCount int) []Entry {
	entries := slices.Clone(requested)
	kinds := max(1, len(kindsOf(entries)))
	for ; len(entries) == 0 || kinds < kindCount; kinds++ {
		k := pick(rng, g.Kinds)
		entries = append(entries, Entry{"kind": k.Name, "how": g.drawVariant(rng, k)})
	}
	return entries
}

// kindsOf returns the distinct kinds of entries, in order of first occurrence.
func kindsOf(entries []Entry) []string {
	return lo.Uniq(lo.Map(entries, func(e Entry, _ int) string { return e.Kind() }))
}

// addRepeated adds an entry to a scenario between 1 and maxRepeats times, but only once if the entry has a start.
func (g *Generator) addRepeated(rng *random.Source, scenario *Scenario, e Entry) error {
	k, ok := g.Kind(e.Kind())
	if !ok {
		return fmt.Errorf("kind %q is not one of the kinds of site %s", e.Kind(), g.Name)
	}
	repeats := 1 + int(rng.Float64()*maxRepeats)
	if _, hasStart := e["at"]; hasStart {
		repeats = 1
	}
	for range repeats {
		entry := g.fillEntry(rng, k, e)
		if g.Planned[k.Name] {
			scenario.Plan = append(scenario.Plan, entry)
		} else {
			scenario.Faults = append(scenario.Faults, entry)
		}
	}
	return nil
}

// compareStarts orders entries by start. Equal starts compare as 1, never as 0.
func compareStarts(a, b Entry) int {
	return int(math.Copysign(1, numberValue(a["at"])-numberValue(b["at"])))
}

// drawClosing returns the closing fault for a scenario's index, with a drawn duration and variant. Indexes rotate through the kinds of
// closing faults and no closing fault (an empty entry).
func (g *Generator) drawClosing(rng *random.Source, index int) Entry {
	i := index % (len(g.Closings) + 1)
	if i == len(g.Closings) {
		return Entry{}
	}
	e := Entry{"kind": g.Closings[i], "down_s": roundHundredths(0.5 + rng.Float64())}
	variants := append([]string{""}, g.ClosingVariants...)
	for _, s := range g.ClosingExamples {
		if s.Kind() == g.Closings[i] {
			variants = append(variants, strings.Join(s.Variant(), " "))
		}
	}
	if variant := pick(rng, lo.Uniq(variants)); variant != "" {
		e["how"] = variant
	}
	return e
}

func pick[T any](c *random.Source, l []T) T { return l[int(c.Float64()*float64(len(l)))] }

func shuffle[T any](c *random.Source, l []T) {
	for i := len(l) - 1; i > 0; i-- {
		j := int(c.Float64() * float64(i+1))
		l[i], l[j] = l[j], l[i]
	}
}
