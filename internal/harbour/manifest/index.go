package manifest

import (
	"fmt"
	"slices"
	"strings"

	"portflow/internal/harbour/papers"
)

// reading is an item that stands, as it is read: one of the three, or why it can't be.
type reading struct {
	key     Key
	err     error
	route   *Route
	service *Service
	share   *Share
}

// read reads an item; what is dropped, and what doesn't go together with others, is nil.
func read(i Item) *reading {
	if i.Dropped {
		return nil
	}
	r, x := papers.Read(i.Tree()), &reading{key: i.Key()}
	switch i.Kind {
	case Routes:
		v := ReadRoute(r)
		v.Version = i.Version
		x.route = &v
	case Services:
		v := ReadService(r)
		v.Version = i.Version
		x.service = &v
	case Shares:
		v := ReadShare(r)
		v.Version = i.Version
		x.share = &v
	default:
		return nil
	}
	x.err = r.Err()
	return x
}

func (r *Route) place() [2]string { return [2]string{r.Host, r.Prefix} }

// alone tells why a route or a share yields whatever others of its kind there are, or nothing.
func (r *reading) alone(stands func(service string) bool) string {
	switch {
	case r.route != nil && r.err != nil:
		return fmt.Sprintf("route %s: %v", r.key.Name, r.err)
	case r.route != nil:
		for _, w := range r.route.Split {
			if !stands(w.Service) {
				return fmt.Sprintf("route %s: service %s does not stand", r.key.Name, w.Service)
			}
		}
	case r.share != nil && r.err != nil:
		return fmt.Sprintf("share %s: %v", r.share.Name, r.err)
	case r.share != nil && !stands(r.share.Service):
		return fmt.Sprintf("share %s: service: %s does not stand", r.share.Name, r.share.Service)
	}
	return ""
}

// contest is which of the routes of one place holds, and which yield to which; they come in the order of their names.
func contest(all []*reading) (holds *Route, yielding []string) {
	for _, r := range all {
		switch {
		case holds == nil:
		case holds.Version >= r.route.Version:
			yielding = append(yielding, fmt.Sprintf("route %s: route %s has its place", r.key.Name, holds.Name))
			continue
		default:
			yielding = append(yielding, fmt.Sprintf("route %s: route %s has its place", holds.Name, r.key.Name))
		}
		holds = r.route
	}
	return holds, yielding
}

// index is a set's items as they are read, and by what they go together: never changed, so that copies of a set share it.
type index struct {
	read    map[Key]*reading
	places  map[[2]string][]*reading // routes that can be read
	naming  map[string][]*reading    // routes by the services that they name, also those that don't stand
	sharing map[string][]*reading    // shares that can be read, by their service
}

func newIndex() *index {
	return &index{read: map[Key]*reading{}, places: map[[2]string][]*reading{}, naming: map[string][]*reading{}, sharing: map[string][]*reading{}}
}

func (x *index) add(r *reading) {
	switch {
	case r.err != nil:
	case r.route != nil:
		x.places[r.route.place()] = append(x.places[r.route.place()], r)
		for _, service := range r.route.services() {
			x.naming[service] = append(x.naming[service], r)
		}
	case r.share != nil:
		x.sharing[r.share.Service] = append(x.sharing[r.share.Service], r)
	}
}

// mostSince is how many items may have changed since the index was made; then it is made anew, of what was read.
const mostSince = 256

// touch notes that the item at a key is another.
func (s *Set) touch(k Key) {
	if s.index != nil && (k.Kind == Routes || k.Kind == Services || k.Kind == Shares) {
		s.since[k] = nil
	}
}

// refresh makes the index where there is none, or too much is not in it.
func (s *Set) refresh() {
	if s.index != nil && len(s.since) <= mostSince {
		for k, r := range s.since {
			if i, there := s.items[k]; r == nil && there && !i.Dropped {
				s.since[k] = read(i)
				s.looked++
			}
		}
		return
	}
	x := newIndex()
	s.looked += len(s.items)
	for k, i := range s.items {
		var r *reading
		if _, changed := s.since[k]; s.index != nil && !changed {
			r = s.index.read[k]
		} else {
			r = read(i)
		}
		if r != nil {
			x.read[k] = r
			x.add(r)
		}
	}
	s.index, s.since = x, map[Key]*reading{}
}

