// Package operation is what operators and the core itself ask of the control state, and what each order makes of a set of items.
// An order is idempotent by its content: sent again it finds that it stands. It is pure.
package operation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/membership"
)

// Kind is what an order does.
type Kind string

const (
	ModifyConfig      Kind = "modify"   // sets and drops items of the configuration
	Evacuate          Kind = "evacuate" // begins or withdraws a zone's evacuation
	BeginRollout      Kind = "begin"    // a rollout
	EndRollout        Kind = "end"      // of a rollout
	CompleteSwitch    Kind = "tell"     // that a rollout is completed: the routers have left its old hosts
	SetInitialVersion Kind = "settle"   // a service's first version
	ChangeMembers     Kind = "join"     // members in, and others out
	RestoreSnapshot   Kind = "restore"  // a snapshot takes the place of all that stands but the members, under a new epoch
)

// Operation is one. Times are nanoseconds.
type Operation struct {
	Kind            Kind                `json:"k"`
	Name            string              `json:"o,omitempty"` // a zone or a service
	Items           []config.Item       `json:"i,omitempty"`
	Active          bool                `json:"b,omitempty"`
	TargetVersion   string              `json:"t,omitempty"`
	Duration        int64               `json:"d,omitempty"`
	SubmittedAt     int64               `json:"n,omitempty"` // when it came, Unix
	ClockAgreed     bool                `json:"w,omitempty"` // more than half of the members' clocks agree on that
	RetryWindow     int64               `json:"a,omitempty"` // for how long after its term the same begin may come again
	KnownRollout    uint64              `json:"y,omitempty"` // the service's newest rollout as who took the order knows it
	KnownRolloutAge int64               `json:"g,omitempty"` // for how long that one has been there
	Expected        uint64              `json:"u,omitempty"` // of the rollout that ends; the epoch that a restore or a change of members goes by, there 0 for any
	Outcome         rollout.State       `json:"s,omitempty"` // how it ends
	Add             []membership.Member `json:"m,omitempty"`
	Remove          []string            `json:"x,omitempty"` // IP numbers
	Exclude         []membership.Member `json:"h,omitempty"` // of those that go: who isn't to be voted in again by itself
	Version         string              `json:"v,omitempty"` // a service's first; the name of a restore, of which there is one only
	Conditional     bool                `json:"c,omitempty"` // it holds only while what it changes is of version Base
	BaseVersion     uint64              `json:"z,omitempty"`
}

// Apply tells which items the order sets where a set stands; none where it stands already. The error tells why it can't be
// taken, and nothing of it may then come into force. Whether the set is the newest is the caller's to know; only a Conflict
// is for ever.
func Apply(s *config.Set, o Operation) ([]config.Item, error) {
	items, err := applyUnbounded(s, o)
	if size := config.EncodedSizeBound(items); size > MaxValueBytes {
		return nil, apierror.New(apierror.BodyTooLarge, "%v: %d bytes, of at most %d that go between control processes at once", o, size, MaxValueBytes)
	}
	return items, err
}

func applyUnbounded(s *config.Set, o Operation) ([]config.Item, error) {
	switch o.Kind {
	case ModifyConfig:
		return modifyConfig(s, o.Items)
	case Evacuate, BeginRollout:
		items, err := beginRollout(s, o)
		if o.Kind == Evacuate {
			items, err = setEvacuation(s, o), nil
		}
		if len(items) > 0 && o.stale(s) {
			return nil, apierror.New(apierror.Unavailable, "%s: it was changed since the order was handed over", o.Name)
		}
		return items, err
	case EndRollout:
		item, _ := s.Lookup(config.Key{Kind: config.KindRollouts, Name: o.Name})
		ro := rollout.FromItem(item)
		if ro.Number != o.Expected || ro.State != rollout.Running || o.Outcome <= rollout.Running || o.Outcome > rollout.RolledBack {
			return nil, nil // it has ended, once
		}
		ro.State, ro.EndedAt, ro.Switching = o.Outcome, o.SubmittedAt, o.Outcome == rollout.Completed
		return []config.Item{ro.Item()}, nil
	case CompleteSwitch:
		item, _ := s.Lookup(config.Key{Kind: config.KindRollouts, Name: o.Name})
		ro := rollout.FromItem(item)
		if ro.Number != o.Expected || !ro.Switching {
			return nil, nil
		}
		ro.Switching = false
		return []config.Item{ro.Item()}, nil
	case SetInitialVersion:
		key := config.Key{Kind: config.KindStableVersions, Name: o.Name}
		if _, there := s.Lookup(key); there {
			return nil, nil
		}
		body, _ := json.Marshal(map[string]string{"version": o.Version})
		return []config.Item{{Kind: key.Kind, Name: key.Name, Version: 1, Body: body}}, nil
	case ChangeMembers:
		list := membership.FromSet(s)
		next := list.Change(o.Add, o.Remove)
		if o.Expected != 0 && o.Expected != list.Epoch {
			return nil, apierror.New(apierror.Unavailable, "the members have changed since: epoch %d, not %d", list.Epoch, o.Expected)
		}
		if next.Epoch == list.Epoch && !slices.ContainsFunc(o.Exclude, func(m membership.Member) bool { return !list.Excludes(m.ID) }) {
			return nil, nil
		}
		next.Epoch = list.Epoch + 1
		return []config.Item{next.Exclude(o.Exclude).Item()}, nil
	case RestoreSnapshot:
		list := membership.FromSet(s)
		switch {
		case slices.Contains(list.RestoredSnapshots, o.Version): // it has been in force, whatever came since
			return nil, nil
		case o.Expected != list.Epoch:
			return nil, apierror.New(apierror.Unavailable, "the members or all that stands have changed since: epoch %d, not %d", list.Epoch, o.Expected)
		}
		return restoreValue(list.WithRestored(o.Version), o.Items), nil
	}
	return nil, apierror.New(apierror.Malformed, "no such order: %q", o.Kind)
}

