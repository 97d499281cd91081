package scenario

import (
	"math"
	"slices"
	"strings"

	"github.com/samber/lo"

	"portflow/internal/random"
)

// fillEntry returns a new entry with the requested fields and drawn values for the others: the start and the fields that the kind's line
// or one of the site's entries of the kind mentions.
func (g *Generator) fillEntry(rng *random.Source, kind Kind, requested Entry) Entry {
	start := g.LengthS * (earliestStart + rng.Float64()*(latestStart-earliestStart))
	entry := Entry{"at": roundHundredths(start)}
	example := Entry{}
	if examples := g.Examples[kind.Name]; len(examples) > 0 {
		example = pick(rng, examples)
	}
	for _, field := range g.Fields {
		g.drawField(rng, entry, kind, field, example)
	}
	if mayHaveCountAndShare(kind, entry) {
		delete(entry, "count")
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

// mayHaveCountAndShare reports whether both count and share apply to an entry, which may have only one of them.
func mayHaveCountAndShare(kind Kind, entry Entry) bool {
	return slices.Contains(kind.Words, "count") && slices.Contains(kind.Words, "share") || entry["count"] != nil && entry["share"] != nil
}

// drawField draws the value of a field and sets it in the entry if the field applies to the kind. example is one of the site's entries
// of the kind, empty if there is none.
func (g *Generator) drawField(rng *random.Source, entry Entry, kind Kind, field string, example Entry) {
	roll := rng.Float64()
	v, inExample := example[field]
	if !inExample && field == "on" && g.mayNameClass(kind) && roll < classProbability {
		if classes := g.exampleClasses(); len(classes) > 0 {
			entry[field] = pick(rng, classes)
		}
	}
	_, hasDefault := kind.Defaults[field]
	if !inExample && !hasDefault && !slices.Contains(kind.Words, field) {
		return
	}
	if names := g.allowedNames(field); names != nil { // if the name is left out, the benchmark picks one
		if inExample && roll < nameProbability {
			entry[field] = pick(rng, names)
		}
		return
	}
	if isString(v) {
		entry[field] = v
		return
	}
	if v == nil {
		v = lo.CoalesceOrEmpty(kind.Defaults[field], g.Defaults[field])
	}
	if amount := scaleAmount(field, v, roll); amount != nil {
		entry[field] = amount
	}
}

// mayNameClass reports whether entries of a kind may be restricted to a class of machines (on).
func (g *Generator) mayNameClass(kind Kind) bool {
	return kind.TargetsMachines && !g.Planned[kind.Name] && slices.Contains(kind.Words, "share")
}

// scaleAmount scales a field's typical value by a factor between minScale and maxScale, selected by roll in [0, 1). It returns nil if
// the typical value is 0, which means that it is unknown.
func scaleAmount(field string, typicalValue any, roll float64) any {
	typical := numberValue(typicalValue)
	amount := typical * (minScale + roll*(maxScale-minScale))
	if amount == 0 {
		return nil
	}
	_, isInteger := typicalValue.(int64)
	looksIntegral := typical >= 1 && typical == math.Trunc(typical) && !strings.HasSuffix(field, "_s")
	if isInteger || field == "count" || looksIntegral {
		amount = max(1, math.Round(amount))
	}
	switch field {
	case "count":
		return int64(amount)
	case "share":
		amount = min(1, amount)
	}
	return roundHundredths(amount)
}

// exampleClasses returns the classes of machines (on) that the site's entries use, without duplicates.
func (g *Generator) exampleClasses() []string {
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

// drawVariant draws a variant for a kind from its own variants and those of the site's entries. With extraProbability it adds an extra
// variant, which may be followed by a suffix.
func (g *Generator) drawVariant(rng *random.Source, k Kind) string {
	exampleVariants := lo.Map(g.Examples[k.Name], func(e Entry, _ int) string { return strings.Join(e.Variant(), " ") })
	words := strings.Fields(pick(rng, append(g.ownVariants(k), exampleVariants...)))
	if extra := g.extraVariants(k); len(extra) > 0 && rng.Float64() < extraProbability {
		words = append(words, pick(rng, extra))
		if suffixes := g.suffixes(k); len(suffixes) > 0 && k.TargetsMachines && rng.Float64() < extraProbability {
			words = append(words, pick(rng, suffixes))
		}
	}
	return strings.Join(lo.Uniq(words), " ")
}
