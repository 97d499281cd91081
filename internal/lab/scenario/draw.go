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

// Day is a day of our own.
type Day struct {
	Name    string
	Seed    uint64
	Base    map[string]any // what a day of the site had, without its troubles and marks
	Plan    []Entry
	Faults  []Entry
	Closing Entry // nil: none
}

// Wish is what a drawn day is to hold at least: entries whose given fields stay as they are, the others being drawn.
type Wish struct {
	Entries []Entry
	Closing Entry // nil: drawn; an empty one: none
}

// Drawer draws days of one site.
type Drawer struct {
	Catalogue
	Site
	single []Wish
}

// Of a drawn day: moments lie within this part of its length, so that what the last entry does is seen before a closing
// fault; an entry comes this often at most; a drawn figure lies between these parts of the one that the site shows.
const (
	firstMoment = 0.03
	lastMoment  = 0.85
	mostOften   = 3
	onOften     = 0.3
	least, most = 0.6, 1.6
)

// NewDrawer makes one. A kind that the list names and that cannot be placed is an error, for a piece of planned work that is
// taken for a trouble would ease the rules.
func NewDrawer(c Catalogue, s Site) (*Drawer, error) {
	for _, k := range c.Kinds {
		if _, ok := s.Planned[k.Name]; !ok {
			return nil, fmt.Errorf("kind %s: no day of %s, nor of the sites learnt from, shows whether it is planned; learn from one more", k.Name, s.Name)
		}
	}
	d := &Drawer{Catalogue: c, Site: s}
	// fields that the head doesn't explain are known from the site's entries
	for _, k := range lo.Keys(s.Shown) {
		for _, e := range s.Shown[k] {
			d.Fields = append(d.Fields, lo.Without(lo.Keys(e), "at", "kind", "how")...)
		}
	}
	d.Fields = lo.Uniq(d.Fields)
	slices.Sort(d.Fields)
	for _, k := range c.Kinds {
		for _, how := range d.Hows(k) {
			d.single = append(d.single, Wish{Entries: []Entry{{"kind": k.Name, "how": how}}})
		}
	}
	// neighbours in the list aren't neighbours among the seeds
	shuffle(&random.Source{Seed: uint64(len(d.single))}, d.single)
	return d, nil
}

// Singles is the number of days after which each kind has come alone, with each of its variants.
func (d *Drawer) Singles() int { return len(d.single) }

// ownHows are the variants that fit a kind: of its line, of the deployment's spoilt configurations where its line shares
// such, and none.
func (d *Drawer) ownHows(k Kind) []string {
	own := append([]string{""}, k.Hows...)
	if len(lo.Intersect(k.Hows, d.Invalid)) > 0 {
		own = append(own, d.Invalid...)
	}
	return lo.Uniq(own)
}

func (d *Drawer) after(k Kind) []string {
	return lo.Filter(d.After, func(w string, _ int) bool { return d.Only[w] == nil || slices.Contains(d.Only[w], k.Name) })
}

// further are the variants that the head of the list allows a kind beside its own.
func (d *Drawer) further(k Kind) []string {
	switch {
	case k.Machines && !d.Planned[k.Name]:
		f := append(slices.Clone(d.Roles), d.after(k)...)
		return append(f, lo.Ternary(k.Cuts, d.Cuts, nil)...)
	case k.Machines: // planned work goes over all machines, one by one
		return d.after(k)
	case !d.Planned[k.Name] && slices.Contains(k.Words, "servers"):
		return d.Servers
	}
	return nil
}

// Hows are the variants that a kind comes with alone: each of its own, each that the site shows, each further one.
func (d *Drawer) Hows(k Kind) []string {
	v := append(d.ownHows(k), lo.Map(d.Shown[k.Name], func(e Entry, _ int) string { return strings.Join(e.How(), " ") })...)
	for _, w := range d.further(k) {
		if slices.Contains(d.after(k), w) && !d.Planned[k.Name] && len(d.Roles) > 0 {
			w = d.Roles[0] + " " + w
		}
		v = append(v, w)
	}
	return lo.Uniq(v)
}