// services are those that a route names, each once.
func (r *Route) services() (all []string) {
	for _, w := range r.Split {
		if !slices.Contains(all, w.Service) {
			all = append(all, w.Service)
		}
	}
	return all
}

// reading is an item that stands as it is read, of the index where it is there.
func (s *Set) reading(i Item) *reading {
	if s.index != nil {
		if _, changed := s.since[i.Key()]; !changed {
			if r := s.index.read[i.Key()]; r != nil {
				return r
			}
		}
	}
	return read(i)
}

// view is a set as it would be with a change.
type view struct {
	set   *Set
	next  map[Key]*reading // nil where the change drops it
	added *index           // what is not in the set's index
}

func (s *Set) with(change map[Key]*reading) view {
	v := view{set: s, next: change, added: newIndex()}
	for _, changed := range []map[Key]*reading{s.since, change} {
		for k, r := range changed {
			if s.looked++; r != nil && v.get(k) == r {
				v.added.add(r)
			}
		}
	}
	return v
}

// get is what stands at a key.
func (v view) get(k Key) *reading {
	if r, there := v.next[k]; there {
		return r
	}
	if r, there := v.set.since[k]; there {
		return r
	}
	return v.set.index.read[k]
}

func (v view) stands(service string) bool {
	r := v.get(Key{Services, service})
	return r != nil && r.err == nil
}

// now are the routes or shares of a list of the index that still are what they were, and those that came since, by name.
func (v view) now(all, added []*reading) (out []*reading) {
	v.set.looked += len(all)
	for _, r := range all {
		if v.get(r.key) == r {
			out = append(out, r)
		}
	}
	out = append(out, added...)
	slices.SortFunc(out, func(a, b *reading) int { return strings.Compare(a.key.Name, b.key.Name) })
	return out
}

// yields are the yielding ones, sorted, among the items that a change touches and all that go together with what they were or
// become: the routes and shares of a service that changes, the routes of a place, the shares of a service.
func (v view) yields(change map[Key]*reading) (all []string) {
	x := v.set.index
	old := view{set: v.set}
	routes, places, sharing := map[Key]bool{}, map[[2]string]bool{}, map[string]bool{}
	route := func(r *reading) {
		if routes[r.key] = true; r.err == nil {
			places[r.route.place()] = true
		}
	}
	single := []*reading{} // shares that can't be read
	for k, now := range change {
		for _, r := range []*reading{old.get(k), now} {
			switch {
			case r == nil:
			case r.route != nil:
				route(r)
			case r.share != nil && r.err == nil:
				sharing[r.share.Service] = true
			case r.share != nil && v.get(k) == r:
				single = append(single, r)
			}
		}
		if k.Kind == Services {
			sharing[k.Name] = true
			for _, r := range slices.Concat(x.naming[k.Name], v.added.naming[k.Name]) {
				if v.set.looked++; old.get(r.key) == r || v.get(r.key) == r {
					route(r)
				}
			}
		}
	}
	for place := range places {
		var stand []*reading
		for _, r := range v.now(x.places[place], v.added.places[place]) {
			if delete(routes, r.key); r.alone(v.stands) == "" {
				stand = append(stand, r)
			} else {
				all = append(all, r.alone(v.stands))
			}
		}
		if len(stand) > 0 {
			_, yielding := contest(stand)
			all = append(all, yielding...)
		}
	}
	for k := range routes { // those that can't be read
		if r := v.get(k); r != nil {
			if why := r.alone(v.stands); why != "" {
				all = append(all, why)
			}
		}
	}
	for _, r := range single {
		all = append(all, r.alone(v.stands))
	}
	for service := range sharing {
		var stand []Share
		for _, r := range v.now(x.sharing[service], v.added.sharing[service]) {
			if why := r.alone(v.stands); why != "" {
				all = append(all, why)
			} else {
				stand = append(stand, *r.share)
			}
		}
		if len(stand) > 0 {
			_, yielding := together(stand)
			all = append(all, yielding...)
		}
	}
	slices.Sort(all)
	return all
}
