// Package retryguard tells a storm of repeated tries from ordinary traffic, keeps what it lets in within what hosts that
// return can do, and makes appointments for those it sends away. It has no clock and no I/O: every call brings the
// time, in nanoseconds, and chance comes from a seed. docs/storms.md weighs the ways.
//
// A Guard is asked before a command goes to the rules, and is told every final answer and every hand-off's end.
package retryguard

import (
	"fmt"
	"math"
)

const second = int64(1e9)

// Tuning is what an operator may set; the schema of the operator's file has the bounds and says what each is for.
type Tuning struct {
	On          bool    `json:"on"`
	Ceiling     float64 `json:"ceiling"`
	FirstShare  float64 `json:"first_share"`
	Budget      float64 `json:"budget"`
	Threshold   float64 `json:"threshold"`
	MemoryBytes int     `json:"memory"`  // bytes
	Horizon     int64   `json:"horizon"` // nanoseconds
}

// Defaults are the settings of a part that is switched on without any.
func Defaults() Tuning {
	return Tuning{On: true, Ceiling: 1.1, FirstShare: 0.5, Budget: 0.2, Threshold: 0.25, MemoryBytes: 256 << 10, Horizon: 5 * second}
}

// Class is what a guard reads of a band of commands.
type Class struct {
	LatencyTarget, Timeout int64   // from the client's first byte, nanoseconds
	Value                  float64 // what one fulfilled in time is worth
}

// Settings are what the deployment says; they come with a router's own settings.
type Settings struct {
	Tuning
	Classes       []Class
	Customers     int
	Routers       int     // of the deployment, this one included
	ColdCapacity  float64 // part of its capacity that a host which has just started has
	WarmUpTime    int64   // until it is warm, nanoseconds
	MaxRetryAfter int64   // the longest wait that a client may be told, 0 for none
}

func (s Settings) check() error {
	tuning := s.Tuning
	for _, bound := range []struct {
		name      string
		is        float64
		low, high float64
	}{
		{"ceiling", tuning.Ceiling, 0.2, 2}, {"first_share", tuning.FirstShare, 0, 0.9}, {"budget", tuning.Budget, 0, 2},
		{"threshold", tuning.Threshold, 0.05, 0.9}, {"memory", float64(tuning.MemoryBytes), 4 << 10, 64 << 20},
		{"horizon", float64(tuning.Horizon), float64(second / 2), float64(60 * second)},
		{"bands", float64(len(s.Classes)), 1, math.MaxInt32}, {"routers", float64(s.Routers), 1, math.MaxInt32},
	} {
		if !(bound.is >= bound.low && bound.is <= bound.high) {
			return fmt.Errorf("storm.%s: %v is not within %v and %v", bound.name, bound.is, bound.low, bound.high)
		}
	}
	return nil
}
