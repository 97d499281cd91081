package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"portflow/internal/random"
)

// Scenario is a day of our own.
type Scenario struct {
	Name     string
	Seed     uint64
	Template map[string]any // what a day of the site had, without its troubles and marks
	Plan     []Entry
	Faults   []Entry
	Closing  Entry // nil: none
}

// Request is what a drawn day is to hold at least: entries whose given fields stay as they are, the others being drawn.
type Request struct {
	Entries []Entry
	Closing Entry // nil: drawn; an empty one: none
}

// Generator draws days of one site.
type Generator struct {
	Catalog
	Site
	singleKind []Request
}

// Of a drawn day: moments lie within this part of its length, so that what the last entry does is seen before a closing
// fault; an entry comes this often at most; a drawn figure lies between these parts of the one that the site shows.
const (
	earliestStart      = 0.03
	latestStart        = 0.85
	maxRepeats         = 3
	classProbability   = 0.3
	minScale, maxScale = 0.6, 1.6
)

// NewGenerator makes one. A kind that the list names and that cannot be placed is an error, for a piece of planned work that is
// taken for a trouble would ease the rules.
func NewGenerator(c Catalog, s Site) (*Generator, error) {
	for _, k := range c.Kinds {
		if _, ok := s.Planned[k.Name]; !ok {
			return nil, fmt.Errorf("kind %s: no day of %s, nor of the sites learnt from, shows whether it is planned; learn from one more", k.Name, s.Name)
		}
	}
	g := &Generator{Catalog: c, Site: s}
	// fields that the head doesn't explain are known from the site's entries
	for _, k := range lo.Keys(s.Examples) {
		for _, e := range s.Examples[k] {
			g.Fields = append(g.Fields, lo.Without(lo.Keys(e), "at", "kind", "how")...)
		}
	}
	g.Fields = lo.Uniq(g.Fields)
	slices.Sort(g.Fields)
	for _, k := range c.Kinds {
		for _, outcome := range g.Variants(k) {
			g.singleKind = append(g.singleKind, Request{Entries: []Entry{{"kind": k.Name, "how": outcome}}})
		}
	}
	// neighbours in the list aren't neighbours among the seeds
	shuffle(&random.Source{Seed: uint64(len(g.singleKind))}, g.singleKind)
	return g, nil
}

// SingleKinds is the number of days after which each kind has come alone, with each of its variants.
func (g *Generator) SingleKinds() int { return len(g.singleKind) }

// ownVariants are the variants that fit a kind: of its line, of the deployment's spoilt configurations where its line shares
// such, and none.
func (g *Generator) ownVariants(k Kind) []string {
	own := append([]string{""}, k.Variants...)
	if len(lo.Intersect(k.Variants, g.InvalidConfigs)) > 0 {
		own = append(own, g.InvalidConfigs...)
	}
	return lo.Uniq(own)
}

func (g *Generator) suffixes(k Kind) []string {
	return lo.Filter(g.Suffixes, func(w string, _ int) bool {
		return g.SuffixKinds[w] == nil || slices.Contains(g.SuffixKinds[w], k.Name)
	})
}

// extraVariants are the variants that the head of the list allows a kind beside its own.
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

// Variants are the variants that a kind comes with alone: each of its own, each that the site shows, each further one.
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