// ReplaceAllKey is the mark of a value that takes the place of all that stands, whatever its versions.
var ReplaceAllKey = config.Key{Kind: config.KindCore, Name: "whole"}

// ReplacesAll tells whether a value does.
func ReplacesAll(value []config.Item) bool { return len(value) > 0 && value[0].Key() == ReplaceAllKey }

// restoreValue is the value that makes what stands into a snapshot: the members stay, their epoch rises, so that routers take
// lower versions too.
func restoreValue(list membership.List, items []config.Item) []config.Item {
	value := []config.Item{{Kind: ReplaceAllKey.Kind, Name: ReplaceAllKey.Name, Version: list.Epoch}, list.Item()}
	for _, i := range items {
		if i.Kind != config.KindCore {
			value = append(value, i)
		}
	}
	return value
}

// MaxChangeBytes is how much a change may hold, bytes, as it comes.
const MaxChangeBytes = 8 << 20

// MaxValueBytes is how much one number may set, bytes as manifest.Laid tells: it goes between control processes in one frame, and is told
// again with each promise until it is decided.
const MaxValueBytes = 20 << 20

// conditionKey is what an order changes whose outcome rests on what stands.
func (o Operation) conditionKey() (config.Key, bool) {
	switch o.Kind {
	case Evacuate:
		return config.Key{Kind: config.KindEvacuations, Name: o.Name}, true
	case BeginRollout:
		return config.Key{Kind: config.KindRollouts, Name: o.Name}, true
	}
	return config.Key{}, false
}

// DependsOnState tells whether that an order stands already rests on what stands now: a change's numbers have one content for ever, and a
// restore's name is kept.
func (o Operation) DependsOnState() bool {
	_, ok := o.conditionKey()
	return ok
}

// Bind is the order as it is handed to another process: it holds only while what it changes stands as it does here, so that
// no copy of it comes into force after a later order.
func Bind(s *config.Set, o Operation) Operation {
	if k, ok := o.conditionKey(); ok {
		i, _ := s.Lookup(k)
		o.Conditional, o.BaseVersion = true, i.Version
	}
	return o
}

// stale tells that an order was bound to what stands no more.
func (o Operation) stale(s *config.Set) bool {
	k, ok := o.conditionKey()
	i, _ := s.Lookup(k)
	return ok && o.Conditional && i.Version != o.BaseVersion
}

