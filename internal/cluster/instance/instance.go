// Package instance owns what a control process knows of the instances of services: their state by their heartbeats, and by what other
// control processes announce of them.
//
// The package does no input or output and starts no goroutine; times are passed in, in nanoseconds of one clock. It never judges an
// instance by its responses to requests: that is package outlier. Begin reading at Instance, Supersedes and Table.Heartbeat.
package instance

import (
	"cmp"
	"strings"
)

// State is what an instance reports of itself, or that it has ended. It changes only in the order of the constants.
type State uint8

// The states of an instance.
const (
	Ready State = iota
	Draining
	Gone
)

var stateNames = [...]string{Ready: "ready", Draining: "draining", Gone: "gone"}

func (s State) String() string { return stateNames[s] }

// Instance is one run of a server of a service: each start has an ID of its own.
type Instance struct {
	ID           string `json:"i"`
	Service      string `json:"s,omitempty"`
	Address      string `json:"a,omitempty"`
	Zone         string `json:"z,omitempty"`
	Version      string `json:"v,omitempty"`
	Slots        int    `json:"l,omitempty"`
	State        State  `json:"t,omitempty"`
	WarmUpUntil  int64  `json:"c,omitempty"` // nanoseconds, 0 if it isn't warming up
	Sequence     uint64 `json:"q"`           // of the last heartbeat
	Unresponsive bool   `json:"x,omitempty"` // its owner misses heartbeats
	Owner        string `json:"o,omitempty"` // the control process that receives its heartbeats
}

// Supersedes reports whether a is newer than b, an instance of the same ID. One that is gone stays so; then the later heartbeat
// counts, then what the owner says of missed heartbeats.
func Supersedes(a, b Instance) bool {
	if aGone, bGone := a.State >= Gone, b.State >= Gone; aGone != bGone {
		return aGone
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Unresponsive != b.Unresponsive {
		return a.Unresponsive
	}
	return cmp.Or(cmp.Compare(a.State, b.State), strings.Compare(a.Owner, b.Owner)) > 0
}

func compareIDs(a, b Instance) int { return strings.Compare(a.ID, b.ID) }
