// Package scenario draws scenarios of faults and planned work for the users' bench, by seed: it parses a deployment's list of kinds
// (Catalog) and its site file (Site), draws entries from them (Generator) and writes a scenario file. It owns no kind, site or number
// itself, and it is pure: text in, text out, and all random draws come from the seed. Begin reading at Generator.Generate.
package scenario

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// Kind is one kind of fault or of planned work, as its line in the list describes it.
type Kind struct {
	Name            string
	Variants        []string           // that its line names
	Words           []string           // of its line, to find the fields that it mentions
	Defaults        map[string]float64 // by field, where the line gives one in brackets
	TargetsMachines bool               // it affects machines, so roles and suffixes fit
	CutsLinks       bool               // it partitions links
}

// Catalog is what a list of kinds contains.
type Catalog struct {
	Kinds           []Kind
	Fields          []string            // that the head of the list names
	Defaults        map[string]float64  // by field, from the head
	ServerVariants  []string            // variants for kinds that affect servers
	Roles           []string            // variants for kinds that affect machines: which one
	Suffixes        []string            // that may follow a role
	SuffixKinds     map[string][]string // by suffix, the kinds that it is restricted to
	LinkVariants    []string            // variants for partitions
	Closings        []string
	ClosingVariants []string // variants of closings
}

// Kind returns the kind of a name.
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

// ParseCatalog parses a list of kinds: a head of sentences, then a line for each kind, its name before a colon. A list without
// kinds, two lines of one name and a list without closing faults are errors.
func ParseCatalog(text string) (Catalog, error) {
	c := Catalog{Defaults: map[string]float64{}, SuffixKinds: map[string][]string{}}
	for n, l := range strings.Split(text, "\n") {
		m := kindLine.FindStringSubmatch(l)
		if m == nil {
			c.parseHeader(l)
			continue
		}
		if _, ok := c.Kind(m[1]); ok {
			return c, fmt.Errorf("kinds, line %d: %s stands twice", n+1, m[1])
		}
		c.Kinds = append(c.Kinds, parseKind(m[1], m[2]))
	}
	if len(c.Kinds) == 0 {
		return c, fmt.Errorf("kinds: no line of %d names a kind (NAME: what it does)", strings.Count(text, "\n")+1)
	}
	if len(c.Closings) == 0 {
		return c, fmt.Errorf("kinds: no line tells of closing faults (closing = { kind = A | B })")
	}
	c.Fields = lo.Uniq(c.Fields)
	// a line needn't repeat what its neighbour says: kinds of one family affect the same targets
	machineFamilies := lo.FilterMap(c.Kinds, func(k Kind, _ int) (string, bool) { return k.family(), k.TargetsMachines })
	for i := range c.Kinds {
		c.Kinds[i].TargetsMachines = slices.Contains(machineFamilies, c.Kinds[i].family())
	}
	return c, nil
}

// family returns the first part of a kind's name.
func (k Kind) family() string {
	first, _, _ := strings.Cut(k.Name, "_")
	return first
}

// parseKind parses a kind's line.
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

// variantsOf finds the variants of a line: what stands after "how:", up to the clause's end and without remarks in brackets, and
// "how NAME:", also with what may stand beside it, "(+ NAME:". Within brackets only what stands before a comma counts.
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

// parseHeader reads a line of the head: fields and their defaults, what 'how' may also hold, closing faults.
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
				// a part may be kept to one kind: ", for KIND, a, b"
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