// Draw draws the day of a seed (from 1): the first Singles() seeds each play one kind with one variant, those after them
// pairs and triples with drawn variants. mix, if above 0, is the number of kinds a day instead. Wishes, if any, are taken
// in turn in place of the first kinds.
func (d *Drawer) Draw(seed uint64, mix int, wishes []Wish) (Day, error) {
	if seed == 0 {
		return Day{}, errors.New("seeds count from 1")
	}
	c := &random.Source{Seed: seed}
	turn := int(seed - 1)
	wished := d.single
	if len(wishes) > 0 {
		wished = wishes
		if mix == 0 {
			mix = 1
		}
	}
	var w Wish
	switch {
	case len(wishes) > 0 || turn < len(wished):
		w = wished[turn%len(wished)]
		if mix == 0 {
			mix = 1
		}
	case mix == 0:
		mix = 2 + turn%2
	}
	entries := slices.Clone(w.Entries)
	kinds := max(1, len(lo.UniqBy(entries, Entry.Kind)))
	for ; len(entries) == 0 || kinds < mix; kinds++ {
		k := pick(c, d.Kinds)
		entries = append(entries, Entry{"kind": k.Name, "how": d.drawHow(c, k)})
	}
	day := Day{Seed: seed, Name: fmt.Sprintf("own-%d-%s", seed, strings.Join(lo.Uniq(lo.Map(entries, func(e Entry, _ int) string { return e.Kind() })), "-")),
		Base: d.base(int(c.Next() * float64(len(d.Days))))}
	for _, e := range entries {
		k, ok := d.Kind(e.Kind())
		if !ok {
			return Day{}, fmt.Errorf("kind %q: not in the list of %s", e.Kind(), d.Site.Name)
		}
		times := 1 + int(c.Next()*mostOften)
		if _, at := e["at"]; at {
			times = 1
		}
		for range times {
			full := d.fill(c, k, e)
			if d.Planned[k.Name] {
				day.Plan = append(day.Plan, full)
			} else {
				day.Faults = append(day.Faults, full)
			}
		}
	}
	byMoment := func(a, b Entry) int { return int(math.Copysign(1, number(a["at"])-number(b["at"]))) }
	slices.SortStableFunc(day.Plan, byMoment)
	slices.SortStableFunc(day.Faults, byMoment)
	day.Closing = w.Closing
	if day.Closing == nil {
		day.Closing = d.drawClosing(c, turn)
	}
	return day, d.Check(day)
}

// drawHow draws a variant: one of its own, or of those that the site shows, with further ones at times.
func (d *Drawer) drawHow(c *random.Source, k Kind) string {
	shown := lo.Map(d.Shown[k.Name], func(e Entry, _ int) string { return strings.Join(e.How(), " ") })
	how := pick(c, append(d.ownHows(k), shown...))
	words := strings.Fields(how)
	if f := d.further(k); len(f) > 0 && c.Next() < 0.5 {
		words = append(words, pick(c, f))
		if a := d.after(k); len(a) > 0 && k.Machines && c.Next() < 0.5 {
			words = append(words, pick(c, a))
		}
	}
	return strings.Join(lo.Uniq(words), " ")
}

// fill gives an entry the fields that it lacks: a moment, and what its kind's line or the site's entries of the kind name.
func (d *Drawer) fill(c *random.Source, k Kind, e Entry) Entry {
	full := Entry{"at": round(d.LengthS * (firstMoment + c.Next()*(lastMoment-firstMoment)))}
	shown := Entry{}
	if s := d.Shown[k.Name]; len(s) > 0 {
		shown = pick(c, s)
	}
	for _, f := range d.Fields {
		drawn := c.Next()
		v, isShown := shown[f]
		_, hasDefault := k.Defaults[f]
		if !isShown && k.Machines && !d.Planned[k.Name] && slices.Contains(k.Words, "share") && drawn < onOften {
			if classes := d.classesShown(); f == "on" && len(classes) > 0 {
				full[f] = pick(c, classes)
			}
		}
		if !isShown && !hasDefault && !slices.Contains(k.Words, f) {
			continue
		}
		switch {
		case d.names(f) != nil: // left out, the bench picks
			if isShown && drawn < 0.7 {
				full[f] = pick(c, d.names(f))
			}
			continue
		case isString(v):
			full[f] = v
			continue
		}
		if v == nil {
			v = lo.CoalesceOrEmpty(k.Defaults[f], d.Defaults[f])
		}
		figure := number(v) * (least + drawn*(most-least))
		if figure == 0 { // nothing tells its size
			continue
		}
		if _, whole := v.(int64); whole || f == "count" || number(v) >= 1 && number(v) == math.Trunc(number(v)) && !strings.HasSuffix(f, "_s") {
			if figure = max(1, math.Round(figure)); f == "count" {
				full[f] = int64(figure)
				continue
			}
		}
		if f == "share" {
			figure = min(1, figure)
		}
		full[f] = round(figure)
	}
	if slices.Contains(k.Words, "count") && slices.Contains(k.Words, "share") || full["count"] != nil && full["share"] != nil {
		delete(full, "count") // one of the two
	}
	for f, v := range e {
		full[f] = v
	}
	if e["count"] != nil {
		delete(full, "share")
	}
	if full["how"] == "" {
		delete(full, "how")
	}
	return full
}

