package config

import (
	"fmt"
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// parsedItem is an item that stands, as it is read: one of the three, or why it can't be.
type parsedItem struct {
	key     Key
	err     error
	route   *Route
	service *Service
	quota   *Quota
}

// parseItem reads an item; what is dropped, and what doesn't go together with others, is nil.
func parseItem(item Item) *parsedItem {
	if item.Deleted {
		return nil
	}
	reader, parsed := settings.NewReader(item.Tree()), &parsedItem{key: item.Key()}
	switch item.Kind {
	case KindRoutes:
		value := ParseRoute(reader)
		value.Version = item.Version
		parsed.route = &value
	case KindServices:
		value := ParseService(reader)
		value.Version = item.Version
		parsed.service = &value
	case KindQuotas:
		value := ParseQuota(reader)
		value.Version = item.Version
		parsed.quota = &value
	default:
		return nil
	}
	parsed.err = reader.Err()
	return parsed
}

func (r *Route) match() [2]string { return [2]string{r.Host, r.Prefix} }

// inactiveReason tells why a route or a share yields whatever others of its kind there are, or nothing.
func (p *parsedItem) inactiveReason(serviceExists func(service string) bool) string {
	switch {
	case p.route != nil && p.err != nil:
		return fmt.Sprintf("route %s: %v", p.key.Name, p.err)
	case p.route != nil:
		for _, backend := range p.route.Backends {
			if !serviceExists(backend.Service) {
				return fmt.Sprintf("route %s: service %s does not stand", p.key.Name, backend.Service)
			}
		}
	case p.quota != nil && p.err != nil:
		return fmt.Sprintf("share %s: %v", p.quota.Name, p.err)
	case p.quota != nil && !serviceExists(p.quota.Service):
		return fmt.Sprintf("share %s: service: %s does not stand", p.quota.Name, p.quota.Service)
	}
	return ""
}

// resolveConflicts is which of the routes of one place holds, and which yield to which; they come in the order of their names.
func resolveConflicts(all []*parsedItem) (winner *Route, inactive []string) {
	for _, route := range all {
		switch {
		case winner == nil:
		case winner.Version >= route.route.Version:
			inactive = append(inactive, fmt.Sprintf("route %s: route %s has its place", route.key.Name, winner.Name))
			continue
		default:
			inactive = append(inactive, fmt.Sprintf("route %s: route %s has its place", winner.Name, route.key.Name))
		}
		winner = route.route
	}
	return winner, inactive
}

// index is a set's items as they are read, and by what they go together: never changed, so that copies of a set share it.
type index struct {
	parsed          map[Key]*parsedItem
	routesByMatch   map[[2]string][]*parsedItem // routes that can be read
	routesByService map[string][]*parsedItem    // routes by the services that they name, also those that don't stand
	quotasByService map[string][]*parsedItem    // shares that can be read, by their service
}

func newIndex() *index {
	return &index{parsed: map[Key]*parsedItem{}, routesByMatch: map[[2]string][]*parsedItem{}, routesByService: map[string][]*parsedItem{}, quotasByService: map[string][]*parsedItem{}}
}

func (x *index) add(item *parsedItem) {
	switch {
	case item.err != nil:
	case item.route != nil:
		x.routesByMatch[item.route.match()] = append(x.routesByMatch[item.route.match()], item)
		for _, service := range item.route.serviceNames() {
			x.routesByService[service] = append(x.routesByService[service], item)
		}
	case item.quota != nil:
		x.quotasByService[item.quota.Service] = append(x.quotasByService[item.quota.Service], item)
	}
}

// maxIndexChanges is how many items may have changed since the index was made; then it is made anew, of what was read.
const maxIndexChanges = 256

// markChanged notes that the item at a key is another.
func (s *Set) markChanged(k Key) {
	if s.index != nil && (k.Kind == KindRoutes || k.Kind == KindServices || k.Kind == KindQuotas) {
		s.changed[k] = nil
	}
}

// refreshIndex makes the index where there is none, or too much is not in it.
func (s *Set) refreshIndex() {
	if s.index != nil && len(s.changed) <= maxIndexChanges {
		for key, item := range s.changed {
			if stored, exists := s.items[key]; item == nil && exists && !stored.Deleted {
				s.changed[key] = parseItem(stored)
				s.examined++
			}
		}
		return
	}
	next := newIndex()
	s.examined += len(s.items)
	for key, stored := range s.items {
		var item *parsedItem
		if _, changed := s.changed[key]; s.index != nil && !changed {
			item = s.index.parsed[key]
		} else {
			item = parseItem(stored)
		}
		if item != nil {
			next.parsed[key] = item
			next.add(item)
		}
	}
	s.index, s.changed = next, map[Key]*parsedItem{}
}

// serviceNames are those that a route names, each once.
func (r *Route) serviceNames() (all []string) {
	for _, w := range r.Backends {
		if !slices.Contains(all, w.Service) {
			all = append(all, w.Service)
		}
	}
	return all
}

// parsed is an item that stands as it is read, of the index where it is there.
func (s *Set) parsed(i Item) *parsedItem {
	if s.index != nil {
		if _, changed := s.changed[i.Key()]; !changed {
			if r := s.index.parsed[i.Key()]; r != nil {
				return r
			}
		}
	}
	return parseItem(i)
}

// overlay is a set as it would be with a change.
type overlay struct {
	set     *Set
	changes map[Key]*parsedItem // nil where the change drops it
	added   *index              // what is not in the set's index
}

func (s *Set) withChange(change map[Key]*parsedItem) overlay {
	result := overlay{set: s, changes: change, added: newIndex()}
	for _, changed := range []map[Key]*parsedItem{s.changed, change} {
		for k, item := range changed {
			if s.examined++; item != nil && result.lookup(k) == item {
				result.added.add(item)
			}
		}
	}
	return result
}

// lookup is what stands at a key.
func (o overlay) lookup(k Key) *parsedItem {
	if item, exists := o.changes[k]; exists {
		return item
	}
	if item, exists := o.set.changed[k]; exists {
		return item
	}
	return o.set.index.parsed[k]
}

func (o overlay) serviceExists(service string) bool {
	r := o.lookup(Key{KindServices, service})
	return r != nil && r.err == nil
}

// current are the routes or shares of a list of the index that still are what they were, and those that came since, by name.
func (o overlay) current(all, added []*parsedItem) (items []*parsedItem) {
	o.set.examined += len(all)
	for _, item := range all {
		if o.lookup(item.key) == item {
			items = append(items, item)
		}
	}
	items = append(items, added...)
	slices.SortFunc(items, func(a, b *parsedItem) int { return strings.Compare(a.key.Name, b.key.Name) })
	return items
}

// inactiveReasons are the yielding ones, sorted, among the items that a change touches and all that go together with what they were or
// become: the routes and shares of a service that changes, the routes of a place, the shares of a service.
func (o overlay) inactiveReasons(change map[Key]*parsedItem) (reasons []string) {
	indexed := o.set.index
	before := overlay{set: o.set}
	routes, matches, quotaServices := map[Key]bool{}, map[[2]string]bool{}, map[string]bool{}
	addRoute := func(item *parsedItem) {
		if routes[item.key] = true; item.err == nil {
			matches[item.route.match()] = true
		}
	}
	unparsed := []*parsedItem{} // shares that can't be read
	for key, after := range change {
		for _, item := range []*parsedItem{before.lookup(key), after} {
			switch {
			case item == nil:
			case item.route != nil:
				addRoute(item)
			case item.quota != nil && item.err == nil:
				quotaServices[item.quota.Service] = true
			case item.quota != nil && o.lookup(key) == item:
				unparsed = append(unparsed, item)
			}
		}
		if key.Kind == KindServices {
			quotaServices[key.Name] = true
			for _, item := range slices.Concat(indexed.routesByService[key.Name], o.added.routesByService[key.Name]) {
				if o.set.examined++; before.lookup(item.key) == item || o.lookup(item.key) == item {
					addRoute(item)
				}
			}
		}
	}
	for match := range matches {
		var active []*parsedItem
		for _, item := range o.current(indexed.routesByMatch[match], o.added.routesByMatch[match]) {
			if delete(routes, item.key); item.inactiveReason(o.serviceExists) == "" {
				active = append(active, item)
			} else {
				reasons = append(reasons, item.inactiveReason(o.serviceExists))
			}
		}
		if len(active) > 0 {
			_, inactive := resolveConflicts(active)
			reasons = append(reasons, inactive...)
		}
	}
	for key := range routes { // those that can't be read
		if item := o.lookup(key); item != nil {
			if reason := item.inactiveReason(o.serviceExists); reason != "" {
				reasons = append(reasons, reason)
			}
		}
	}
	for _, item := range unparsed {
		reasons = append(reasons, item.inactiveReason(o.serviceExists))
	}
	for service := range quotaServices {
		var active []Quota
		for _, item := range o.current(indexed.quotasByService[service], o.added.quotasByService[service]) {
			if reason := item.inactiveReason(o.serviceExists); reason != "" {
				reasons = append(reasons, reason)
			} else {
				active = append(active, *item.quota)
			}
		}
		if len(active) > 0 {
			_, inactive := reconcileQuotas(active)
			reasons = append(reasons, inactive...)
		}
	}
	slices.Sort(reasons)
	return reasons
}
