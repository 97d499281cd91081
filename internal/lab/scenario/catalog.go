// Package scenario generates scenarios of faults and planned work for an external benchmark program and parses its results. It parses
// the benchmark's list of kinds (Catalog) and a site file (Site), draws entries from them (Generator) and formats a scenario file. It
// defines no kinds or sites of its own. It reads and writes no files, and all randomness derives from the seed. The entry point is
// Generator.Generate.
package scenario

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// Kind is a kind of fault or planned work, as described by its line in the list of kinds.
type Kind struct {
	Name            string
	Variants        []string           // values of how that the line names
	Words           []string           // words of the line, which include the fields that it mentions
	Defaults        map[string]float64 // by field, from the values that the line gives in parentheses
	TargetsMachines bool               // the kind affects machines, so its variants may use roles and suffixes
	CutsLinks       bool               // the kind partitions the network
}

// Catalog is a parsed list of kinds.
type Catalog struct {
	Kinds           []Kind
	Fields          []string            // fields that the header of the list names
	Defaults        map[string]float64  // by field, from the header
	ServerVariants  []string            // extra variants for kinds that affect servers
	Roles           []string            // extra variants for kinds that affect machines; a role selects the machine
	Suffixes        []string            // words that may follow a role, sorted
	SuffixKinds     map[string][]string // by suffix, the kinds that it is restricted to; suffixes without an entry fit all kinds
	LinkVariants    []string            // extra variants for kinds that partition the network
	Closings        []string            // kinds of closing faults
	ClosingVariants []string            // variants of closing faults
}

// Kind returns the kind with the given name, and false if the list has none.
func (c Catalog) Kind(name string) (Kind, bool) {
	return lo.Find(c.Kinds, func(k Kind) bool { return k.Name == name })
}

var (
	kindLine       = regexp.MustCompile(`^([a-z][a-z_]*): (.*)$`)
	parenthesized  = regexp.MustCompile(`\([^()]*\)`)
	identifier     = regexp.MustCompile(`^[a-z][a-z_]*$`)
	numericDefault = regexp.MustCompile(`\b([a-z_]+):? \((\.?[0-9][0-9.]*)\)`)
	rangedDefault  = regexp.MustCompile(`\b([a-z_]+): [^.;:()]*\((\.?[0-9][0-9.]*)\)`)
	headerFields   = regexp.MustCompile(`(?:^|[.;] )((?:[a-z_]+, )*[a-z_]+): `)
	namedVariant   = regexp.MustCompile(`(?:how|[(;] ?\+) ([a-z_]+): `)
	machineWord    = regexp.MustCompile(`\b(machines?|disks?|SIG[A-Z]+)\b`)
)

// ParseCatalog parses a list of kinds: a header in prose, followed by one line per kind of the form "NAME: DESCRIPTION". It returns an
// error if the list has no kinds, a duplicate kind or no closing faults.
func ParseCatalog(text string) (Catalog, error) {
	c := Catalog{Defaults: map[string]float64{}, SuffixKinds: map[string][]string{}}
	for n, l := range strings.Split(text, "\n") {
		m := kindLine.FindStringSubmatch(l)
		if m == nil {
			c.parseHeader(l)
			continue
		}
		if _, ok := c.Kind(m[1]); ok {
			return c, fmt.Errorf("kinds, line %d: duplicate kind %s", n+1, m[1])
		}
		c.Kinds = append(c.Kinds, parseKind(m[1], m[2]))
	}
	if len(c.Kinds) == 0 {
		return c, fmt.Errorf("kinds: none of the lines (%d) defines a kind (expected NAME: DESCRIPTION)", strings.Count(text, "\n")+1)
	}
	if len(c.Closings) == 0 {
		return c, fmt.Errorf("kinds: no line lists the closing faults (expected closing = { kind = A | B })")
	}
	c.Fields = lo.Uniq(c.Fields)
	// Kinds of one family affect the same targets, but not every line of a family mentions machines.
	machineFamilies := lo.FilterMap(c.Kinds, func(k Kind, _ int) (string, bool) { return k.family(), k.TargetsMachines })
	for i := range c.Kinds {
		c.Kinds[i].TargetsMachines = slices.Contains(machineFamilies, c.Kinds[i].family())
	}
	return c, nil
}

// family returns the kind's name up to the first underscore.
func (k Kind) family() string {
	first, _, _ := strings.Cut(k.Name, "_")
	return first
}

