// Package orders is what operators and the core itself ask of the control state, and what each order makes of a set of items.
// An order is idempotent by its content: sent again it finds that it stands. It is pure.
package orders

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/pilotage"
)

// Kind is what an order does.
type Kind string

const (
	Modify   Kind = "modify"   // sets and drops items of the configuration
	Evacuate Kind = "evacuate" // begins or withdraws a zone's evacuation
	Begin    Kind = "begin"    // a rollout
	End      Kind = "end"      // of a rollout
	Tell     Kind = "tell"     // that a rollout is completed: the routers have left its old hosts
	Settle   Kind = "settle"   // a service's first version
	Join     Kind = "join"     // members in, and others out
	Restore  Kind = "restore"  // a snapshot takes the place of all that stands but the members, under a new epoch
)

// Order is one. Times are nanoseconds.
type Order struct {
	Kind    Kind            `json:"k"`
	Of      string          `json:"o,omitempty"` // a zone or a service
	Items   []manifest.Item `json:"i,omitempty"`
	Begun   bool            `json:"b,omitempty"`
	Target  string          `json:"t,omitempty"`
	Term    int64           `json:"d,omitempty"`
	Now     int64           `json:"n,omitempty"` // when it came, Unix
	Dated   bool            `json:"w,omitempty"` // more than half of the members' clocks agree on that
	Again   int64           `json:"a,omitempty"` // for how long after its term the same begin may come again
	Known   uint64          `json:"y,omitempty"` // the service's newest rollout as who took the order knows it
	Age     int64           `json:"g,omitempty"` // for how long that one has been there
	Number  uint64          `json:"u,omitempty"` // of the rollout that ends; the epoch that a restore or a change of members goes by, there 0 for any
	State   pilotage.State  `json:"s,omitempty"` // how it ends
	In      []muster.Member `json:"m,omitempty"`
	Out     []string        `json:"x,omitempty"` // IP numbers
	Hold    []muster.Member `json:"h,omitempty"` // of those that go: who isn't to be voted in again by itself
	Version string          `json:"v,omitempty"` // a service's first; the name of a restore, of which there is one only
	Bound   bool            `json:"c,omitempty"` // it holds only while what it changes is of version Base
	Base    uint64          `json:"z,omitempty"`
}

// Apply tells which items the order sets where a set stands; none where it stands already. The error tells why it can't be
// taken, and nothing of it may then come into force. Whether the set is the newest is the caller's to know; only a Conflict
// is for ever.
func Apply(s *manifest.Set, o Order) ([]manifest.Item, error) {
	items, err := apply(s, o)
	if size := manifest.Laid(items); size > MostLaid {
		return nil, faults.New(faults.Oversized, "%v: %d bytes, of at most %d that go between control processes at once", o, size, MostLaid)
	}
	return items, err
}

func apply(s *manifest.Set, o Order) ([]manifest.Item, error) {
	switch o.Kind {
	case Modify:
		return modify(s, o.Items)
	case Evacuate, Begin:
		items, err := begin(s, o)
		if o.Kind == Evacuate {
			items, err = evacuate(s, o), nil
		}
		if len(items) > 0 && o.moved(s) {
			return nil, faults.New(faults.Unready, "%s: it was changed since the order was handed over", o.Of)
		}
		return items, err
	case End:
		i, _ := s.Get(manifest.Key{Kind: manifest.Rollouts, Name: o.Of})
		r := pilotage.Read(i)
		if r.Order != o.Number || r.State != pilotage.Running || o.State <= pilotage.Running || o.State > pilotage.RolledBack {
			return nil, nil // it has ended, once
		}
		r.State, r.Ended, r.Switching = o.State, o.Now, o.State == pilotage.Completed
		return []manifest.Item{r.Item()}, nil
	case Tell:
		i, _ := s.Get(manifest.Key{Kind: manifest.Rollouts, Name: o.Of})
		r := pilotage.Read(i)
		if r.Order != o.Number || !r.Switching {
			return nil, nil
		}
		r.Switching = false
		return []manifest.Item{r.Item()}, nil
	case Settle:
		k := manifest.Key{Kind: manifest.Settled, Name: o.Of}
		if _, there := s.Get(k); there {
			return nil, nil
		}
		body, _ := json.Marshal(map[string]string{"version": o.Version})
		return []manifest.Item{{Kind: k.Kind, Name: k.Name, Version: 1, Body: body}}, nil
	case Join:
		list := muster.Of(s)
		next := list.Join(o.In, o.Out)
		if o.Number != 0 && o.Number != list.Epoch {
			return nil, faults.New(faults.Unready, "the members have changed since: epoch %d, not %d", list.Epoch, o.Number)
		}
		if next.Epoch == list.Epoch && !slices.ContainsFunc(o.Hold, func(m muster.Member) bool { return !list.Holds(m.ID) }) {
			return nil, nil
		}
		next.Epoch = list.Epoch + 1
		return []manifest.Item{next.Hold(o.Hold).Item()}, nil
	case Restore:
		list := muster.Of(s)
		switch {
		case slices.Contains(list.Restored, o.Version): // it has been in force, whatever came since
			return nil, nil
		case o.Number != list.Epoch:
			return nil, faults.New(faults.Unready, "the members or all that stands have changed since: epoch %d, not %d", list.Epoch, o.Number)
		}
		return restore(list.Restore(o.Version), o.Items), nil
	}
	return nil, faults.New(faults.Malformed, "no such order: %q", o.Kind)
}

