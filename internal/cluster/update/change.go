// Package update defines the updates that a control process sends to its subscribers, which are proxies and other control processes:
// changes, numbered within one incarnation of the control process, and snapshots for subscribers that have missed more changes than
// the log keeps.
//
// The package performs no I/O, reads no clock and starts no goroutines. It neither originates changes nor sends them; the streams belong
// to the control server and the proxy. Start reading at Change, Log and Message. Snapshot, Transfer and Assembly encode, send and
// receive a snapshot.
package update

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
)

// Evidence is the statistics by which a proxy votes on a version under trial. Element 0 of each pair is for failures, element 1 for
// latency. The fields are those of decision.TrialStatistics.
type Evidence struct {
	Outcomes  [2]float64 `json:"n"`
	Excess    [2]float64 `json:"x"`
	Error     [2]float64 `json:"e"`
	Threshold [2]float64 `json:"t"`
	Allowance float64    `json:"l"` // number of requests that the proxy may send to the version now
}

// Vote is a proxy's vote on a rollout. It is valid until it expires or the proxy's next vote replaces it; decision.NoVote withdraws it.
type Vote struct {
	Proxy      string    `json:"f"`
	Service    string    `json:"s"`
	Number     uint64    `json:"o"` // number of the rollout
	Verdict    uint8     `json:"v"` // a decision.Verdict
	ReceivedAt int64     `json:"t"` // time at which control received it, in nanoseconds of the sender's clock
	Evidence   *Evidence `json:"g,omitempty"`
	ReportOnly bool      `json:"w,omitempty"` // not a vote, only a report of the evidence
}

// Change is a change of one object: exactly one of the pointers is set. Times are in nanoseconds of the sender's clock.
type Change struct {
	Item             *config.Item       `json:"i,omitempty"`
	Instance         *instance.Instance `json:"h,omitempty"`
	Proxy            *Proxy             `json:"f,omitempty"`
	Vote             *Vote              `json:"p,omitempty"`
	Ejection         *outlier.Ejection  `json:"a,omitempty"`
	RolloutStartedAt int64              `json:"o,omitempty"` // start of the rollout, if Item is a rollout
	FirstHand        bool               `json:"-"`           // to be sent to other control processes too
}

// subject identifies the object of a change.
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

// Compact returns the last change of each object, in order. It may overwrite the given slice, and the result shares its memory.
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
