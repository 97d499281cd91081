package trial

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	siteName        = "desk.example"
	trafficAttempts = 3 // the most maximum-attempts that operators set

	trafficRoutes = 9
	hastyRoutes   = 2 // of them: those whose timeouts go far down
	bulkRoutes    = 800

	hastyTimeout  = 300 * time.Millisecond
	steadyTimeout = 3 * time.Second
)

// services are those that always stand; fleeting ones are dropped and added again together with their routes.
var (
	services = []string{"desk-a", "desk-b", "desk-c"}
	fleeting = []string{"brief-a", "brief-b", "brief-c"}
)

// target is a route that clients use.
type target struct {
	name, prefix string
	idempotent   bool
	service      string
	timeoutLow   time.Duration // the shortest that operators set
	fleeting     bool          // its service is dropped with it
}

// targets are all routes that clients use.
func targets() (all []target) {
	for n := range trafficRoutes {
		t := target{name: fmt.Sprintf("traffic-%d", n), prefix: fmt.Sprintf("/traffic/%d/", n), idempotent: n%3 != 0,
			service: services[n%len(services)], timeoutLow: steadyTimeout}
		if n < hastyRoutes {
			t.timeoutLow = hastyTimeout
		}
		all = append(all, t)
	}
	for n, s := range fleeting {
		all = append(all, target{name: "route-" + s, prefix: fmt.Sprintf("/%s/", s), idempotent: n%2 == 0, service: s, timeoutLow: steadyTimeout,
			fleeting: true})
	}
	return all
}

// routeItem draws a route's fields anew.
func (t target) routeItem(rng *rand.Rand) map[string]any {
	kind := "unsafe_method"
	if t.idempotent {
		kind = "safe_method"
	}
	fields := map[string]any{"name": t.name, "host-name": siteName, "path-prefix": t.prefix, "route-kind": kind,
		"timeout-s": t.timeoutLow.Seconds() * float64(1+rng.IntN(3)), "target-s": 0.2 + float64(rng.IntN(8))/10, "priority-level": rng.IntN(4),
		"maximum-attempts": 1 + rng.IntN(trafficAttempts)}
	switch {
	case t.fleeting:
		fields["service"] = t.service
	case rng.IntN(2) == 0:
		fields["service"] = services[rng.IntN(len(services))]
	default:
		a, b := rng.IntN(len(services)), 1+rng.IntN(len(services)-1)
		fields["weighted-split"] = []any{
			map[string]any{"service": services[a], "share-weight": 1 + rng.IntN(90)},
			map[string]any{"service": services[(a+b)%len(services)], "share-weight": 1 + rng.IntN(90)}}
	}
	return fields
}

// idleRoute is a route that nobody asks for.
func idleRoute(name string, rng *rand.Rand) map[string]any {
	return map[string]any{"name": name, "host-name": siteName, "path-prefix": "/idle/" + name + "/", "route-kind": "safe_method",
		"timeout-s": 1 + rng.IntN(5), "target-s": 0.5, "priority-level": 2, "service": services[rng.IntN(len(services))], "maximum-attempts": 2}
}

// serviceItem draws a service's fields anew.
func serviceItem(name string, rng *rand.Rand) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "connection-limit": 60 + rng.IntN(200), "protocol": "h1",
		"transport-security": false, "cold-start-s": 1 + rng.IntN(3), "cold-per-s": 3 + rng.IntN(20)}
}

// limitsItem draws the limits anew, within what clients keep to.
func limitsItem(rng *rand.Rand) map[string]any {
	idle := idleLow
	if rng.IntN(2) == 0 {
		idle = idleHigh
	}
	return map[string]any{"header-bytes": headerLow << rng.IntN(3), "body-bytes": bodyLow << rng.IntN(5),
		"header-timeout-s": 1 + rng.IntN(3), "idle-timeout-s": idle.Seconds()}
}
