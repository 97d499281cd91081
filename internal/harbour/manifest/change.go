package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/papers"
)

// tables are the kinds that come as columns and rows.
var tables = []string{Routes, Services, Shares}

// readers check the items of each of them.
var readers = map[string]func(papers.Reader){Routes: func(r papers.Reader) { ReadRoute(r) },
	Services: func(r papers.Reader) { ReadService(r) }, Shares: func(r papers.Reader) { ReadShare(r) }}

// Read reads a change: the body of configuration.modify. Every error names the item, the field and the reason.
func Read(raw []byte) ([]Item, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, faults.Wrap(faults.Invalid, err, "the change can't be read whole")
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, faults.New(faults.Invalid, "the change goes on behind its end")
	}
	if _, ok := tree.(papers.Tree); !ok {
		return nil, faults.New(faults.Invalid, "the change is no table")
	}
	r := papers.Read(tree)
	var all []Item
	for name := range r.At("set-items").Table() {
		if name != Limits && !slices.Contains(tables, name) {
			r.At("set-items." + name).Fail("no such kind of items")
		}
	}
	for name := range r.At("drop-names").Table() {
		if !slices.Contains(tables, name) {
			r.At("drop-names." + name).Fail("no such kind of items")
		}
	}
	for _, kind := range tables {
		all = append(all, rows(r.At("set-items."+kind), kind)...)
		for _, x := range r.At("drop-names." + kind).List() {
			all = append(all, Item{Kind: kind, Name: x.At("name").Text(), Version: version(x.At("version")), Dropped: true})
		}
	}
	if l := r.At("set-items.limits"); l.There() {
		ReadLimits(l)
		all = append(all, Item{Kind: Limits, Name: Limits, Version: version(l.At("version")), Body: body(l)})
	}
	if err := r.Err(); err != nil {
		return nil, faults.Wrap(faults.Invalid, err, "the change is invalid")
	}
	return newest(all), nil
}

// newest leaves the one of each name that holds: a call may name one twice, to drop it, say.
func newest(all []Item) (out []Item) {
	places := make(map[Key]int, len(all))
	for _, i := range all {
		if at, there := places[i.Key()]; !there {
			places[i.Key()] = len(out)
			out = append(out, i)
		} else if i.Newer(out[at]) {
			out[at] = i
		}
	}
	return out
}

// rows reads items that come as columns and rows.
func rows(r papers.Reader, kind string) (all []Item) {
	if !r.There() {
		return nil
	}
	columns := r.At("table-columns").Texts()
	for _, row := range r.At("table-rows").List() {
		cells, ok := row.Value().([]any)
		if !ok || len(cells) != len(columns) {
			row.Fail("%d cells for %d columns", len(cells), len(columns))
			continue
		}
		t := papers.Tree{}
		for i, c := range columns {
			if cells[i] != nil { // null means left out
				t[c] = cells[i]
			}
		}
		item := row.In(t)
		readers[kind](item)
		all = append(all, Item{Kind: kind, Name: item.At("name").Text(), Version: version(item.At("version")), Body: body(item)})
	}
	return all
}

// version reads eight hexadecimal digits.
func version(r papers.Reader) uint64 {
	text := r.Text()
	v, err := strconv.ParseUint(text, 16, 32)
	if text != "" && (err != nil || len(text) != 8) {
		r.Fail("%q is not eight hexadecimal digits", text)
	}
	return v
}

// body is an item's fields, less its version, in the order of their names.
func body(r papers.Reader) json.RawMessage {
	t := papers.Tree{}
	for k, v := range r.Table() {
		if k != "version" {
			t[k] = v
		}
	}
	raw, err := json.Marshal(t)
	if err != nil {
		r.Fail("%v", err)
	}
	return raw
}

// Check tells whether a change may be taken where this set stands, and which of its items change anything. A service that
// is named must stand afterwards, and no two routes may have one place. Items that stand already are no error. What yielded
// before is not this change's fault. It looks at what the change touches and what goes together with that, and at no more.
func (s *Set) Check(change []Item) (news []Item, err error) {
	next := map[Key]*reading{}
	newest := map[Key]Item{}
	for _, i := range change {
		k := i.Key()
		if old, ok := s.Get(k); ok && !i.Newer(old) {
			continue
		}
		if old, ok := newest[k]; !ok || i.Newer(old) {
			newest[k], next[k] = i, read(i)
		}
		news = append(news, i)
	}
	s.refresh()
	after := s.with(next)
	if yields := after.yields(next); len(yields) > 0 {
		was := s.with(nil).yields(next)
		for _, y := range yields {
			if !slices.Contains(was, y) {
				return nil, faults.New(faults.Invalid, "%s", y)
			}
		}
	}
	// also what is behind must be valid in itself: its routes name services that stand, or are in the change; one that was
	// taken and comes again once its service is dropped is no error
	for _, i := range change {
		if i.Kind != Routes || i.Dropped {
			continue
		}
		old, there := s.Get(i.Key())
		behind := there && !i.Newer(old)
		for _, w := range ReadRoute(papers.Read(i.Tree())).Split {
			if _, known := s.Get(Key{Services, w.Service}); behind && known {
				continue
			}
			if !after.stands(w.Service) {
				return nil, faults.New(faults.Invalid, "route %s: service: %s does not stand", i.Name, w.Service)
			}
		}
	}
	return news, nil
}

// Write lays out all items that stand as the first change does.
func (s *Set) Write() ([]byte, error) {
	set := papers.Tree{}
	for _, kind := range tables {
		var columns []string
		var trees []papers.Tree
		standing := s.Standing(kind)
		if kind == Shares && len(standing) == 0 { // a part that is off
			continue
		}
		for _, i := range standing {
			t := i.Tree()
			t["version"] = Digits(i.Version)
			for name := range t {
				if !slices.Contains(columns, name) {
					columns = append(columns, name)
				}
			}
			trees = append(trees, t)
		}
		slices.Sort(columns)
		all := make([][]any, 0, len(trees))
		for _, t := range trees {
			row := make([]any, len(columns))
			for c, name := range columns {
				row[c] = t[name]
			}
			all = append(all, row)
		}
		if columns == nil {
			columns = []string{"name", "version"}
		}
		set[kind] = papers.Tree{"table-columns": columns, "table-rows": all}
	}
	if i, ok := s.Get(Key{Limits, Limits}); ok && !i.Dropped {
		t := i.Tree()
		t["version"] = Digits(i.Version)
		set[Limits] = t
	}
	return json.Marshal(set)
}

// Digits is a version as it stands in bodies.
func Digits(v uint64) string { return fmt.Sprintf("%08x", v) }