func parseKind(name, text string) Kind {
	k := Kind{
		Name:            name,
		Defaults:        map[string]float64{},
		TargetsMachines: machineWord.MatchString(text),
		CutsLinks:       strings.Contains(text, "cut off"),
	}
	for _, m := range numericDefault.FindAllStringSubmatch(text, -1) {
		if v, err := strconv.ParseFloat(m[2], 64); err == nil {
			if _, ok := k.Defaults[m[1]]; !ok {
				k.Defaults[m[1]] = v
			}
		}
	}
	k.Words = strings.FieldsFunc(text, func(r rune) bool { return (r < 'a' || r > 'z') && r != '_' })
	k.Variants = variantsOf(text)
	return k
}

// variantsOf returns the variants that a line names. These are the words after "how:" up to the end of the clause, without remarks in
// parentheses, and each NAME in "how NAME:" or "(+ NAME:". If "how:" itself is in parentheses, the clause ends at the first comma.
func variantsOf(text string) []string {
	var found []string
	for _, m := range namedVariant.FindAllStringSubmatch(text, -1) {
		found = append(found, m[1])
	}
	for i := 0; ; {
		at := strings.Index(text[i:], "how: ")
		if at < 0 {
			return lo.Uniq(found)
		}
		i += at + len("how: ")
		clause := text[i:]
		if strings.Count(text[:i], "(") > strings.Count(text[:i], ")") {
			clause = clause[:strings.IndexAny(clause+")", "),;")]
		} else {
			for parenthesized.MatchString(clause) {
				clause = parenthesized.ReplaceAllString(clause, "")
			}
			clause = clause[:strings.IndexAny(clause+";", ";)")]
		}
		for _, w := range strings.FieldsFunc(clause, func(r rune) bool { return r == ' ' || r == ',' || r == '+' }) {
			if identifier.MatchString(w) {
				found = append(found, w)
			}
		}
	}
}

// parseHeader adds a line of the header to the catalog: fields and their defaults, extra variants and closing faults.
func (c *Catalog) parseHeader(l string) {
	for _, m := range rangedDefault.FindAllStringSubmatch(l, -1) {
		if v, err := strconv.ParseFloat(m[2], 64); err == nil {
			c.Defaults[m[1]] = v
		}
	}
	if kinds, ok := strings.CutPrefix(l, "closing = { kind = "); ok {
		kinds = kinds[:strings.IndexAny(kinds+"}", ",}")]
		for _, w := range strings.Split(kinds, "|") {
			if w = strings.TrimSpace(w); identifier.MatchString(w) {
				c.Closings = append(c.Closings, w)
			}
		}
		c.ClosingVariants = variantsOf(l)
		return
	}
	for _, m := range headerFields.FindAllStringSubmatch(l, -1) {
		c.Fields = append(c.Fields, strings.Split(m[1], ", ")...)
	}
	bare := l
	for parenthesized.MatchString(bare) {
		bare = parenthesized.ReplaceAllString(bare, "")
	}
	for _, s := range strings.Split(bare, ".") {
		s = strings.TrimSpace(s)
		if _, rest, ok := strings.Cut(s, "For servers, 'how' may also hold "); ok {
			c.ServerVariants = append(c.ServerVariants, splitList(rest)...)
		} else if _, rest, ok := strings.Cut(s, "For machines, 'how' may also hold "); ok {
			c.Roles = append(c.Roles, splitList(rest)...)
		} else if _, rest, ok := strings.Cut(s, "After these may stand "); ok {
			for _, part := range strings.Split(rest, " and") {
				// "for KIND, a, b" restricts the suffixes a and b to one kind.
				of, only := strings.CutPrefix(strings.Trim(part, " ,"), "for ")
				kind, rest, _ := strings.Cut(of, ",")
				for _, w := range splitList(lo.Ternary(only, rest, of)) {
					c.Suffixes = append(c.Suffixes, w)
					if only {
						c.SuffixKinds[w] = append(c.SuffixKinds[w], kind)
					}
				}
			}
		} else if _, rest, ok := strings.Cut(s, "Cuts are silent unless 'how' holds "); ok {
			c.LinkVariants = append(c.LinkVariants, splitList(rest)...)
		}
	}
	slices.Sort(c.Suffixes)
}

func splitList(s string) []string {
	return lo.Filter(strings.FieldsFunc(s, func(r rune) bool { return r == ' ' || r == ',' }),
		func(w string, _ int) bool { return w != "or" && w != "and" && identifier.MatchString(w) })
}