// classesShown are the classes of machines that the site's entries name.
func (d *Drawer) classesShown() []string {
	var found []string
	for _, k := range d.Kinds {
		for _, e := range d.Shown[k.Name] {
			if on := str(e["on"]); on != "" {
				found = append(found, on)
			}
		}
	}
	return lo.Uniq(found)
}

// drawClosing goes round the closing faults by seed, none among them, each with its variants.
func (d *Drawer) drawClosing(c *random.Source, turn int) Entry {
	i := turn % (len(d.Closings) + 1)
	if i == len(d.Closings) {
		return Entry{}
	}
	e := Entry{"kind": d.Closings[i], "down_s": round(0.5 + c.Next())}
	hows := append([]string{""}, d.ClosingHows...)
	for _, s := range d.Site.Endings {
		if s.Kind() == d.Closings[i] {
			hows = append(hows, strings.Join(s.How(), " "))
		}
	}
	if how := pick(c, lo.Uniq(hows)); how != "" {
		e["how"] = how
	}
	return e
}

// names are those that a field may hold, nil if it holds no name of the site's.
func (d *Drawer) names(field string) []string {
	switch field {
	case "zone", "to_zone":
		return d.Zones
	case "region":
		return d.Regions
	case "service":
		return d.Services
	case "class":
		return d.Classes
	}
	return nil
}

// Check says what of a day the bench would turn away or pass over in silence: unknown kinds, fields, variants and names,
// figures out of bounds, an entry in the wrong list.
func (d *Drawer) Check(day Day) error {
	for list, entries := range map[string][]Entry{"plan": day.Plan, "faults": day.Faults} {
		for i, e := range entries {
			err := d.CheckEntry(e)
			if err == nil && number(e["at"]) >= d.LengthS {
				err = fmt.Errorf("at %v: the day lasts %v s", e["at"], d.LengthS)
			}
			if err == nil && e["at"] == nil {
				err = errors.New("at is wanted")
			}
			if err == nil && d.Planned[e.Kind()] != (list == "plan") {
				err = fmt.Errorf("kind %s stands in the wrong list", e.Kind())
			}
			if err != nil {
				return fmt.Errorf("day %s, %s %d: %w", day.Name, list, i+1, err)
			}
		}
	}
	if err := d.checkClosing(day.Closing); err != nil {
		return fmt.Errorf("day %s: %w", day.Name, err)
	}
	return nil
}

func (d *Drawer) checkClosing(e Entry) error {
	if len(e) == 0 {
		return nil
	}
	if !slices.Contains(d.Closings, e.Kind()) {
		return fmt.Errorf("closing kind %q: none of %s", e.Kind(), strings.Join(d.Closings, ", "))
	}
	allowed := append(slices.Clone(d.ClosingHows), lo.FlatMap(d.Site.Endings, func(s Entry, _ int) []string { return s.How() })...)
	for f, v := range e {
		switch f {
		case "kind":
		case "down_s":
			if number(v) <= 0 {
				return fmt.Errorf("closing down_s %v: above 0 is wanted", v)
			}
		case "how":
			if odd := lo.Without(e.How(), allowed...); len(odd) > 0 {
				return fmt.Errorf("closing how %q: none of %s", odd[0], strings.Join(lo.Uniq(allowed), ", "))
			}
		default:
			return fmt.Errorf("closing field %q: kind, down_s, how", f)
		}
	}
	return nil
}

