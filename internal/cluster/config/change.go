package config

import (
	"encoding/json"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/settings"
)

// CheckChange checks a change against the set, and returns the items of it that have an effect. Items that the set already has, or
// has newer ones of, are no error. A change is refused, by an error of kind apierror.Invalid, if it makes any item inactive that
// wasn't before: a route or quota whose service is gone, or a second route for one host and prefix. It costs as much as the change
// and the items that go together with it, not as the set.
func (s *Set) CheckChange(change []Item) (effective []Item, err error) {
	parsed := map[Key]*parsedItem{}
	newest := map[Key]Item{}
	for _, item := range change {
		key := item.Key()
		if old, exists := s.Lookup(key); exists && !item.Supersedes(old) {
			continue
		}
		if old, exists := newest[key]; !exists || item.Supersedes(old) {
			newest[key] = item
			parsed[key] = parseItem(item)
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
	if err := s.checkServices(change, after); err != nil {
		return nil, err
	}
	return effective, nil
}

// checkServices checks that the services of each route exist after the change, also of a route that has no effect as the set has a
// newer one. Such a route may name a service that was deleted since: then it was valid once, and is sent again.
func (s *Set) checkServices(change []Item, after overlay) error {
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
				return apierror.New(apierror.Invalid, "route %s: service: %s does not stand", item.Name, backend.Service)
			}
		}
	}
	return nil
}

// EncodeChange returns the items of the set as the body of a change that sets them all.
func (s *Set) EncodeChange() ([]byte, error) {
	set := settings.Tree{}
	for _, kind := range tabularKinds {
		live := s.Live(kind)
		if kind == KindQuotas && len(live) == 0 { // quotas are not in use
			continue
		}
		set[kind] = encodeTable(live)
	}
	if i, exists := s.Lookup(Key{KindLimits, KindLimits}); exists && !i.Deleted {
		set[KindLimits] = treeWithVersion(i)
	}
	return json.Marshal(set)
}

// encodeTable returns items as columns, sorted, and rows; a field that an item doesn't have is null.
func encodeTable(items []Item) settings.Tree {
	var columns []string
	var trees []settings.Tree
	for _, i := range items {
		tree := treeWithVersion(i)
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
	return settings.Tree{"table-columns": columns, "table-rows": rows}
}

// treeWithVersion returns the fields of an item as they are sent.
func treeWithVersion(i Item) settings.Tree {
	tree := i.Tree()
	tree["version"] = FormatVersion(i.Version)
	return tree
}