// Generate draws the day of a seed (from 1): the first Singles() seeds each play one kind with one variant, those after them
// pairs and triples with drawn variants. mix, if above 0, is the number of kinds a day instead. Wishes, if any, are taken
// in turn in place of the first kinds.
func (g *Generator) Generate(seed uint64, kindCount int, requests []Request) (Scenario, error) {
	if seed == 0 {
		return Scenario{}, errors.New("seeds count from 1")
	}
	rng := &random.Source{Seed: seed}
	index := int(seed - 1)
	candidates := g.singleKind
	if len(requests) > 0 {
		candidates = requests
		if kindCount == 0 {
			kindCount = 1
		}
	}
	var request Request
	switch {
	case len(requests) > 0 || index < len(candidates):
		request = candidates[index%len(candidates)]
		if kindCount == 0 {
			kindCount = 1
		}
	case kindCount == 0:
		kindCount = 2 + index%2
	}
	entries := slices.Clone(request.Entries)
	kinds := max(1, len(lo.UniqBy(entries, Entry.Kind)))
	for ; len(entries) == 0 || kinds < kindCount; kinds++ {
		k := pick(rng, g.Kinds)
		entries = append(entries, Entry{"kind": k.Name, "how": g.drawVariant(rng, k)})
	}
	generated := Scenario{Seed: seed, Name: fmt.Sprintf("own-%d-%s", seed, strings.Join(lo.Uniq(lo.Map(entries, func(e Entry, _ int) string { return e.Kind() })), "-")),
		Template: g.template(int(rng.Float64() * float64(len(g.Templates))))}
	for _, e := range entries {
		k, ok := g.Kind(e.Kind())
		if !ok {
			return Scenario{}, fmt.Errorf("kind %q: not in the list of %s", e.Kind(), g.Site.Name)
		}
		repeats := 1 + int(rng.Float64()*maxRepeats)
		if _, at := e["at"]; at {
			repeats = 1
		}
		for range repeats {
			complete := g.fillEntry(rng, k, e)
			if g.Planned[k.Name] {
				generated.Plan = append(generated.Plan, complete)
			} else {
				generated.Faults = append(generated.Faults, complete)
			}
		}
	}
	byMoment := func(a, b Entry) int { return int(math.Copysign(1, numberValue(a["at"])-numberValue(b["at"]))) }
	slices.SortStableFunc(generated.Plan, byMoment)
	slices.SortStableFunc(generated.Faults, byMoment)
	generated.Closing = request.Closing
	if generated.Closing == nil {
		generated.Closing = g.drawClosing(rng, index)
	}
	return generated, g.Check(generated)
}

// drawVariant draws a variant: one of its own, or of those that the site shows, with further ones at times.
func (g *Generator) drawVariant(rng *random.Source, k Kind) string {
	shown := lo.Map(g.Examples[k.Name], func(e Entry, _ int) string { return strings.Join(e.Variant(), " ") })
	outcome := pick(rng, append(g.ownVariants(k), shown...))
	words := strings.Fields(outcome)
	if f := g.extraVariants(k); len(f) > 0 && rng.Float64() < 0.5 {
		words = append(words, pick(rng, f))
		if a := g.suffixes(k); len(a) > 0 && k.TargetsMachines && rng.Float64() < 0.5 {
			words = append(words, pick(rng, a))
		}
	}
	return strings.Join(lo.Uniq(words), " ")
}

// fillEntry gives an entry the fields that it lacks: a moment, and what its kind's line or the site's entries of the kind name.
func (g *Generator) fillEntry(rng *random.Source, kind Kind, requested Entry) Entry {
	entry := Entry{"at": roundHundredths(g.LengthS * (earliestStart + rng.Float64()*(latestStart-earliestStart)))}
	shown := Entry{}
	if s := g.Examples[kind.Name]; len(s) > 0 {
		shown = pick(rng, s)
	}
	for _, field := range g.Fields {
		roll := rng.Float64()
		v, isShown := shown[field]
		_, hasDefault := kind.Defaults[field]
		if !isShown && kind.TargetsMachines && !g.Planned[kind.Name] && slices.Contains(kind.Words, "share") && roll < classProbability {
			if classes := g.classesShown(); field == "on" && len(classes) > 0 {
				entry[field] = pick(rng, classes)
			}
		}
		if !isShown && !hasDefault && !slices.Contains(kind.Words, field) {
			continue
		}
		switch {
		case g.allowedNames(field) != nil: // left out, the bench picks
			if isShown && roll < 0.7 {
				entry[field] = pick(rng, g.allowedNames(field))
			}
			continue
		case isString(v):
			entry[field] = v
			continue
		}
		if v == nil {
			v = lo.CoalesceOrEmpty(kind.Defaults[field], g.Defaults[field])
		}
		amount := numberValue(v) * (minScale + roll*(maxScale-minScale))
		if amount == 0 { // nothing tells its size
			continue
		}
		if _, integer := v.(int64); integer || field == "count" || numberValue(v) >= 1 && numberValue(v) == math.Trunc(numberValue(v)) && !strings.HasSuffix(field, "_s") {
			if amount = max(1, math.Round(amount)); field == "count" {
				entry[field] = int64(amount)
				continue
			}
		}
		if field == "share" {
			amount = min(1, amount)
		}
		entry[field] = roundHundredths(amount)
	}
	if slices.Contains(kind.Words, "count") && slices.Contains(kind.Words, "share") || entry["count"] != nil && entry["share"] != nil {
		delete(entry, "count") // one of the two
	}
	for field, v := range requested {
		entry[field] = v
	}
	if requested["count"] != nil {
		delete(entry, "share")
	}
	if entry["how"] == "" {
		delete(entry, "how")
	}
	return entry
}

