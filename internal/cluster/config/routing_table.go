package config

import (
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// RoutingTable is a set as proxies go by it: a function of the set's items alone. It doesn't change once it is built.
//
// Items that are valid each by itself may conflict after two sets were merged. Then the same rules hold everywhere: a route to a
// service that doesn't exist is inactive, and of two routes with one host and prefix the one of the higher version is active, of
// one version the first by name.
type RoutingTable struct {
	byHost   map[string][]*Route // the longest prefix first
	Routes   []*Route            // the active ones, by name
	Services map[string]Service  // by name
	Quotas   map[string][]Quota  // by service, then by name; nil if there are none
	Limits   Limits
	Inactive []string // why items of the set are not active, sorted

	quotaChecksum  uint64   // the set's QuotaChecksum
	inactiveQuotas []string // those of Inactive that are about quotas
}

// NewRoutingTable builds the routing table of a set.
func NewRoutingTable(s *Set) *RoutingTable { return (*RoutingTable)(nil).Rebuild(s) }

// Rebuild builds the routing table of a set that has changed since t was built of it; t may be nil. Quotas, of which there may be tens
// of thousands, are taken from t unless a quota or a service has changed.
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

// addRoutes adds the active routes of a set, and why the others are inactive.
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

// Match returns the route of a host and a path, the one with the longest prefix, or nil.
func (t *RoutingTable) Match(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// liveServices returns the valid services of the set, by name.
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

// currentLimits returns the limits of the set; the default ones if there are none, or invalid ones.
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
