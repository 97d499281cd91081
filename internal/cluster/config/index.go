package config

// index has the parsed items of a set, and those that depend on each other. It never changes once it is built, so that clones of the
// set share it.
type index struct {
	parsed          map[Key]*parsedItem
	routesByMatch   map[routeMatch][]*parsedItem // valid routes
	routesByService map[string][]*parsedItem     // valid routes by their services, also by those that don't exist
	quotasByService map[string][]*parsedItem     // valid quotas
}

func newIndex() *index {
	return &index{
		parsed:          map[Key]*parsedItem{},
		routesByMatch:   map[routeMatch][]*parsedItem{},
		routesByService: map[string][]*parsedItem{},
		quotasByService: map[string][]*parsedItem{},
	}
}

// addDependencies adds a valid route or quota to the lists of what it depends on.
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

// maxIndexChanges bounds the items that changed since the index was built; beyond it the index is built anew.
const maxIndexChanges = 256

// markChanged notes that the index doesn't have the item of a key as it is.
func (s *Set) markChanged(k Key) {
	if s.index != nil && (k.Kind == KindRoutes || k.Kind == KindServices || k.Kind == KindQuotas) {
		s.changed[k] = nil
	}
}

// refreshIndex makes sure that there is an index and that the items that changed since it was built are few, and parsed.
func (s *Set) refreshIndex() {
	if s.index == nil || len(s.changed) > maxIndexChanges {
		s.buildIndex()
		return
	}
	for key, item := range s.changed {
		if stored, exists := s.items[key]; item == nil && exists && !stored.Deleted {
			s.changed[key] = parseItem(stored)
			s.examined++
		}
	}
}

// buildIndex builds the index anew. Items that the previous one has as they are aren't parsed again.
func (s *Set) buildIndex() {
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
			next.addDependencies(item)
		}
	}
	s.index = next
	s.changed = map[Key]*parsedItem{}
}

// parsed returns a live item of the set with its fields, from the index if it is there.
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
