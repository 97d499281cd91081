// Package operation defines the operations that operators and the control processes submit to the replicated set of items, and which
// items each of them sets. It owns the rules by which an operation is refused, is done already or takes effect. It is pure, and never
// changes a set: the caller applies what Apply returns once it is decided.
//
// Operations are idempotent by their content: one that is submitted again finds that it is done. Begin reading at Apply.
package operation

import (
	"fmt"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/membership"
)

// Kind says what an operation does. The values are sent.
type Kind string

// The kinds of operations.
const (
	ModifyConfig      Kind = "modify"   // sets and deletes items of the configuration
	Evacuate          Kind = "evacuate" // begins or withdraws the evacuation of a zone
	BeginRollout      Kind = "begin"    // begins a rollout of a service
	EndRollout        Kind = "end"      // ends a rollout, as completed or rolled back
	CompleteSwitch    Kind = "tell"     // records that the proxies have left the old instances of a completed rollout
	SetInitialVersion Kind = "settle"   // sets the first stable version of a service
	ChangeMembers     Kind = "join"     // adds and removes members of the core
	RestoreSnapshot   Kind = "restore"  // replaces all items but the members by those of a snapshot, in a new epoch
)

// MaxChangeBytes is how large a change of the configuration may be as it is submitted, in bytes.
const MaxChangeBytes = 8 << 20

// MaxValueBytes is how much one log index may set, in bytes by config.EncodedSizeBound: a value is sent in one frame, and again with
// each promise until it is decided.
const MaxValueBytes = 20 << 20

// Operation is one operation. Times and durations are nanoseconds. The order of the fields is that of the encoding.
type Operation struct {
	Kind            Kind                `json:"k"`
	Name            string              `json:"o,omitempty"` // of the zone or the service
	Items           []config.Item       `json:"i,omitempty"`
	Active          bool                `json:"b,omitempty"` // Evacuate: begin it, or else withdraw it
	TargetVersion   string              `json:"t,omitempty"`
	Duration        int64               `json:"d,omitempty"`
	SubmittedAt     int64               `json:"n,omitempty"` // Unix time
	ClockAgreed     bool                `json:"w,omitempty"` // the clocks of a majority of the members agree on SubmittedAt
	RetryWindow     int64               `json:"a,omitempty"` // BeginRollout: for how long after Duration a client may still repeat it
	KnownRollout    uint64              `json:"y,omitempty"` // the number of the service's newest rollout, as known where the operation was submitted
	KnownRolloutAge int64               `json:"g,omitempty"` // for how long that rollout has been known there
	Expected        uint64              `json:"u,omitempty"` // the number of the rollout that ends; the epoch for ChangeMembers (0 for any) and RestoreSnapshot
	Outcome         rollout.State       `json:"s,omitempty"` // EndRollout: rollout.Completed or rollout.RolledBack
	Add             []membership.Member `json:"m,omitempty"`
	Remove          []string            `json:"x,omitempty"` // IP addresses
	Exclude         []membership.Member `json:"h,omitempty"` // those removed that must not join again by themselves
	Version         string              `json:"v,omitempty"` // of a service, for SetInitialVersion; the unique name of a restore
	Conditional     bool                `json:"c,omitempty"` // it takes effect only while the item it changes has version BaseVersion
	BaseVersion     uint64              `json:"z,omitempty"`
}

// String describes the operation in logs and errors.
func (o Operation) String() string {
	return fmt.Sprintf("%s %s, %d items", o.Kind, o.Name, len(o.Items))
}

// Apply returns the items that the operation sets on top of a set, none if it is done already. An error says why the operation can't
// take effect; then no part of it does. Its kind is that of apierror. Only a Conflict is final: any other outcome may be different on a
// newer set, and the caller has to know whether s is the newest.
func Apply(s *config.Set, o Operation) ([]config.Item, error) {
	items, err := applyUnbounded(s, o)
	if size := config.EncodedSizeBound(items); size > MaxValueBytes {
		return nil, apierror.New(apierror.BodyTooLarge, "%v: %d bytes, of at most %d that go between control processes at once", o, size, MaxValueBytes)
	}
	return items, err
}

// applyUnbounded is Apply without the bound on the size.
func applyUnbounded(s *config.Set, o Operation) ([]config.Item, error) {
	switch o.Kind {
	case ModifyConfig:
		return modifyConfig(s, o.Items)
	case Evacuate:
		return o.checkCondition(s, setEvacuation(s, o))
	case BeginRollout:
		items, err := beginRollout(s, o)
		if err != nil {
			return nil, err
		}
		return o.checkCondition(s, items)
	case EndRollout:
		return endRollout(s, o), nil
	case CompleteSwitch:
		return completeSwitch(s, o), nil
	case SetInitialVersion:
		return setInitialVersion(s, o), nil
	case ChangeMembers:
		return changeMembers(s, o)
	case RestoreSnapshot:
		return restoreSnapshot(s, o)
	}
	return nil, apierror.New(apierror.Malformed, "no such order: %q", o.Kind)
}
