package config

import (
	"fmt"
	"slices"

	"portflow/internal/cluster/settings"
)

// parsedItem is a live item with its parsed fields. Exactly one of route, service and quota is set; err is set if the fields are invalid.
type parsedItem struct {
	key     Key
	err     error
	route   *Route
	service *Service
	quota   *Quota
}

// parseItem parses an item. It returns nil if the item is deleted or is neither a route, a service nor a quota.
func parseItem(item Item) *parsedItem {
	if item.Deleted {
		return nil
	}
	reader := settings.NewReader(item.Tree())
	parsed := &parsedItem{key: item.Key()}
	switch item.Kind {
	case KindRoutes:
		route := ParseRoute(reader)
		route.Version = item.Version
		parsed.route = &route
	case KindServices:
		service := ParseService(reader)
		service.Version = item.Version
		parsed.service = &service
	case KindQuotas:
		quota := ParseQuota(reader)
		quota.Version = item.Version
		parsed.quota = &quota
	default:
		return nil
	}
	parsed.err = reader.Err()
	return parsed
}

// routeMatch is the host and path prefix that a route matches. No two active routes have the same.
type routeMatch struct{ host, prefix string }

func (r *Route) match() routeMatch { return routeMatch{host: r.Host, prefix: r.Prefix} }

// serviceNames returns the names of the services of a route without duplicates.
func (r *Route) serviceNames() (all []string) {
	for _, backend := range r.Backends {
		if !slices.Contains(all, backend.Service) {
			all = append(all, backend.Service)
		}
	}
	return all
}

// inactiveReason returns why a route or quota is inactive, disregarding conflicts with other items of its kind. It returns "" if there
// is no such reason, and always for a service.
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

// resolveConflicts returns which of the routes with the same match is active, and why the others are inactive. The route with the
// highest version is active; of several with that version, the first by name. The routes must be sorted by name.
func resolveConflicts(all []*parsedItem) (active *Route, inactive []string) {
	for _, item := range all {
		switch {
		case active == nil:
			active = item.route
		case active.Version >= item.route.Version:
			inactive = append(inactive, fmt.Sprintf("route %s: route %s has its place", item.key.Name, active.Name))
		default:
			inactive = append(inactive, fmt.Sprintf("route %s: route %s has its place", active.Name, item.key.Name))
			active = item.route
		}
	}
	return active, inactive
}
