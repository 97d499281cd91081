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

// Generator draws scenarios of one site.
type Generator struct {
	Catalog
	Site
	singleKindRequests []Request // each kind alone with each of its variants, shuffled
}

// The bounds of what is drawn.
const (
	earliestStart = 0.03 // of an entry, as a fraction of the length
	latestStart   = 0.85 // so that the last entry's effects are seen before a closing fault
	maxRepeats    = 3    // of an entry
	minScale      = 0.6  // of a number, as a factor of the one that the site shows
	maxScale      = 1.6

	classProbability = 0.3 // that an entry names a class of machines
	nameProbability  = 0.7 // that it names a place or service, where the site's entry does
	extraProbability = 0.5 // that it has an extra variant
)

// NewGenerator makes a generator. A kind of the catalog of which no scenario shows whether it is planned work or a fault is an error,
// as planned work that is taken for a fault would ease the rules.
func NewGenerator(c Catalog, s Site) (*Generator, error) {
	for _, k := range c.Kinds {
		if _, ok := s.Planned[k.Name]; !ok {
			return nil, fmt.Errorf("kind %s: no day of %s, nor of the sites learnt from, shows whether it is planned; learn from one more", k.Name, s.Name)
		}
	}
	g := &Generator{Catalog: c, Site: s}
	// fields that the catalog's head doesn't explain are known from the site's entries
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
	// neighbours in the catalog are not to be neighbours among the seeds
	shuffle(&random.Source{Seed: uint64(len(g.singleKindRequests))}, g.singleKindRequests)
	return g, nil
}

// SingleKinds returns the number of scenarios after which each kind has been alone in one, with each of its variants.
func (g *Generator) SingleKinds() int { return len(g.singleKindRequests) }

// Generate draws the scenario of a seed (from 1): the first SingleKinds seeds each have one kind with one variant, those after them
// pairs and triples with drawn variants. kindCount, if above 0, is the number of kinds instead. Requests, if any, are used in turn
// in place of the first kinds.
func (g *Generator) Generate(seed uint64, kindCount int, requests []Request) (Scenario, error) {
	if seed == 0 {
		return Scenario{}, errors.New("seeds count from 1")
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

// requestOf returns what the scenario of an index, which counts from 0, must have, and its number of kinds.
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

// drawKinds adds drawn kinds to requested entries until there are as many as wanted.
func (g *Generator) drawKinds(rng *random.Source, requested []Entry, kindCount int) []Entry {
	entries := slices.Clone(requested)
	kinds := max(1, len(kindsOf(entries)))
	for ; len(entries) == 0 || kinds < kindCount; kinds++ {
		k := pick(rng, g.Kinds)
		entries = append(entries, Entry{"kind": k.Name, "how": g.drawVariant(rng, k)})
	}
	return entries
}

// kindsOf returns the kinds of entries, each once.
func kindsOf(entries []Entry) []string {
	return lo.Uniq(lo.Map(entries, func(e Entry, _ int) string { return e.Kind() }))
}

// addRepeated adds an entry to a scenario a drawn number of times, once if its start is given.
func (g *Generator) addRepeated(rng *random.Source, scenario *Scenario, e Entry) error {
	k, ok := g.Kind(e.Kind())
	if !ok {
		return fmt.Errorf("kind %q: not in the list of %s", e.Kind(), g.Name)
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

// compareStarts orders entries by their starts.
func compareStarts(a, b Entry) int {
	return int(math.Copysign(1, numberValue(a["at"])-numberValue(b["at"])))
}

// drawClosing returns the closing fault of an index, in turn, none among them, with a drawn variant.
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
