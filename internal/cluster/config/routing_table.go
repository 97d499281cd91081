package config

import (
	"encoding/json"
	"math"
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// Route is a route as the data plane goes by it. Times are nanoseconds.
type Route struct {
	Name, Host, Prefix     string
	Idempotent             bool // its requests may run more than once
	Timeout, LatencyTarget int64
	Priority               int // 0 is highest
	Backends               []WeightedService
	MaxAttempts            int // hosts that one try may be sent to
	HomeRegions            []string
	Version                uint64
}

// WeightedService is one service's part of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a service as the data plane goes by it.
type Service struct {
	Name, HealthPath string
	MaxConnections   int
	WarmUp           int64
	WarmUpPerSecond  float64
	Version          uint64
}

// Limits are what clients may send, and for how long.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          int64
	IdleTimeout            int64
}

const (
	maxTimeoutSeconds      = 600.0 // seconds a route's timeout may be
	maxTargetExcessSeconds = 60.0  // seconds that a target may lie over it, less than which
	maxNumber              = 1e6   // of any other number
)

// ParseRoute reads and checks one route's fields.
func ParseRoute(reader settings.Reader) Route {
	route := Route{Name: reader.At("name").Text(), Host: strings.ToLower(reader.At("host-name").Text()), Prefix: reader.At("path-prefix").Text(),
		Timeout: reader.At("timeout-s").Seconds(0, maxTimeoutSeconds), MaxAttempts: 1, HomeRegions: reader.At("home-regions").Strings()}
	if !strings.HasPrefix(route.Prefix, "/") {
		reader.At("path-prefix").Errorf("%q does not begin with a slash", route.Prefix)
	}
	switch kind := reader.At("route-kind").Text(); kind {
	case "safe_method":
		route.Idempotent = true
	case "unsafe_method", "":
	default:
		reader.At("route-kind").Errorf("%q is neither safe_method nor unsafe_method", kind)
	}
	if route.LatencyTarget = route.Timeout; reader.At("target-s").Exists() {
		route.LatencyTarget = reader.At("target-s").Seconds(0, maxNumber)
	}
	if route.LatencyTarget >= route.Timeout+int64(maxTargetExcessSeconds*1e9) {
		reader.At("target-s").Errorf("a minute or more over timeout-s")
	}
	if reader.At("priority-level").Exists() {
		route.Priority = reader.At("priority-level").Int(0, 1000)
	}
	if reader.At("maximum-attempts").Exists() {
		route.MaxAttempts = max(1, reader.At("maximum-attempts").Int(0, 1000))
	}
	split := reader.At("weighted-split")
	switch {
	case split.Exists() && reader.At("service").Exists():
		split.Errorf("beside a service")
	case split.Exists():
		sum := 0.0
		for _, entry := range split.List() {
			backend := WeightedService{entry.At("service").Text(), entry.At("share-weight").Float(0, maxNumber)}
			sum += backend.Weight
			route.Backends = append(route.Backends, backend)
		}
		if sum <= 0 {
			split.Errorf("no weight above 0")
		}
	default:
		route.Backends = []WeightedService{{reader.At("service").Text(), 1}}
	}
	return route
}

// ParseService reads and checks one service's fields.
func ParseService(reader settings.Reader) Service {
	service := Service{Name: reader.At("name").Text(), HealthPath: reader.At("health-path").Text(), MaxConnections: 1 << 20}
	if reader.At("connection-limit").Exists() {
		service.MaxConnections = reader.At("connection-limit").Int(1, 1<<20)
	}
	if !strings.HasPrefix(service.HealthPath, "/") {
		reader.At("health-path").Errorf("%q does not begin with a slash", service.HealthPath)
	}
	if protocol := reader.At("protocol"); protocol.Exists() && protocol.Text() != "h1" {
		protocol.Errorf("%q is not h1", protocol.Value())
	}
	if security := reader.At("transport-security"); security.Exists() && security.Bool() {
		security.Errorf("not spoken here")
	}
	if reader.At("cold-start-s").Exists() {
		service.WarmUp = reader.At("cold-start-s").Seconds(0, 86400)
	}
	if service.WarmUpPerSecond = math.Inf(1); reader.At("cold-per-s").Exists() {
		service.WarmUpPerSecond = reader.At("cold-per-s").Float(0, maxNumber)
	}
	return service
}