// Whole is the mark of a value that takes the place of all that stands, whatever its versions.
var Whole = manifest.Key{Kind: manifest.Core, Name: "whole"}

// IsWhole tells whether a value does.
func IsWhole(value []manifest.Item) bool { return len(value) > 0 && value[0].Key() == Whole }

// restore is the value that makes what stands into a snapshot: the members stay, their epoch rises, so that routers take
// lower versions too.
func restore(list muster.List, items []manifest.Item) []manifest.Item {
	value := []manifest.Item{{Kind: Whole.Kind, Name: Whole.Name, Version: list.Epoch}, list.Item()}
	for _, i := range items {
		if i.Kind != manifest.Core {
			value = append(value, i)
		}
	}
	return value
}

// Most is how much a change may hold, bytes, as it comes.
const Most = 8 << 20

// MostLaid is how much one number may set, bytes as manifest.Laid tells: it goes between control processes in one frame, and is told
// again with each promise until it is decided.
const MostLaid = 20 << 20

// key is what an order changes whose outcome rests on what stands.
func (o Order) key() (manifest.Key, bool) {
	switch o.Kind {
	case Evacuate:
		return manifest.Key{Kind: manifest.Evacuations, Name: o.Of}, true
	case Begin:
		return manifest.Key{Kind: manifest.Rollouts, Name: o.Of}, true
	}
	return manifest.Key{}, false
}

// Rests tells whether that an order stands already rests on what stands now: a change's numbers have one content for ever, and a
// restore's name is kept.
func (o Order) Rests() bool {
	_, ok := o.key()
	return ok
}

// Bind is the order as it is handed to another process: it holds only while what it changes stands as it does here, so that
// no copy of it comes into force after a later order.
func Bind(s *manifest.Set, o Order) Order {
	if k, ok := o.key(); ok {
		i, _ := s.Get(k)
		o.Bound, o.Base = true, i.Version
	}
	return o
}

// moved tells that an order was bound to what stands no more.
func (o Order) moved(s *manifest.Set) bool {
	k, ok := o.key()
	i, _ := s.Get(k)
	return ok && o.Bound && i.Version != o.Base
}