// CheckEntry checks one entry by itself; at may be missing, as in a wish.
func (d *Drawer) CheckEntry(e Entry) error {
	k, ok := d.Kind(e.Kind())
	if !ok {
		return fmt.Errorf("kind %q: not in the list of %s (%s)", e.Kind(), d.Site.Name,
			strings.Join(lo.Map(d.Kinds, func(k Kind, _ int) string { return k.Name }), ", "))
	}
	allowed := append(append(d.ownHows(k), d.further(k)...), lo.FlatMap(d.Shown[k.Name], func(e Entry, _ int) []string { return e.How() })...)
	if k.Machines {
		allowed = append(append(allowed, d.Roles...), d.after(k)...)
	}
	for f, v := range e {
		switch {
		case f == "kind":
		case f == "at":
			if number(v) < 0 {
				return fmt.Errorf("%s: at %v is below 0", k.Name, v)
			}
		case f == "how":
			if odd := lo.Without(e.How(), allowed...); len(odd) > 0 {
				return fmt.Errorf("%s: how %q is none of %s", k.Name, odd[0], strings.Join(lo.Without(lo.Uniq(allowed), ""), ", "))
			}
		case !slices.Contains(d.Fields, f):
			return fmt.Errorf("%s: field %q is none of at, kind, how, %s", k.Name, f, strings.Join(d.Fields, ", "))
		case d.names(f) != nil:
			if !slices.Contains(d.names(f), str(v)) {
				return fmt.Errorf("%s: %s %q is none of %s", k.Name, f, v, strings.Join(d.names(f), ", "))
			}
		case isString(v): // a class of machines, or the core
		case number(v) <= 0, f == "share" && number(v) > 1, f == "count" && number(v) != math.Trunc(number(v)):
			return fmt.Errorf("%s: %s %v is out of bounds (above 0; a share at most 1, a count whole)", k.Name, f, v)
		}
	}
	return nil
}

// ReadWishes reads wishes, one a line, after which a remark may follow "#": entries joined by " + ", each a kind and its
// fields, "KIND field=value ...", where spaces in a value are written as commas; and "closing=KIND", with how= and down_s=,
// or "closing=none". A line that begins with "? " is passed over where the site lacks one of its kinds. An error names line
// and field.
func (d *Drawer) ReadWishes(text string) ([]Wish, error) {
	var wishes []Wish
	for n, l := range strings.Split(text, "\n") {
		l, _, _ = strings.Cut(l, "#")
		if strings.TrimSpace(l) == "" {
			continue
		}
		l, maybe := strings.CutPrefix(strings.TrimSpace(l), "? ")
		var w Wish
		parts := strings.Split(l, " + ")
		if maybe && lo.SomeBy(parts, func(p string) bool {
			kind, _, _ := strings.Cut(strings.TrimSpace(p), " ")
			_, ok := d.Kind(kind)
			return !ok && !strings.HasPrefix(kind, "closing=")
		}) {
			continue
		}
		for _, part := range parts {
			e, err := readEntry(strings.Fields(part))
			kind, closing := strings.CutPrefix(e.Kind(), "closing=")
			switch {
			case err != nil:
			case closing && w.Closing != nil:
				err = errors.New("closing stands twice")
			case closing && kind == "none":
				w.Closing = Entry{}
			case closing:
				e["kind"] = kind
				w.Closing = e
				if e["down_s"] == nil {
					e["down_s"] = 1.0
				}
				err = d.checkClosing(e)
			default:
				w.Entries = append(w.Entries, e)
				err = d.CheckEntry(e)
			}
			if err != nil {
				return nil, fmt.Errorf("wishes, line %d: %w", n+1, err)
			}
		}
		wishes = append(wishes, w)
	}
	if len(wishes) == 0 {
		return nil, errors.New("wishes: none in the text")
	}
	return wishes, nil
}

func readEntry(words []string) (Entry, error) {
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
func (d Day) TOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\n", d.Name, d.Seed)
	if len(d.Closing) > 0 {
		fmt.Fprintf(&b, "closing = %s\n", inline(d.Closing))
	}
	for _, l := range []struct {
		name    string
		entries []Entry
	}{{"plan", d.Plan}, {"faults", d.Faults}} {
		fmt.Fprintf(&b, "%s = [\n", l.name)
		for _, e := range l.entries {
			fmt.Fprintf(&b, "  %s,\n", inline(e))
		}
		b.WriteString("]\n")
	}
	keys := lo.Keys(d.Base)
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, "%s = %s\n", k, inline(d.Base[k]))
	}
	return b.String()
}

func isString(v any) bool { _, ok := v.(string); return ok }

func round(x float64) float64 { return math.Round(x*100) / 100 }

func pick[T any](c *random.Source, l []T) T { return l[int(c.Next()*float64(len(l)))] }

func shuffle[T any](c *random.Source, l []T) {
	for i := len(l) - 1; i > 0; i-- {
		j := int(c.Next() * float64(i+1))
		l[i], l[j] = l[j], l[i]
	}
}