// HeaderMost is the highest header-bytes that may be set.
const HeaderMost = 1 << 30

// ParseLimits reads and checks the limits.
func ParseLimits(reader settings.Reader) Limits {
	return Limits{HeaderBytes: reader.At("header-bytes").Int(1, HeaderMost), BodyBytes: reader.At("body-bytes").Int(0, 1<<40),
		HeaderTimeout: reader.At("header-timeout-s").Seconds(0.001, 86400), IdleTimeout: reader.At("idle-timeout-s").Seconds(0.001, 86400)}
}

// RoutingTable is a set as the data plane goes by it: a function of the set alone.
type RoutingTable struct {
	byHost   map[string][]*Route // by host, the longest prefix first
	Routes   []*Route
	Services map[string]Service
	Quotas   map[string][]Quota // by service; nil where there is none
	Limits   Limits
	Inactive []string // what stands in the set and is not in force, each with its reason

	quotaSum       uint64   // the sum of what the shares were drawn from
	inactiveQuotas []string // those of Yielding that are shares
}

// DefaultLimits are the limits where none are told.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3e9, IdleTimeout: 15e9}

// NewRoutingTable makes the chart. Items that are valid each by itself may not go together once sets are merged. Then this holds
// everywhere: a route to a service that doesn't stand yields, and of two routes with one place the one of the higher
// version holds, of one version the one whose name comes first.
func NewRoutingTable(s *Set) *RoutingTable { return (*RoutingTable)(nil).Rebuild(s) }

// Rebuild is the chart of what a set has become since this one was drawn; the nil Chart is before all. Shares, of which there may be
// tens of thousands, are drawn anew only where one of them or a service has changed.
func (t *RoutingTable) Rebuild(s *Set) *RoutingTable {
	next := &RoutingTable{byHost: map[string][]*Route{}, Services: s.liveServices(), Limits: DefaultLimits}
	if i, ok := s.Lookup(Key{KindLimits, KindLimits}); ok && !i.Deleted {
		item := settings.NewReader(i.Tree())
		if parsedLimits := ParseLimits(item); item.Err() == nil {
			next.Limits = parsedLimits
		}
	}
	byMatch := map[[2]string][]*parsedItem{}
	for _, i := range s.Live(KindRoutes) {
		item := s.parsed(i)
		if reason := item.inactiveReason(func(service string) bool { _, ok := next.Services[service]; return ok }); reason != "" {
			next.Inactive = append(next.Inactive, reason)
			continue
		}
		byMatch[item.route.match()] = append(byMatch[item.route.match()], item)
	}
	for _, all := range byMatch {
		winner, inactive := resolveConflicts(all)
		next.Inactive = append(next.Inactive, inactive...)
		route := *winner
		next.Routes = append(next.Routes, &route)
		next.byHost[route.Host] = append(next.byHost[route.Host], &route)
	}
	if next.quotaSum = s.QuotaChecksum(); t != nil && t.quotaSum == next.quotaSum {
		next.Quotas, next.inactiveQuotas = t.Quotas, t.inactiveQuotas
	} else {
		next.Quotas, next.inactiveQuotas = s.buildQuotas(next.Services)
	}
	next.Inactive = append(next.Inactive, next.inactiveQuotas...)
	slices.Sort(next.Inactive)
	slices.SortFunc(next.Routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	for _, all := range next.byHost {
		slices.SortFunc(all, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return next
}

// liveServices are those that stand and can be read, by name.
func (s *Set) liveServices() map[string]Service {
	all := map[string]Service{}
	for _, i := range s.Live(KindServices) {
		if r := s.parsed(i); r.err == nil {
			all[i.Name] = *r.service
		}
	}
	return all
}

// Match finds the route of a host and a path: the longest prefix.
func (t *RoutingTable) Match(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Tree is an item's body as a tree.
func (i Item) Tree() settings.Tree {
	t, _ := decode(i.Body).(settings.Tree)
	return t
}

func decode(raw []byte) any {
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.UseNumber()
	var v any
	if decoder.Decode(&v) != nil {
		return nil
	}
	return v
}
