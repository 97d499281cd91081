package config

import (
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// RoutingTable is the configuration in the form that proxies use. It is a function of the set's items alone, and immutable once built.
//
// Items that are valid individually may conflict after two sets are merged. Conflicts are resolved in the same way in all processes: a
// route to a service that doesn't exist is inactive. Of several routes with the same host and prefix, the one with the highest
// version is active, then the first by name. See reconcileQuotas for quotas.
type RoutingTable struct {
	byHost   map[string][]*Route // longest prefix first
	Routes   []*Route            // active routes, sorted by name
	Services map[string]Service  // by name
	Quotas   map[string][]Quota  // active quotas by service, sorted by name; nil if there are none
	Limits   Limits
	Inactive []string // sorted reasons why items of the set are inactive or reduced

	quotaChecksum  uint64   // QuotaChecksum of the set
	inactiveQuotas []string // the reasons in Inactive that concern quotas
}

// NewRoutingTable builds the routing table of a set.
func NewRoutingTable(s *Set) *RoutingTable { return (*RoutingTable)(nil).Rebuild(s) }

// Rebuild builds the routing table of a set that may have changed since t was built; t may be nil. Quotas, of which there may be tens of
// thousands, are shared with t unless a quota or a service has changed.
func (t *RoutingTable) Rebuild(s *Set) *RoutingTable {
	next := &RoutingTable{
		byHost:        map[string][]*Route{},
		Services:      s.liveServices(),
		Limits:        s.currentLimits(),
		quotaChecksum: s.QuotaChecksum(),
	}
	next.addRoutes(s)
	if t != nil && t.quotaChecksum == next.quotaChecksum {
		next.Quotas = t.Quotas
		next.inactiveQuotas = t.inactiveQuotas
	} else {
		next.Quotas, next.inactiveQuotas = s.buildQuotas(next.Services)
	}
	next.Inactive = append(next.Inactive, next.inactiveQuotas...)
	slices.Sort(next.Inactive)
	return next
}

// addRoutes adds the active routes of a set, and the reasons why others are inactive.
func (t *RoutingTable) addRoutes(s *Set) {
	byMatch := map[routeMatch][]*parsedItem{}
	for _, i := range s.Live(KindRoutes) {
		item := s.parsed(i)
		if reason := item.inactiveReason(existsIn(t.Services)); reason != "" {
			t.Inactive = append(t.Inactive, reason)
			continue
		}
		match := item.route.match()
		byMatch[match] = append(byMatch[match], item)
	}
	for _, all := range byMatch {
		active, inactive := resolveConflicts(all)
		t.Inactive = append(t.Inactive, inactive...)
		route := *active
		t.Routes = append(t.Routes, &route)
		t.byHost[route.Host] = append(t.byHost[route.Host], &route)
	}
	slices.SortFunc(t.Routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route for a host and path, or nil if there is none. The longest matching prefix wins. The host must be lower case.
func (t *RoutingTable) Match(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// liveServices returns the valid live services of the set by name.
func (s *Set) liveServices() map[string]Service {
	all := map[string]Service{}
	for _, i := range s.Live(KindServices) {
		if item := s.parsed(i); item.err == nil {
			all[i.Name] = *item.service
		}
	}
	return all
}

func existsIn(services map[string]Service) func(service string) bool {
	return func(service string) bool {
		_, exists := services[service]
		return exists
	}
}

// currentLimits returns the limits of the set, or DefaultLimits if there are none or they are invalid.
func (s *Set) currentLimits() Limits {
	i, exists := s.Lookup(Key{KindLimits, KindLimits})
	if !exists || i.Deleted {
		return DefaultLimits
	}
	reader := settings.NewReader(i.Tree())
	limits := ParseLimits(reader)
	if reader.Err() != nil {
		return DefaultLimits
	}
	return limits
}
