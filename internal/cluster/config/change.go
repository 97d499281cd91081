package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/settings"
)

// tabularKinds are the kinds that come as columns and rows.
var tabularKinds = []string{KindRoutes, KindServices, KindQuotas}

// validators check the items of each of them.
var validators = map[string]func(settings.Reader){KindRoutes: func(r settings.Reader) { ParseRoute(r) },
	KindServices: func(r settings.Reader) { ParseService(r) }, KindQuotas: func(r settings.Reader) { ParseQuota(r) }}

// ParseChange reads a change: the body of configuration.modify. Every error names the item, the field and the reason.
func ParseChange(raw []byte) ([]Item, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, apierror.Wrap(apierror.Invalid, err, "the change can't be read whole")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, apierror.New(apierror.Invalid, "the change goes on behind its end")
	}
	if _, ok := tree.(settings.Tree); !ok {
		return nil, apierror.New(apierror.Invalid, "the change is no table")
	}
	reader := settings.NewReader(tree)
	var items []Item
	for name := range reader.At("set-items").Map() {
		if name != KindLimits && !slices.Contains(tabularKinds, name) {
			reader.At("set-items." + name).Errorf("no such kind of items")
		}
	}
	for name := range reader.At("drop-names").Map() {
		if !slices.Contains(tabularKinds, name) {
			reader.At("drop-names." + name).Errorf("no such kind of items")
		}
	}
	for _, kind := range tabularKinds {
		items = append(items, parseRows(reader.At("set-items."+kind), kind)...)
		for _, drop := range reader.At("drop-names." + kind).List() {
			items = append(items, Item{Kind: kind, Name: drop.At("name").Text(), Version: parseVersion(drop.At("version")), Deleted: true})
		}
	}
	if limitsReader := reader.At("set-items.limits"); limitsReader.Exists() {
		ParseLimits(limitsReader)
		items = append(items, Item{Kind: KindLimits, Name: KindLimits, Version: parseVersion(limitsReader.At("version")), Body: encodeBody(limitsReader)})
	}
	if err := reader.Err(); err != nil {
		return nil, apierror.Wrap(apierror.Invalid, err, "the change is invalid")
	}
	return newestByKey(items), nil
}

// newestByKey leaves the one of each name that holds: a call may name one twice, to drop it, say.
func newestByKey(all []Item) (newest []Item) {
	positions := make(map[Key]int, len(all))
	for _, i := range all {
		if at, there := positions[i.Key()]; !there {
			positions[i.Key()] = len(newest)
			newest = append(newest, i)
		} else if i.Supersedes(newest[at]) {
			newest[at] = i
		}
	}
	return newest
}

// parseRows reads items that come as columns and rows.
func parseRows(reader settings.Reader, kind string) (items []Item) {
	if !reader.Exists() {
		return nil
	}
	columns := reader.At("table-columns").Strings()
	for _, row := range reader.At("table-rows").List() {
		cells, ok := row.Value().([]any)
		if !ok || len(cells) != len(columns) {
			row.Errorf("%d cells for %d columns", len(cells), len(columns))
			continue
		}
		tree := settings.Tree{}
		for i, column := range columns {
			if cells[i] != nil { // null means left out
				tree[column] = cells[i]
			}
		}
		item := row.WithValue(tree)
		validators[kind](item)
		items = append(items, Item{Kind: kind, Name: item.At("name").Text(), Version: parseVersion(item.At("version")), Body: encodeBody(item)})
	}
	return items
}

// parseVersion reads eight hexadecimal digits.
func parseVersion(r settings.Reader) uint64 {
	text := r.Text()
	v, err := strconv.ParseUint(text, 16, 32)
	if text != "" && (err != nil || len(text) != 8) {
		r.Errorf("%q is not eight hexadecimal digits", text)
	}
	return v
}

// encodeBody is an item's fields, less its version, in the order of their names.
func encodeBody(reader settings.Reader) json.RawMessage {
	tree := settings.Tree{}
	for k, v := range reader.Map() {
		if k != "version" {
			tree[k] = v
		}
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		reader.Errorf("%v", err)
	}
	return raw
}

// CheckChange tells whether a change may be taken where this set stands, and which of its items change anything. A service that
// is named must stand afterwards, and no two routes may have one place. Items that stand already are no error. What yielded
// before is not this change's fault. It looks at what the change touches and what goes together with that, and at no more.
func (s *Set) CheckChange(change []Item) (effective []Item, err error) {
	parsed := map[Key]*parsedItem{}
	newest := map[Key]Item{}
	for _, item := range change {
		key := item.Key()
		if old, ok := s.Lookup(key); ok && !item.Supersedes(old) {
			continue
		}
		if old, ok := newest[key]; !ok || item.Supersedes(old) {
			newest[key], parsed[key] = item, parseItem(item)
		}
		effective = append(effective, item)
	}
	s.refreshIndex()
	after := s.withChange(parsed)
	if inactive := after.inactiveReasons(parsed); len(inactive) > 0 {
		inactiveBefore := s.withChange(nil).inactiveReasons(parsed)
		for _, reason := range inactive {
			if !slices.Contains(inactiveBefore, reason) {
				return nil, apierror.New(apierror.Invalid, "%s", reason)
			}
		}
	}
	// also what is behind must be valid in itself: its routes name services that stand, or are in the change; one that was
	// taken and comes again once its service is dropped is no error
	for _, item := range change {
		if item.Kind != KindRoutes || item.Deleted {
			continue
		}
		old, exists := s.Lookup(item.Key())
		outdated := exists && !item.Supersedes(old)
		for _, backend := range ParseRoute(settings.NewReader(item.Tree())).Backends {
			if _, known := s.Lookup(Key{KindServices, backend.Service}); outdated && known {
				continue
			}
			if !after.serviceExists(backend.Service) {
				return nil, apierror.New(apierror.Invalid, "route %s: service: %s does not stand", item.Name, backend.Service)
			}
		}
	}
	return effective, nil
}

// EncodeChange lays out all items that stand as the first change does.
func (s *Set) EncodeChange() ([]byte, error) {
	set := settings.Tree{}
	for _, kind := range tabularKinds {
		var columns []string
		var trees []settings.Tree
		live := s.Live(kind)
		if kind == KindQuotas && len(live) == 0 { // a part that is off
			continue
		}
		for _, i := range live {
			tree := i.Tree()
			tree["version"] = FormatVersion(i.Version)
			for name := range tree {
				if !slices.Contains(columns, name) {
					columns = append(columns, name)
				}
			}
			trees = append(trees, tree)
		}
		slices.Sort(columns)
		rows := make([][]any, 0, len(trees))
		for _, tree := range trees {
			row := make([]any, len(columns))
			for column, name := range columns {
				row[column] = tree[name]
			}
			rows = append(rows, row)
		}
		if columns == nil {
			columns = []string{"name", "version"}
		}
		set[kind] = settings.Tree{"table-columns": columns, "table-rows": rows}
	}
	if i, ok := s.Lookup(Key{KindLimits, KindLimits}); ok && !i.Deleted {
		tree := i.Tree()
		tree["version"] = FormatVersion(i.Version)
		set[KindLimits] = tree
	}
	return json.Marshal(set)
}

// FormatVersion is a version as it stands in bodies.
func FormatVersion(v uint64) string { return fmt.Sprintf("%08x", v) }
