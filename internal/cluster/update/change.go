// Package update owns what control processes tell each other and the proxies that subscribe to them: changes, numbered within one
// incarnation of a control process, and the snapshots that a subscriber receives when it has missed more changes than are kept.
//
// The package does no input or output, reads no clock and starts no goroutine. It neither decides what changes nor sends it: streams
// and subscriptions belong to the control server and the proxy. Begin reading at Change, Log and Message; Snapshot, Transfer and
// Assembly are the way of a snapshot.
package update

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
)

// Evidence is what a proxy judges a version by. The first of each pair is about failures, the second about latency.
type Evidence struct {
	Outcomes  [2]float64 `json:"n"`
	Excess    [2]float64 `json:"x"`
	Error     [2]float64 `json:"e"`
	Threshold [2]float64 `json:"t"`
	Allowance float64    `json:"l"` // requests that the proxy may still send to the version at once
}

// Vote is a proxy's vote on a rollout. It counts until it expires, or until one without a verdict withdraws it.
type Vote struct {
	Proxy      string    `json:"f"`
	Service    string    `json:"s"`
	Number     uint64    `json:"o"` // of the rollout
	Verdict    uint8     `json:"v"`
	ReceivedAt int64     `json:"t"` // by control, in nanoseconds of the sender's clock
	Evidence   *Evidence `json:"g,omitempty"`
	ReportOnly bool      `json:"w,omitempty"` // no vote: it only reports the evidence
}

// Change is one change; one of its pointers is set. Times are in nanoseconds of the sender's clock.
type Change struct {
	Item             *config.Item       `json:"i,omitempty"`
	Instance         *instance.Instance `json:"h,omitempty"`
	Proxy            *Proxy             `json:"f,omitempty"`
	Vote             *Vote              `json:"p,omitempty"`
	Ejection         *outlier.Ejection  `json:"a,omitempty"`
	RolloutStartedAt int64              `json:"o,omitempty"` // with the item of a rollout
	FirstHand        bool               `json:"-"`           // other control processes don't know it yet
}

// subject is what a change is about.
type subject struct{ kind, name, service string }

func (c Change) subject() subject {
	switch {
	case c.Item != nil:
		return subject{kind: "item " + c.Item.Kind, name: c.Item.Name}
	case c.Instance != nil:
		return subject{kind: "instance", name: c.Instance.ID}
	case c.Proxy != nil:
		return subject{kind: "proxy", name: c.Proxy.Name}
	case c.Vote != nil:
		return subject{kind: "vote", name: c.Vote.Proxy, service: c.Vote.Service}
	case c.Ejection != nil:
		return subject{kind: "ejection", name: c.Ejection.ID}
	}
	return subject{}
}

// Compact keeps the last of several changes of one subject, and the order of those that it keeps. It may change the given list.
func Compact(changes []Change) []Change {
	if len(changes) < 2 {
		return changes
	}
	seen := make(map[subject]bool, len(changes))
	first := len(changes)
	for i := len(changes) - 1; i >= 0; i-- {
		key := changes[i].subject()
		if seen[key] {
			continue
		}
		seen[key] = true
		first--
		changes[first] = changes[i]
	}
	return changes[first:]
}
