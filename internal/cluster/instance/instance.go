// Package instance keeps the state of the instances of services at a control process. It is derived from the heartbeats that the
// process receives and from the updates that other control processes send.
//
// The package does no input or output and starts no goroutine; times are passed in as nanoseconds of one clock. Responses to requests
// don't affect the state: outlier detection is in package outlier. Start reading at Instance, Supersedes and Table.Heartbeat.
package instance

import (
	"cmp"
	"strings"
)

// State is the lifecycle state of an instance. Heartbeats can only advance it, in the order of the constants. The
// numbers are part of the encoding.
type State uint8

// The states of an instance. Gone is final: the instance has deregistered.
const (
	Ready State = iota
	Draining
	Gone
)

var stateNames = [...]string{Ready: "ready", Draining: "draining", Gone: "gone"}

func (s State) String() string { return stateNames[s] }

// Instance is one run of a server of a service. Each start of the server has a new ID.
type Instance struct {
	ID           string `json:"i"`
	Service      string `json:"s,omitempty"`
	Address      string `json:"a,omitempty"`
	Zone         string `json:"z,omitempty"`
	Version      string `json:"v,omitempty"`
	Slots        int    `json:"l,omitempty"`
	State        State  `json:"t,omitempty"`
	WarmUpUntil  int64  `json:"c,omitempty"` // nanoseconds; 0 if no warm-up was reported
	Sequence     uint64 `json:"q"`           // sequence number of the last heartbeat
	Unresponsive bool   `json:"x,omitempty"` // heartbeats are overdue
	Owner        string `json:"o,omitempty"` // name of the control process that receives the heartbeats
}

// Supersedes reports whether a is newer than b, both being states of the same instance. Gone supersedes all other states, then the
// higher Sequence wins, then Unresponsive. Remaining ties are broken by State and Owner, so that all processes agree.
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