// classesShown are the classes of machines that the site's entries name.
func (g *Generator) classesShown() []string {
	var found []string
	for _, k := range g.Kinds {
		for _, e := range g.Examples[k.Name] {
			if on := stringValue(e["on"]); on != "" {
				found = append(found, on)
			}
		}
	}
	return lo.Uniq(found)
}

// drawClosing goes round the closing faults by seed, none among them, each with its variants.
func (g *Generator) drawClosing(rng *random.Source, index int) Entry {
	i := index % (len(g.Closings) + 1)
	if i == len(g.Closings) {
		return Entry{}
	}
	e := Entry{"kind": g.Closings[i], "down_s": roundHundredths(0.5 + rng.Float64())}
	hows := append([]string{""}, g.ClosingVariants...)
	for _, s := range g.Site.ClosingExamples {
		if s.Kind() == g.Closings[i] {
			hows = append(hows, strings.Join(s.Variant(), " "))
		}
	}
	if outcome := pick(rng, lo.Uniq(hows)); outcome != "" {
		e["how"] = outcome
	}
	return e
}

// allowedNames are those that a field may hold, nil if it holds no name of the site's.
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

// Check says what of a day the bench would turn away or pass over in silence: unknown kinds, fields, variants and names,
// figures out of bounds, an entry in the wrong list.
func (g *Generator) Check(scenario Scenario) error {
	for list, entries := range map[string][]Entry{"plan": scenario.Plan, "faults": scenario.Faults} {
		for i, e := range entries {
			err := g.CheckEntry(e)
			if err == nil && numberValue(e["at"]) >= g.LengthS {
				err = fmt.Errorf("at %v: the day lasts %v s", e["at"], g.LengthS)
			}
			if err == nil && e["at"] == nil {
				err = errors.New("at is wanted")
			}
			if err == nil && g.Planned[e.Kind()] != (list == "plan") {
				err = fmt.Errorf("kind %s stands in the wrong list", e.Kind())
			}
			if err != nil {
				return fmt.Errorf("day %s, %s %d: %w", scenario.Name, list, i+1, err)
			}
		}
	}
	if err := g.checkClosing(scenario.Closing); err != nil {
		return fmt.Errorf("day %s: %w", scenario.Name, err)
	}
	return nil
}

