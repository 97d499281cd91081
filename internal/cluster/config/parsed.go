package config

import (
	"fmt"
	"slices"

	"portflow/internal/cluster/settings"
)

// parsedItem is a live item with its fields: one of route, service and quota is set, and err if its fields are invalid.
type parsedItem struct {
	key     Key
	err     error
	route   *Route
	service *Service
	quota   *Quota
}

// parseItem parses an item; nil if it is deleted, or of a kind that doesn't depend on other items.
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

// routeMatch is what a route matches: no two routes may have the same.
type routeMatch struct{ host, prefix string }

func (r *Route) match() routeMatch { return routeMatch{host: r.Host, prefix: r.Prefix} }

// serviceNames returns the names of the services of a route, each once.
func (r *Route) serviceNames() (all []string) {
	for _, backend := range r.Backends {
		if !slices.Contains(all, backend.Service) {
			all = append(all, backend.Service)
		}
	}
	return all
}

// inactiveReason returns why a route or quota is inactive whatever other items of its kind there are, or "" if it isn't.
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

// resolveConflicts returns which of the routes with one match is active, and why the others aren't. The highest version is, then
// the first by name; the routes are given by name.
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
