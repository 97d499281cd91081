package trial

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Bounds of the configuration that operators set. All requests stay within them.
const (
	siteName        = "desk.example"
	trafficAttempts = 3 // highest maximum-attempts

	trafficRoutes      = 9
	shortTimeoutRoutes = 2 // number of trafficRoutes whose timeout may be shortTimeout
	bulkRoutes         = 800
	maxWeight          = 90 // highest share-weight in a weighted-split

	shortTimeout = 300 * time.Millisecond
	longTimeout  = 3 * time.Second

	minIdleTimeout = 2 * time.Second // for idle-timeout-s
	maxIdleTimeout = 8 * time.Second
	minBodyBytes   = 1 << 20 // lowest body-bytes
	minHeaderBytes = 4096    // lowest header-bytes
)

// services stay configured throughout; transientServices are dropped and added again together with their routes.
var (
	services          = []string{"desk-a", "desk-b", "desk-c"}
	transientServices = []string{"brief-a", "brief-b", "brief-c"}
)

// clientRoute is a route that clients use.
type clientRoute struct {
	name, prefix string
	idempotent   bool
	service      string
	minTimeout   time.Duration // shortest timeout that operators set
	transient    bool          // it is dropped and added together with its service
}

// clientRoutes returns all routes that clients use, in a fixed order.
func clientRoutes() (all []clientRoute) {
	for n := range trafficRoutes {
		r := clientRoute{
			name:       fmt.Sprintf("traffic-%d", n),
			prefix:     fmt.Sprintf("/traffic/%d/", n),
			idempotent: n%3 != 0,
			service:    services[n%len(services)],
			minTimeout: longTimeout,
		}
		if n < shortTimeoutRoutes {
			r.minTimeout = shortTimeout
		}
		all = append(all, r)
	}
	for n, s := range transientServices {
		all = append(all, clientRoute{
			name:       "route-" + s,
			prefix:     fmt.Sprintf("/%s/", s),
			idempotent: n%2 == 0,
			service:    s,
			minTimeout: longTimeout,
			transient:  true,
		})
	}
	return all
}

// routeItem returns random fields for a route.
func (r clientRoute) routeItem(rng *rand.Rand) map[string]any {
	kind := "unsafe_method"
	if r.idempotent {
		kind = "safe_method"
	}
	fields := map[string]any{
		"name":             r.name,
		"host-name":        siteName,
		"path-prefix":      r.prefix,
		"route-kind":       kind,
		"timeout-s":        r.minTimeout.Seconds() * float64(1+rng.IntN(3)),
		"target-s":         0.2 + float64(rng.IntN(8))/10,
		"priority-level":   rng.IntN(4),
		"maximum-attempts": 1 + rng.IntN(trafficAttempts),
	}
	switch {
	case r.transient:
		fields["service"] = r.service
	case rng.IntN(2) == 0:
		fields["service"] = services[rng.IntN(len(services))]
	default:
		first := rng.IntN(len(services))
		second := (first + 1 + rng.IntN(len(services)-1)) % len(services)
		fields["weighted-split"] = []any{
			map[string]any{"service": services[first], "share-weight": 1 + rng.IntN(maxWeight)},
			map[string]any{"service": services[second], "share-weight": 1 + rng.IntN(maxWeight)},
		}
	}
	return fields
}

// idlePrefix returns the path prefix of a route that no client uses.
func idlePrefix(name string) string { return "/idle/" + name + "/" }

// idleRoute returns random fields for a route that no client uses.
func idleRoute(name string, rng *rand.Rand) map[string]any {
	return map[string]any{
		"name":             name,
		"host-name":        siteName,
		"path-prefix":      idlePrefix(name),
		"route-kind":       "safe_method",
		"timeout-s":        1 + rng.IntN(5),
		"target-s":         0.5,
		"priority-level":   2,
		"service":          services[rng.IntN(len(services))],
		"maximum-attempts": 2,
	}
}

// serviceItem returns random fields for a service.
func serviceItem(name string, rng *rand.Rand) map[string]any {
	return map[string]any{
		"name":               name,
		"health-path":        "/health",
		"connection-limit":   60 + rng.IntN(200),
		"protocol":           "h1",
		"transport-security": false,
		"cold-start-s":       1 + rng.IntN(3),
		"cold-per-s":         3 + rng.IntN(20),
	}
}

// limitsItem returns random limits that all requests stay within.
func limitsItem(rng *rand.Rand) map[string]any {
	idle := minIdleTimeout
	if rng.IntN(2) == 0 {
		idle = maxIdleTimeout
	}
	return map[string]any{
		"header-bytes":     minHeaderBytes << rng.IntN(3),
		"body-bytes":       minBodyBytes << rng.IntN(5),
		"header-timeout-s": 1 + rng.IntN(3),
		"idle-timeout-s":   idle.Seconds(),
	}
}
