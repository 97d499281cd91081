package config

import (
	"math"
	"strings"

	"portflow/internal/cluster/settings"
)

// Route is a parsed route, as proxies use it. Durations are in nanoseconds.
type Route struct {
	Name, Host, Prefix     string
	Idempotent             bool // requests may be executed more than once
	Timeout, LatencyTarget int64
	Priority               int // 0 is highest
	Backends               []WeightedService
	MaxAttempts            int // maximum number of instances that a request may be sent to
	HomeRegions            []string
	Version                uint64
}

// WeightedService is a backend of a route. It receives requests in proportion to its weight among the route's backends.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a parsed service, as proxies use it.
type Service struct {
	Name, HealthPath string
	MaxConnections   int     // per instance
	WarmUp           int64   // duration of the warm-up of a new instance, in nanoseconds
	WarmUpPerSecond  float64 // limit of requests per second to an instance during warm-up; +Inf if unlimited
	Version          uint64
}

// Limits bound the requests of clients. Durations are in nanoseconds.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          int64
	IdleTimeout            int64
}

// DefaultLimits apply if the set has no valid limits.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3e9, IdleTimeout: 15e9}

// MaxHeaderBytesLimit is the maximum value of the header-bytes limit.
const MaxHeaderBytesLimit = 1 << 30

// Bounds of the other fields. They are inclusive except where noted.
const (
	maxTimeoutSeconds      = 600.0 // for the timeout of a route
	maxTargetExcessSeconds = 60.0  // exclusive bound of how far a latency target may exceed the timeout
	maxLimitSeconds        = 86400 // for warm-up and the timeouts in limits
	minLimitSeconds        = 0.001 // for the timeouts in limits
	maxBodyBytes           = 1 << 40
	maxConnectionLimit     = 1 << 20 // also the default
	maxPriority            = 1000
	maxMaxAttempts         = 1000
	maxNumber              = 1e6 // for all other numbers
	nanosPerSecond         = 1e9
)

// ParseRoute parses and validates the fields of a route. Errors are recorded in the reader.
func ParseRoute(reader settings.Reader) Route {
	route := Route{
		Name:        reader.At("name").Text(),
		Host:        strings.ToLower(reader.At("host-name").Text()),
		Prefix:      reader.At("path-prefix").Text(),
		Timeout:     reader.At("timeout-s").Seconds(0, maxTimeoutSeconds),
		MaxAttempts: 1,
		HomeRegions: reader.At("home-regions").Strings(),
	}
	checkPath(reader.At("path-prefix"), route.Prefix)
	route.Idempotent = parseIdempotent(reader.At("route-kind"))
	route.LatencyTarget = route.Timeout
	if target := reader.At("target-s"); target.Exists() {
		route.LatencyTarget = target.Seconds(0, maxNumber)
	}
	if route.LatencyTarget >= route.Timeout+int64(maxTargetExcessSeconds*nanosPerSecond) {
		reader.At("target-s").Errorf("must be less than 60 seconds above timeout-s")
	}
	if priority := reader.At("priority-level"); priority.Exists() {
		route.Priority = priority.Int(0, maxPriority)
	}
	if attempts := reader.At("maximum-attempts"); attempts.Exists() {
		route.MaxAttempts = max(1, attempts.Int(0, maxMaxAttempts))
	}
	route.Backends = parseBackends(reader)
	return route
}

// parseIdempotent parses route-kind and reports whether requests of the route may be executed more than once.
func parseIdempotent(reader settings.Reader) bool {
	switch kind := reader.Text(); kind {
	case "safe_method":
		return true
	case "unsafe_method", "":
	default:
		reader.Errorf("%q is neither safe_method nor unsafe_method", kind)
	}
	return false
}

// parseBackends parses the backends of a route: a single service, or a weighted split.
func parseBackends(route settings.Reader) (backends []WeightedService) {
	split := route.At("weighted-split")
	if !split.Exists() {
		return []WeightedService{{Service: route.At("service").Text(), Weight: 1}}
	}
	if route.At("service").Exists() {
		split.Errorf("can't be combined with service; set one of the two")
		return nil
	}
	sum := 0.0
	for _, entry := range split.List() {
		backend := WeightedService{
			Service: entry.At("service").Text(),
			Weight:  entry.At("share-weight").Float(0, maxNumber),
		}
		sum += backend.Weight
		backends = append(backends, backend)
	}
	if sum <= 0 {
		split.Errorf("at least one share-weight must be above 0")
	}
	return backends
}

// checkPath records an error in the reader unless the path begins with a slash.
func checkPath(reader settings.Reader, path string) {
	if !strings.HasPrefix(path, "/") {
		reader.Errorf("%q does not begin with a slash", path)
	}
}

// ParseService parses and validates the fields of a service. Errors are recorded in the reader.
func ParseService(reader settings.Reader) Service {
	service := Service{
		Name:            reader.At("name").Text(),
		HealthPath:      reader.At("health-path").Text(),
		MaxConnections:  maxConnectionLimit,
		WarmUpPerSecond: math.Inf(1),
	}
	if limit := reader.At("connection-limit"); limit.Exists() {
		service.MaxConnections = limit.Int(1, maxConnectionLimit)
	}
	checkPath(reader.At("health-path"), service.HealthPath)
	if protocol := reader.At("protocol"); protocol.Exists() && protocol.Text() != "h1" {
		protocol.Errorf("%q is not supported; the only supported protocol is h1", protocol.Value())
	}
	if security := reader.At("transport-security"); security.Exists() && security.Bool() {
		security.Errorf("TLS to instances is not supported; must be false or left out")
	}
	if warmUp := reader.At("cold-start-s"); warmUp.Exists() {
		service.WarmUp = warmUp.Seconds(0, maxLimitSeconds)
	}
	if rate := reader.At("cold-per-s"); rate.Exists() {
		service.WarmUpPerSecond = rate.Float(0, maxNumber)
	}
	return service
}

// ParseLimits parses and validates the limits. Errors are recorded in the reader.
func ParseLimits(reader settings.Reader) Limits {
	return Limits{
		HeaderBytes:   reader.At("header-bytes").Int(1, MaxHeaderBytesLimit),
		BodyBytes:     reader.At("body-bytes").Int(0, maxBodyBytes),
		HeaderTimeout: reader.At("header-timeout-s").Seconds(minLimitSeconds, maxLimitSeconds),
		IdleTimeout:   reader.At("idle-timeout-s").Seconds(minLimitSeconds, maxLimitSeconds),
	}
}