func (g *Generator) checkClosing(e Entry) error {
	if len(e) == 0 {
		return nil
	}
	if !slices.Contains(g.Closings, e.Kind()) {
		return fmt.Errorf("closing kind %q: none of %s", e.Kind(), strings.Join(g.Closings, ", "))
	}
	allowed := append(slices.Clone(g.ClosingVariants), lo.FlatMap(g.Site.ClosingExamples, func(s Entry, _ int) []string { return s.Variant() })...)
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

// CheckEntry checks one entry by itself; at may be missing, as in a wish.
func (g *Generator) CheckEntry(e Entry) error {
	k, ok := g.Kind(e.Kind())
	if !ok {
		return fmt.Errorf("kind %q: not in the list of %s (%s)", e.Kind(), g.Site.Name,
			strings.Join(lo.Map(g.Kinds, func(k Kind, _ int) string { return k.Name }), ", "))
	}
	allowed := append(append(g.ownVariants(k), g.extraVariants(k)...), lo.FlatMap(g.Examples[k.Name], func(e Entry, _ int) []string { return e.Variant() })...)
	if k.TargetsMachines {
		allowed = append(append(allowed, g.Roles...), g.suffixes(k)...)
	}
	for f, v := range e {
		switch {
		case f == "kind":
		case f == "at":
			if numberValue(v) < 0 {
				return fmt.Errorf("%s: at %v is below 0", k.Name, v)
			}
		case f == "how":
			if unknown := lo.Without(e.Variant(), allowed...); len(unknown) > 0 {
				return fmt.Errorf("%s: how %q is none of %s", k.Name, unknown[0], strings.Join(lo.Without(lo.Uniq(allowed), ""), ", "))
			}
		case !slices.Contains(g.Fields, f):
			return fmt.Errorf("%s: field %q is none of at, kind, how, %s", k.Name, f, strings.Join(g.Fields, ", "))
		case g.allowedNames(f) != nil:
			if !slices.Contains(g.allowedNames(f), stringValue(v)) {
				return fmt.Errorf("%s: %s %q is none of %s", k.Name, f, v, strings.Join(g.allowedNames(f), ", "))
			}
		case isString(v): // a class of machines, or the core
		case numberValue(v) <= 0, f == "share" && numberValue(v) > 1, f == "count" && numberValue(v) != math.Trunc(numberValue(v)):
			return fmt.Errorf("%s: %s %v is out of bounds (above 0; a share at most 1, a count whole)", k.Name, f, v)
		}
	}
	return nil
}

// ParseRequests reads wishes, one a line, after which a remark may follow "#": entries joined by " + ", each a kind and its
// fields, "KIND field=value ...", where spaces in a value are written as commas; and "closing=KIND", with how= and down_s=,
// or "closing=none". A line that begins with "? " is passed over where the site lacks one of its kinds. An error names line
// and field.
func (g *Generator) ParseRequests(text string) ([]Request, error) {
	var requests []Request
	for n, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		line, optional := strings.CutPrefix(strings.TrimSpace(line), "? ")
		var request Request
		parts := strings.Split(line, " + ")
		if optional && lo.SomeBy(parts, func(p string) bool {
			kind, _, _ := strings.Cut(strings.TrimSpace(p), " ")
			_, ok := g.Kind(kind)
			return !ok && !strings.HasPrefix(kind, "closing=")
		}) {
			continue
		}
		for _, part := range parts {
			e, err := parseEntry(strings.Fields(part))
			kind, closing := strings.CutPrefix(e.Kind(), "closing=")
			switch {
			case err != nil:
			case closing && request.Closing != nil:
				err = errors.New("closing stands twice")
			case closing && kind == "none":
				request.Closing = Entry{}
			case closing:
				e["kind"] = kind
				request.Closing = e
				if e["down_s"] == nil {
					e["down_s"] = 1.0
				}
				err = g.checkClosing(e)
			default:
				request.Entries = append(request.Entries, e)
				err = g.CheckEntry(e)
			}
			if err != nil {
				return nil, fmt.Errorf("wishes, line %d: %w", n+1, err)
			}
		}
		requests = append(requests, request)
	}
	if len(requests) == 0 {
		return nil, errors.New("wishes: none in the text")
	}
	return requests, nil
}

func parseEntry(words []string) (Entry, error) {
	e := Entry{}
	for i, w := range words {
		f, v, ok := strings.Cut(w, "=")
		switch {
		case i == 0:
			e["kind"] = w
		case !ok || f == "" || v == "":
			return e, fmt.Errorf("%q: field=value is wanted", w)
		case f == "kind" || e[f] != nil:
			return e, fmt.Errorf("field %q stands twice", f)
		case f == "count":
			n, err := strconv.ParseInt(v, 10, 32)
			if err != nil {
				return e, fmt.Errorf("count %q: a whole number is wanted", v)
			}
			e[f] = n
		default:
			if x, err := strconv.ParseFloat(v, 64); err == nil {
				e[f] = x
			} else {
				e[f] = strings.ReplaceAll(v, ",", " ")
			}
		}
	}
	return e, nil
}

// TOML writes the day as a day file.
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

func isString(v any) bool { _, ok := v.(string); return ok }

func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

func pick[T any](c *random.Source, l []T) T { return l[int(c.Float64()*float64(len(l)))] }

func shuffle[T any](c *random.Source, l []T) {
	for i := len(l) - 1; i > 0; i-- {
		j := int(c.Float64() * float64(i+1))
		l[i], l[j] = l[j], l[i]
	}
}
