package config

import (
	"encoding/json"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/settings"
)

// CheckChange validates a change against the set and returns those of its items that would have an effect. An item that the set
// already has, or has in a newer version, is skipped without an error. The change is rejected with an error of kind apierror.Invalid
// if it adds a reason for a route or quota to be inactive or reduced, such as a missing service, a second route with the same host
// and prefix, or quotas of a service whose fractions add up to more than 1. Except when the index has to be rebuilt, the cost depends
// on the size of the change and the number of items related to it, not on the size of the set.
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

// checkServices checks that the services of each route in the change exist after the change. This includes routes without effect
// because the set has the same or a newer version. Such a route may refer to a service that has been deleted since: it was valid
// once, and is being sent again.
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

// EncodeChange returns the live items that operators set (routes, services, quotas and limits) in the form of a change's set-items.
func (s *Set) EncodeChange() ([]byte, error) {
	set := settings.Tree{}
	for _, kind := range tabularKinds {
		live := s.Live(kind)
		if kind == KindQuotas && len(live) == 0 { // left out if no quotas are in use
			continue
		}
		set[kind] = encodeTable(live)
	}
	if i, exists := s.Lookup(Key{KindLimits, KindLimits}); exists && !i.Deleted {
		set[KindLimits] = treeWithVersion(i)
	}
	return json.Marshal(set)
}

// encodeTable returns items as a table with sorted column names and one row per item; a field that an item doesn't have is null.
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

// treeWithVersion returns the fields of an item as they are sent, including its version.
func treeWithVersion(i Item) settings.Tree {
	tree := i.Tree()
	tree["version"] = FormatVersion(i.Version)
	return tree
}
