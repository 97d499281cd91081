// Package operation defines the operations that operators and control processes submit to the replicated set of items, and the items that
// each operation sets. It determines whether an operation is rejected, has already been carried out, or takes effect. It has no side
// effects and never modifies a set: the caller applies the items that Apply returns once they are committed.
//
// Operations are idempotent by content: one that is submitted again turns out to be done already. Start with Apply.
package operation

import (
	"fmt"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/membership"
)

// Kind is the type of an operation. The values are part of the wire format.
type Kind string

// The kinds of operations.
const (
	ModifyConfig      Kind = "modify"   // sets and deletes items of the configuration
	Evacuate          Kind = "evacuate" // begins or withdraws the evacuation of a zone
	BeginRollout      Kind = "begin"    // begins a rollout of a service
	EndRollout        Kind = "end"      // ends a rollout as completed or rolled back
	CompleteSwitch    Kind = "tell"     // records that the proxies have left the old instances of a completed rollout
	SetInitialVersion Kind = "settle"   // sets the first stable version of a service
	ChangeMembers     Kind = "join"     // adds, removes and excludes voting members
	RestoreSnapshot   Kind = "restore"  // replaces all items except the members with those of a snapshot, in a new epoch
)

// MaxChangeBytes limits the size of a submitted configuration change: the names and bodies of its items plus a fixed overhead per item.
const MaxChangeBytes = 8 << 20

// MaxValueBytes limits the value of one log index, measured by config.EncodedSizeBound. A value is sent in a single frame, and again with
// each promise until it is committed.
const MaxValueBytes = 20 << 20

// Operation is an operation on the replicated set. Times and durations are in nanoseconds. Fields are encoded in the order of declaration.
type Operation struct {
	Kind            Kind                `json:"k"`
	Name            string              `json:"o,omitempty"` // name of the zone or service
	Items           []config.Item       `json:"i,omitempty"`
	Active          bool                `json:"b,omitempty"` // Evacuate: true begins the evacuation, false withdraws it
	TargetVersion   string              `json:"t,omitempty"`
	Duration        int64               `json:"d,omitempty"`
	SubmittedAt     int64               `json:"n,omitempty"` // Unix time
	ClockAgreed     bool                `json:"w,omitempty"` // the clocks of a majority of the members agree on SubmittedAt
	RetryWindow     int64               `json:"a,omitempty"` // BeginRollout: how long after Duration a client may still retry it
	KnownRollout    uint64              `json:"y,omitempty"` // number of the service's newest rollout known to the submitting process
	KnownRolloutAge int64               `json:"g,omitempty"` // how long that process has known KnownRollout
	Expected        uint64              `json:"u,omitempty"` // rollout number for EndRollout and CompleteSwitch; epoch for ChangeMembers (0 for any) and RestoreSnapshot
	Outcome         rollout.State       `json:"s,omitempty"` // EndRollout: rollout.Completed or rollout.RolledBack
	Add             []membership.Member `json:"m,omitempty"`
	Remove          []string            `json:"x,omitempty"` // IP addresses
	Exclude         []membership.Member `json:"h,omitempty"` // members and learners that must not rejoin automatically
	Version         string              `json:"v,omitempty"` // SetInitialVersion: version of the service; RestoreSnapshot: unique name of the restore
	Conditional     bool                `json:"c,omitempty"` // takes effect only while the item that it changes has version BaseVersion
	BaseVersion     uint64              `json:"z,omitempty"`
}

// String describes the operation in logs and errors.
func (o Operation) String() string {
	return fmt.Sprintf("%s %s, %d items", o.Kind, o.Name, len(o.Items))
}

// Apply returns the items that the operation sets on top of s, none if it has been carried out already. An error, which has an
// apierror.Kind, means that no part of the operation takes effect. Only a Conflict is final: any other outcome may differ on a newer
// set, so the caller has to know whether s is the latest.
func Apply(s *config.Set, o Operation) ([]config.Item, error) {
	items, err := applyUnbounded(s, o)
	if size := config.EncodedSizeBound(items); size > MaxValueBytes {
		return nil, apierror.New(apierror.BodyTooLarge, "%v: value of up to %d bytes exceeds the limit of %d bytes for one message between control processes", o, size, MaxValueBytes)
	}
	return items, err
}

// applyUnbounded is Apply without the size limit.
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
	return nil, apierror.New(apierror.Malformed, "unknown operation kind %q", o.Kind)
}
