package config

import (
	"slices"
	"strings"
)

// overlay is a view of a set with a change applied. The set's index must be fresh (see refreshIndex), and the set must not be modified
// while the overlay is in use.
type overlay struct {
	set     *Set
	changes map[Key]*parsedItem // nil for an item that the change deletes
	added   *index              // dependency lists of the items that the set's index doesn't have
}

// withChange returns a view of the set with a change applied; nil stands for no change.
func (s *Set) withChange(change map[Key]*parsedItem) overlay {
	result := overlay{set: s, changes: change, added: newIndex()}
	for _, changed := range []map[Key]*parsedItem{s.changed, change} {
		for key, item := range changed {
			s.examined++
			if item != nil && result.lookup(key) == item {
				result.added.addDependencies(item)
			}
		}
	}
	return result
}

// lookup returns the item of a key, or nil if there is no live route, service or quota with that key.
func (o overlay) lookup(key Key) *parsedItem {
	if item, exists := o.changes[key]; exists {
		return item
	}
	if item, exists := o.set.changed[key]; exists {
		return item
	}
	return o.set.index.parsed[key]
}

// serviceExists reports whether a valid service with the given name exists.
func (o overlay) serviceExists(service string) bool {
	item := o.lookup(Key{KindServices, service})
	return item != nil && item.err == nil
}

// current returns, sorted by name, the items of a list of the set's index that are still current and the added ones.
func (o overlay) current(indexed, added []*parsedItem) (items []*parsedItem) {
	o.set.examined += len(indexed)
	for _, item := range indexed {
		if o.lookup(item.key) == item {
			items = append(items, item)
		}
	}
	items = append(items, added...)
	slices.SortFunc(items, func(a, b *parsedItem) int { return strings.Compare(a.key.Name, b.key.Name) })
	return items
}

// affectedItems are the items that a change may make active or inactive.
type affectedItems struct {
	routes        map[Key]bool        // routes that change, or have a service that changes
	matches       map[routeMatch]bool // matches of those of the routes that are valid
	services      map[string]bool     // services whose quotas may be affected
	invalidQuotas []*parsedItem       // invalid quotas among the changed items, as they are in the overlay
}

func (a *affectedItems) addRoute(item *parsedItem) {
	a.routes[item.key] = true
	if item.err == nil {
		a.matches[item.route.match()] = true
	}
}

// affectedBy returns the items that a change affects: the changed items, before and after the change, and the routes and quotas of
// each service that changes.
func (o overlay) affectedBy(change map[Key]*parsedItem) *affectedItems {
	affected := &affectedItems{
		routes:   map[Key]bool{},
		matches:  map[routeMatch]bool{},
		services: map[string]bool{},
	}
	before := overlay{set: o.set}
	for key, after := range change {
		for _, item := range []*parsedItem{before.lookup(key), after} {
			switch {
			case item == nil:
			case item.route != nil:
				affected.addRoute(item)
			case item.quota != nil && item.err == nil:
				affected.services[item.quota.Service] = true
			case item.quota != nil && o.lookup(key) == item:
				affected.invalidQuotas = append(affected.invalidQuotas, item)
			}
		}
		if key.Kind == KindServices {
			affected.services[key.Name] = true
			o.addRoutesOf(key.Name, before, affected)
		}
	}
	return affected
}

// addRoutesOf adds the routes of a service, before and after the change.
func (o overlay) addRoutesOf(service string, before overlay, affected *affectedItems) {
	for _, item := range slices.Concat(o.set.index.routesByService[service], o.added.routesByService[service]) {
		o.set.examined++
		if before.lookup(item.key) == item || o.lookup(item.key) == item {
			affected.addRoute(item)
		}
	}
}

// inactiveReasons returns the sorted reasons why items affected by a change are inactive in o.
func (o overlay) inactiveReasons(change map[Key]*parsedItem) (reasons []string) {
	affected := o.affectedBy(change)
	valid := map[Key]bool{}
	for match := range affected.matches {
		reasons = append(reasons, o.inactiveRoutes(match, valid)...)
	}
	for key := range affected.routes {
		if item := o.lookup(key); item != nil && !valid[key] {
			reasons = o.appendReason(reasons, item)
		}
	}
	for _, item := range affected.invalidQuotas {
		reasons = append(reasons, item.inactiveReason(o.serviceExists))
	}
	for service := range affected.services {
		reasons = append(reasons, o.inactiveQuotas(service)...)
	}
	slices.Sort(reasons)
	return reasons
}

// appendReason appends the reason why an item is inactive regardless of other items of its kind, if there is one.
func (o overlay) appendReason(reasons []string, item *parsedItem) []string {
	if reason := item.inactiveReason(o.serviceExists); reason != "" {
		reasons = append(reasons, reason)
	}
	return reasons
}

// inactiveRoutes returns the reasons why routes with the given match are inactive, and adds the keys of all routes with it to valid.
func (o overlay) inactiveRoutes(match routeMatch, valid map[Key]bool) (reasons []string) {
	var candidates []*parsedItem
	for _, item := range o.current(o.set.index.routesByMatch[match], o.added.routesByMatch[match]) {
		valid[item.key] = true
		if reason := item.inactiveReason(o.serviceExists); reason != "" {
			reasons = append(reasons, reason)
		} else {
			candidates = append(candidates, item)
		}
	}
	_, inactive := resolveConflicts(candidates)
	return append(reasons, inactive...)
}

// inactiveQuotas returns the reasons why quotas of a service are inactive or reduced.
func (o overlay) inactiveQuotas(service string) (reasons []string) {
	var candidates []Quota
	for _, item := range o.current(o.set.index.quotasByService[service], o.added.quotasByService[service]) {
		if reason := item.inactiveReason(o.serviceExists); reason != "" {
			reasons = append(reasons, reason)
		} else {
			candidates = append(candidates, *item.quota)
		}
	}
	if len(candidates) == 0 {
		return reasons
	}
	_, inactive := reconcileQuotas(candidates)
	return append(reasons, inactive...)
}
