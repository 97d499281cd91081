package config

// index contains the parsed items of a set and lists them by the items they depend on or conflict with. It is immutable once built, so
// that clones of the set can share it.
type index struct {
	parsed          map[Key]*parsedItem
	routesByMatch   map[routeMatch][]*parsedItem // valid routes
	routesByService map[string][]*parsedItem     // valid routes by service, whether or not the service exists
	quotasByService map[string][]*parsedItem     // valid quotas by service, whether or not it exists
}

func newIndex() *index {
	return &index{
		parsed:          map[Key]*parsedItem{},
		routesByMatch:   map[routeMatch][]*parsedItem{},
		routesByService: map[string][]*parsedItem{},
		quotasByService: map[string][]*parsedItem{},
	}
}

// addDependencies adds an item to the lists by match and service if it is a valid route or quota.
func (x *index) addDependencies(item *parsedItem) {
	switch {
	case item.err != nil:
	case item.route != nil:
		match := item.route.match()
		x.routesByMatch[match] = append(x.routesByMatch[match], item)
		for _, service := range item.route.serviceNames() {
			x.routesByService[service] = append(x.routesByService[service], item)
		}
	case item.quota != nil:
		service := item.quota.Service
		x.quotasByService[service] = append(x.quotasByService[service], item)
	}
}

// maxIndexChanges is the number of changed items above which the index is rebuilt.
const maxIndexChanges = 256

// markChanged records that the item of a key differs from the one in the index.
func (s *Set) markChanged(k Key) {
	if s.index != nil && (k.Kind == KindRoutes || k.Kind == KindServices || k.Kind == KindQuotas) {
		s.changed[k] = nil
	}
}

// refreshIndex ensures that the index exists, that at most maxIndexChanges items have changed since it was built, and that the changed
// items are parsed.
func (s *Set) refreshIndex() {
	if s.index == nil || len(s.changed) > maxIndexChanges {
		s.buildIndex()
		return
	}
	for key, item := range s.changed {
		if stored, live := s.items.live[key]; item == nil && live {
			s.changed[key] = parseItem(stored)
			s.examined++
		}
	}
}

// buildIndex builds the index from all live items. It reuses the parsed items of the previous index that haven't changed.
func (s *Set) buildIndex() {
	next := newIndex()
	s.examined += len(s.items.live)
	for key, stored := range s.items.live {
		var item *parsedItem
		if _, changed := s.changed[key]; s.index != nil && !changed {
			item = s.index.parsed[key]
		} else {
			item = parseItem(stored)
		}
		if item != nil {
			next.parsed[key] = item
			next.addDependencies(item)
		}
	}
	s.index = next
	s.changed = map[Key]*parsedItem{}
}

// parsed returns the parsed form of a live item of the set, taken from the index if it is up to date there.
func (s *Set) parsed(i Item) *parsedItem {
	if s.index == nil {
		return parseItem(i)
	}
	if _, changed := s.changed[i.Key()]; !changed {
		if item := s.index.parsed[i.Key()]; item != nil {
			return item
		}
	}
	return parseItem(i)
}
