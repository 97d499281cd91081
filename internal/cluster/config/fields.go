package config

import (
	"math"
	"strings"

	"portflow/internal/cluster/settings"
)

// Route is a route as proxies go by it. Times are in nanoseconds.
type Route struct {
	Name, Host, Prefix     string
	Idempotent             bool // its requests may run more than once
	Timeout, LatencyTarget int64
	Priority               int // 0 is highest
	Backends               []WeightedService
	MaxAttempts            int // instances that one request may be sent to
	HomeRegions            []string
	Version                uint64
}

// WeightedService is a service that serves a part of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a service as proxies go by it.
type Service struct {
	Name, HealthPath string
	MaxConnections   int     // to one instance
	WarmUp           int64   // of a new instance, in nanoseconds
	WarmUpPerSecond  float64 // requests a second to an instance that warms up; infinite for no limit
	Version          uint64
}

// Limits bound what clients may send. Times are in nanoseconds.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          int64
	IdleTimeout            int64
}

// DefaultLimits are the limits where none are set.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3e9, IdleTimeout: 15e9}

// MaxHeaderBytesLimit is the highest header-bytes that may be set.
const MaxHeaderBytesLimit = 1 << 30

// The bounds of other fields.
const (
	maxTimeoutSeconds      = 600.0 // of a route
	maxTargetExcessSeconds = 60.0  // that a latency target may exceed the timeout by; it must be less
	maxLimitSeconds        = 86400 // of warm-up and of the limits' timeouts
	minLimitSeconds        = 0.001 // of the limits' timeouts
	maxBodyBytes           = 1 << 40
	maxConnectionLimit     = 1 << 20 // also where none is set
	maxPriority            = 1000
	maxMaxAttempts         = 1000
	maxNumber              = 1e6 // of any other number
	nanosPerSecond         = 1e9
)

// ParseRoute parses and checks the fields of a route; errors are noted in the reader.
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
		reader.At("target-s").Errorf("a minute or more over timeout-s")
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

// parseIdempotent reads whether a route's requests may run more than once.
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

// parseBackends parses the services of a route: one, or several with weights.
func parseBackends(route settings.Reader) (backends []WeightedService) {
	split := route.At("weighted-split")
	if !split.Exists() {
		return []WeightedService{{Service: route.At("service").Text(), Weight: 1}}
	}
	if route.At("service").Exists() {
		split.Errorf("beside a service")
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
		split.Errorf("no weight above 0")
	}
	return backends
}

// checkPath notes an error unless a path begins with a slash.
func checkPath(reader settings.Reader, path string) {
	if !strings.HasPrefix(path, "/") {
		reader.Errorf("%q does not begin with a slash", path)
	}
}

// ParseService parses and checks the fields of a service; errors are noted in the reader.
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
		protocol.Errorf("%q is not h1", protocol.Value())
	}
	if security := reader.At("transport-security"); security.Exists() && security.Bool() {
		security.Errorf("not spoken here")
	}
	if warmUp := reader.At("cold-start-s"); warmUp.Exists() {
		service.WarmUp = warmUp.Seconds(0, maxLimitSeconds)
	}
	if rate := reader.At("cold-per-s"); rate.Exists() {
		service.WarmUpPerSecond = rate.Float(0, maxNumber)
	}
	return service
}

// ParseLimits parses and checks the limits; errors are noted in the reader.
func ParseLimits(reader settings.Reader) Limits {
	return Limits{
		HeaderBytes:   reader.At("header-bytes").Int(1, MaxHeaderBytesLimit),
		BodyBytes:     reader.At("body-bytes").Int(0, maxBodyBytes),
		HeaderTimeout: reader.At("header-timeout-s").Seconds(minLimitSeconds, maxLimitSeconds),
		IdleTimeout:   reader.At("idle-timeout-s").Seconds(minLimitSeconds, maxLimitSeconds),
	}
}
