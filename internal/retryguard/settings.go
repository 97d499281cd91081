// Package retryguard protects hosts from retry storms. It detects that the share of retries is higher than in calm traffic,
// admits then only what hosts that come back can do, and makes appointments for the requests that it rejects. It has no
// clock and no I/O: every call brings the time, in nanoseconds, and chance comes from a seed. It sends nothing and knows no
// host's address. docs/storms.md compares the ways to do it.
//
// A Guard is asked about each request before the decision engine, and is called with every final answer and every attempt's
// end. Begin reading at Guard.Admit.
package retryguard

import (
	"fmt"
	"math"
)

// second is a second in nanoseconds, the unit of all times here.
const second = int64(1e9)

// Tuning is what an operator may set; the schema of the operator's file has the bounds and says what each is for. Its JSON
// form is that of the file.
type Tuning struct {
	On          bool    `json:"on"`
	Ceiling     float64 `json:"ceiling"`
	FirstShare  float64 `json:"first_share"`
	Budget      float64 `json:"budget"`
	Threshold   float64 `json:"threshold"`
	MemoryBytes int     `json:"memory"`  // bytes
	Horizon     int64   `json:"horizon"` // nanoseconds
}

// Defaults returns the settings of a guard that is switched on without any.
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

// Class is what a guard needs to know of a class of requests.
type Class struct {
	LatencyTarget, Timeout int64   // from the first byte of the request, nanoseconds
	Value                  float64 // of a request that is answered in time
}

// Settings are those of the deployment; they come with a router's own settings.
type Settings struct {
	Tuning
	Classes       []Class
	Customers     int
	Routers       int     // of the deployment, with this one
	ColdCapacity  float64 // share of its capacity that a host has at its start
	WarmUpTime    int64   // nanoseconds until it has all of it
	MaxRetryAfter int64   // the longest wait that is given to a client, nanoseconds, 0 for none
}

// check returns an error that names the first setting which is out of its bounds.
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
			return fmt.Errorf("storm.%s: %v is not within %v and %v", bound.name, bound.value, bound.low, bound.high)
		}
	}
	return nil
}

// fingerprintLifetime is how long a fingerprint must be remembered: until the last appointment, or until its client gives up.
func (s Settings) fingerprintLifetime() int64 {
	lifetime := s.Horizon + 2*second
	for _, class := range s.Classes {
		lifetime = max(lifetime, s.Horizon+class.Timeout)
	}
	return lifetime
}