// modify takes a change as a whole or not at all: one number, one content. What is behind what stands changes nothing; a
// rival of one of the versions that are still known is refused, with all that came with it. So is a call with a version that is
// older than those, where the rest of it would be news: refused before for a rival, it would come into force in part.
func modify(s *manifest.Set, change []manifest.Item) ([]manifest.Item, error) {
	var rest []manifest.Item
	var forgot *manifest.Item
	size := 0
	for n, i := range change {
		if size += len(i.Body) + len(i.Name) + 64; size > Most {
			return nil, faults.New(faults.Oversized, "the change has %d items; from %s %s on it is over %d bytes", len(change), i.Kind, i.Name, Most)
		}
		old, there := s.Get(i.Key())
		if there && old.Version == i.Version && !old.Same(i) {
			return nil, conflict(i, old)
		}
		known, same := old.Was(i)
		if known && !same {
			return nil, faults.New(faults.Conflict, "%s %s: version %s was taken with another content; version %s stands as %s", i.Kind, i.Name,
				manifest.Digits(i.Version), manifest.Digits(old.Version), stands(old))
		}
		if there && !known && forgot == nil && old.Forgot(i) {
			forgot = &change[n]
		}
		if !(there && (old.Same(i) || known)) { // what was taken is no error, whatever stands now
			rest = append(rest, i)
		}
	}
	news, err := s.Check(rest)
	if err == nil && len(news) > 0 && forgot != nil { // it may have been refused for that one; if it had been taken, all of it would stand
		old, _ := s.Get(forgot.Key())
		return nil, faults.New(faults.Conflict, "%s %s: version %s is older than the %d before version %s, which stands as %s, and %s %s of its call was never taken: nothing of it is",
			forgot.Kind, forgot.Name, manifest.Digits(forgot.Version), manifest.MostMarks, manifest.Digits(old.Version), stands(old), news[0].Kind, news[0].Name)
	}
	for n, i := range news {
		if old, there := s.Get(i.Key()); there {
			news[n] = i.After(old)
		}
	}
	return news, err
}

// conflict names the item, the field that differs and the content that stands.
func conflict(i, old manifest.Item) error {
	return faults.New(faults.Conflict, "%s %s: %s: version %s stands as %s", i.Kind, i.Name, Differs(i, old), manifest.Digits(i.Version), stands(old))
}

func stands(i manifest.Item) string {
	if i.Dropped {
		return "dropped"
	}
	return string(i.Body)
}

// Differs is the first field, by name, in which two items of one number differ.
func Differs(a, b manifest.Item) string {
	if a.Dropped != b.Dropped {
		return "dropped"
	}
	x, y := a.Tree(), b.Tree()
	field := ""
	for _, pair := range [][2]map[string]any{{x, y}, {y, x}} {
		for name, v := range pair[0] {
			l, _ := json.Marshal(v)
			r, _ := json.Marshal(pair[1][name])
			if !bytes.Equal(l, r) && (field == "" || name < field) {
				field = name
			}
		}
	}
	return field
}

func evacuate(s *manifest.Set, o Order) []manifest.Item {
	k := manifest.Key{Kind: manifest.Evacuations, Name: o.Of}
	body, _ := json.Marshal(map[string]bool{"begun": o.Begun})
	old, there := s.Get(k)
	if there && bytes.Equal(old.Body, body) || !there && !o.Begun {
		return nil
	}
	return []manifest.Item{{Kind: k.Kind, Name: k.Name, Version: old.Version + 1, Body: body}}
}

func begin(s *manifest.Set, o Order) ([]manifest.Item, error) {
	service, ok := s.Get(manifest.Key{Kind: manifest.Services, Name: o.Of})
	old, _ := s.Get(manifest.Key{Kind: manifest.Rollouts, Name: o.Of})
	was := pilotage.Read(old)
	first, _ := s.Get(manifest.Key{Kind: manifest.Settled, Name: o.Of})
	settled := pilotage.Settled(first, was)
	runs := was.Told() == pilotage.Running
	// who doesn't know the last one yet has been handed the copy of an order that only just came
	behind := was.Order != o.Known
	late := behind || o.Age < was.Term+o.Again
	// a copy of one before the last: it was sent first before the last one was taken, and is sent again for o.Again at the most
	passed := slices.Contains(was.Past[:], pilotage.Asked(o.Target, o.Term)) && (behind || o.Age < o.Again)
	switch {
	case runs && was.Target == o.Target: // the same once more
		return nil, nil
	case was.State > pilotage.Running && was.Target == o.Target && was.Term == o.Term && late: // a late copy of the last one
		return nil, nil
	case passed:
		return nil, nil
	case !ok || service.Dropped:
		return nil, faults.New(faults.Invalid, "service: %s does not stand", o.Of)
	case runs:
		return nil, faults.New(faults.UnderWay, "%s is being moved to %s", o.Of, was.Target)
	}
	next := was.Next()
	next.Service, next.From, next.Target, next.Term, next.Began, next.Dated = o.Of, settled, o.Target, o.Term, o.Now, o.Dated
	return []manifest.Item{next.Item()}, nil
}

// String is the order in a log.
func (o Order) String() string {
	return fmt.Sprintf("%s %s, %d items", o.Kind, o.Of, len(o.Items))
}