// modifyConfig takes a change as a whole or not at all: one number, one content. What is behind what stands changes nothing; a
// rival of one of the versions that are still known is refused, with all that came with it. So is a call with a version that is
// older than those, where the rest of it would be news: refused before for a rival, it would come into force in part.
func modifyConfig(s *config.Set, change []config.Item) ([]config.Item, error) {
	var unseen []config.Item
	var forgotten *config.Item
	size := 0
	for at, item := range change {
		if size += len(item.Body) + len(item.Name) + 64; size > MaxChangeBytes {
			return nil, apierror.New(apierror.BodyTooLarge, "the change has %d items; from %s %s on it is over %d bytes", len(change), item.Kind, item.Name, MaxChangeBytes)
		}
		old, exists := s.Lookup(item.Key())
		if exists && old.Version == item.Version && !old.Equal(item) {
			return nil, conflict(item, old)
		}
		known, sameContent := old.MatchesPast(item)
		if known && !sameContent {
			return nil, apierror.New(apierror.Conflict, "%s %s: version %s was taken with another content; version %s stands as %s", item.Kind, item.Name,
				config.FormatVersion(item.Version), config.FormatVersion(old.Version), describe(old))
		}
		if exists && !known && forgotten == nil && old.PredatesHistory(item) {
			forgotten = &change[at]
		}
		if !(exists && (old.Equal(item) || known)) { // what was taken is no error, whatever stands now
			unseen = append(unseen, item)
		}
	}
	updated, err := s.CheckChange(unseen)
	if err == nil && len(updated) > 0 && forgotten != nil { // it may have been refused for that one; if it had been taken, all of it would stand
		old, _ := s.Lookup(forgotten.Key())
		return nil, apierror.New(apierror.Conflict, "%s %s: version %s is older than the %d before version %s, which stands as %s, and %s %s of its call was never taken: nothing of it is",
			forgotten.Kind, forgotten.Name, config.FormatVersion(forgotten.Version), config.MaxHistory, config.FormatVersion(old.Version), describe(old), updated[0].Kind, updated[0].Name)
	}
	for at, item := range updated {
		if old, exists := s.Lookup(item.Key()); exists {
			updated[at] = item.WithHistory(old)
		}
	}
	return updated, err
}

// conflict names the item, the field that differs and the content that stands.
func conflict(i, old config.Item) error {
	return apierror.New(apierror.Conflict, "%s %s: %s: version %s stands as %s", i.Kind, i.Name, DifferingField(i, old), config.FormatVersion(i.Version), describe(old))
}

func describe(i config.Item) string {
	if i.Deleted {
		return "dropped"
	}
	return string(i.Body)
}

// DifferingField is the first field, by name, in which two items of one number differ.
func DifferingField(a, b config.Item) string {
	if a.Deleted != b.Deleted {
		return "dropped"
	}
	left, right := a.Tree(), b.Tree()
	field := ""
	for _, pair := range [][2]map[string]any{{left, right}, {right, left}} {
		for name, v := range pair[0] {
			leftValue, _ := json.Marshal(v)
			rightValue, _ := json.Marshal(pair[1][name])
			if !bytes.Equal(leftValue, rightValue) && (field == "" || name < field) {
				field = name
			}
		}
	}
	return field
}

func setEvacuation(s *config.Set, o Operation) []config.Item {
	k := config.Key{Kind: config.KindEvacuations, Name: o.Name}
	body, _ := json.Marshal(map[string]bool{"begun": o.Active})
	old, exists := s.Lookup(k)
	if exists && bytes.Equal(old.Body, body) || !exists && !o.Active {
		return nil
	}
	return []config.Item{{Kind: k.Kind, Name: k.Name, Version: old.Version + 1, Body: body}}
}

func beginRollout(s *config.Set, o Operation) ([]config.Item, error) {
	service, ok := s.Lookup(config.Key{Kind: config.KindServices, Name: o.Name})
	old, _ := s.Lookup(config.Key{Kind: config.KindRollouts, Name: o.Name})
	current := rollout.FromItem(old)
	initial, _ := s.Lookup(config.Key{Kind: config.KindStableVersions, Name: o.Name})
	settled := rollout.StableVersion(initial, current)
	running := current.VisibleState() == rollout.Running
	// who doesn't know the last one yet has been handed the copy of an order that only just came
	behind := current.Number != o.KnownRollout
	isLateCopy := behind || o.KnownRolloutAge < current.Duration+o.RetryWindow
	// a copy of one before the last: it was sent first before the last one was taken, and is sent again for o.Again at the most
	alreadyTaken := slices.Contains(current.PastDigests[:], rollout.Digest(o.TargetVersion, o.Duration)) && (behind || o.KnownRolloutAge < o.RetryWindow)
	switch {
	case running && current.Target == o.TargetVersion: // the same once more
		return nil, nil
	case current.State > rollout.Running && current.Target == o.TargetVersion && current.Duration == o.Duration && isLateCopy: // a late copy of the last one
		return nil, nil
	case alreadyTaken:
		return nil, nil
	case !ok || service.Deleted:
		return nil, apierror.New(apierror.Invalid, "service: %s does not stand", o.Name)
	case running:
		return nil, apierror.New(apierror.InProgress, "%s is being moved to %s", o.Name, current.Target)
	}
	next := current.Next()
	next.Service, next.From, next.Target, next.Duration, next.StartedAt, next.ClocksAgreed = o.Name, settled, o.TargetVersion, o.Duration, o.SubmittedAt, o.ClockAgreed
	return []config.Item{next.Item()}, nil
}

// String is the order in a log.
func (o Operation) String() string {
	return fmt.Sprintf("%s %s, %d items", o.Kind, o.Name, len(o.Items))
}
