// Package retryguard protects recovering hosts from retry storms. It detects a ratio of retries well above that of normal
// traffic. During a retry storm, it limits admission to the capacity of the hosts and gives each rejected request an appointment:
// a time at which capacity is reserved for the retry, sent to the client as Retry-After.
//
// The package has no clock and does no I/O: the current time, in nanoseconds, is an argument of every call, and random
// numbers depend only on a seed. docs/storms.md compares it with other approaches.
//
// A Guard decides about each request before the decision engine does, and is notified of each final answer and of the end of each
// attempt. Start reading at Guard.Admit.
package retryguard

import (
	"fmt"
	"math"
)

// second is one second in nanoseconds, the unit of all times and durations in this package unless noted otherwise.
const second = int64(1e9)

// Tuning has the settings that an operator may change. The JSON form is that of the operator's file, whose schema documents each
// setting and its bounds.
type Tuning struct {
	On          bool    `json:"on"`
	Ceiling     float64 `json:"ceiling"`
	FirstShare  float64 `json:"first_share"`
	Budget      float64 `json:"budget"`
	Threshold   float64 `json:"threshold"`
	MemoryBytes int     `json:"memory"`  // bytes
	Horizon     int64   `json:"horizon"` // nanoseconds
}

// Defaults returns the settings of a guard that is enabled without explicit settings.
func Defaults() Tuning {
	return Tuning{
		On:          true,
		Ceiling:     1.1,
		FirstShare:  0.5,
		Budget:      0.2,
		Threshold:   0.25,
		MemoryBytes: 256 << 10,
		Horizon:     5 * second,
	}
}

// Class has the settings of a request class that are relevant to a guard.
type Class struct {
	LatencyTarget, Timeout int64   // nanoseconds from the first byte of the request
	Value                  float64 // value of an answer in time, relative to other classes
}

// Settings are the settings of a guard: the operator's Tuning, and those that follow from the router's settings.
type Settings struct {
	Tuning
	Classes       []Class
	Customers     int
	Routers       int     // number of routers in the deployment, including this one
	ColdCapacity  float64 // fraction of its capacity that a host has when it starts
	WarmUpTime    int64   // nanoseconds from the start of a host to its full capacity
	MaxRetryAfter int64   // longest wait sent to a client, in nanoseconds; 0 sends none
}

// validate returns an error that names the first setting that is out of range.
func (s Settings) validate() error {
	tuning := s.Tuning
	for _, bound := range []struct {
		name      string
		value     float64
		low, high float64
	}{
		{"ceiling", tuning.Ceiling, 0.2, 2},
		{"first_share", tuning.FirstShare, 0, 0.9},
		{"budget", tuning.Budget, 0, 2},
		{"threshold", tuning.Threshold, 0.05, 0.9},
		{"memory", float64(tuning.MemoryBytes), 4 << 10, 64 << 20},
		{"horizon", float64(tuning.Horizon), float64(second / 2), float64(60 * second)},
		{"bands", float64(len(s.Classes)), 1, math.MaxInt32},
		{"routers", float64(s.Routers), 1, math.MaxInt32},
	} {
		isWithin := bound.value >= bound.low && bound.value <= bound.high // false for NaN
		if !isWithin {
			return fmt.Errorf("storm.%s: %v is out of range, want %v to %v", bound.name, bound.value, bound.low, bound.high)
		}
	}
	return nil
}

// fingerprintLifetime returns how long fingerprints must be kept: past the last possible appointment, and until clients that were
// rejected have given up.
func (s Settings) fingerprintLifetime() int64 {
	lifetime := s.Horizon + 2*second
	for _, class := range s.Classes {
		lifetime = max(lifetime, s.Horizon+class.Timeout)
	}
	return lifetime
}
