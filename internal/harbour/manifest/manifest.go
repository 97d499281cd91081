// Package manifest is the control state that lasts: items that carry versions of their own and are merged one by one.
// There is no log and no leader: two sets that hold the same items are the same, whatever way the items came.
package manifest

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
)

// The kinds of items.
const (
	Routes      = "routes"
	Services    = "services"
	Shares      = "shares"      // of callers, in services
	Limits      = "limits"      // one, by the name of its kind
	Evacuations = "evacuations" // by zone: begun or withdrawn
	Rollouts    = "rollouts"    // by service: the newest order, and how it ended
	Settled     = "settled"     // by service: the version that is not on trial
)

// Item is one of them. Body is JSON with its fields in the order of their names, so that equal ones are equal bytes.
type Item struct {
	Kind    string          `json:"k"`
	Name    string          `json:"n"`
	Version uint64          `json:"v"`
	Dropped bool            `json:"d,omitempty"`
	Body    json.RawMessage `json:"b,omitempty"`
	Past    []Mark          `json:"p,omitempty"` // of the versions that it had before, the newest last; not told to routers
}

// Mark is what is kept of an earlier version: enough to know a rival of it.
type Mark struct {
	Version uint64 `json:"v"`
	Sum     uint64 `json:"s"`
}

// MostMarks is how many earlier versions of an item are known.
const MostMarks = 8

// Laid is as many bytes as items take at the most as JSON, where their names are plain text.
func Laid(items []Item) (size int) {
	for _, i := range items {
		size += len(i.Kind) + len(i.Name) + len(i.Body) + len(i.Past)*56 + 80
	}
	return size
}

// After is the item as it follows on another of its key.
func (i Item) After(old Item) Item {
	i.Past = append(slices.Clone(old.Past), Mark{old.Version, old.sum()})
	i.Past = i.Past[max(0, len(i.Past)-MostMarks):]
	return i
}

// Was tells whether an item of an earlier version of this one is that one, another with its number, or not known.
func (i Item) Was(x Item) (known, same bool) {
	for _, m := range i.Past {
		if m.Version == x.Version {
			return true, m.Sum == x.sum()
		}
	}
	return false, false
}

// Forgot tells whether an item is of an earlier version of this one than is known: what its number was taken for, if it was,
// can't be told any more.
func (i Item) Forgot(x Item) bool {
	return len(i.Past) == MostMarks && x.Version < i.Past[0].Version
}

// Key is an item's place.
type Key struct{ Kind, Name string }

// Key is where the item belongs.
func (i Item) Key() Key { return Key{i.Kind, i.Name} }

// Newer tells whether i holds against j, of the same key. The higher version holds. Two of one version, as two operators
// may send at once, are told apart by what they say alone: one that is set goes before one that is dropped, then the
// greater bytes, so that every place decides alike.
func (i Item) Newer(j Item) bool {
	switch {
	case i.Version != j.Version:
		return i.Version > j.Version
	case i.Dropped != j.Dropped:
		return j.Dropped
	}
	return bytes.Compare(i.Body, j.Body) > 0
}

// Same tells whether two items say the same.
func (i Item) Same(j Item) bool {
	return i.Key() == j.Key() && i.Version == j.Version && i.Dropped == j.Dropped && bytes.Equal(i.Body, j.Body)
}

func (i Item) sum() uint64 {
	f := fnv.New64a()
	f.Write([]byte(i.Kind))
	f.Write([]byte{0})
	f.Write([]byte(i.Name))
	for s := range 8 {
		f.Write([]byte{byte(i.Version >> (8 * s))})
	}
	if i.Dropped {
		f.Write([]byte{1})
	}
	f.Write(i.Body)
	return f.Sum64()
}

// Parts is into how many parts a set's sums are split, by which two holders find what differs.
const Parts = 64

func (k Key) part() int {
	f := fnv.New32a()
	f.Write([]byte(k.Kind))
	f.Write([]byte(k.Name))
	return int(f.Sum32() % Parts)
}

// Set is the items that are known, dropped ones too, so that nothing older comes back. It is not safe for two goroutines.
type Set struct {
	items   map[Key]Item
	sums    [Parts]uint64
	callers uint64         // what CallersSum tells
	stands  map[string]int // how many items of a kind stand
	dropped int
	forgot  []Key             // since it was last asked for
	members map[string]string // as Members tells them, nil where they are to be read anew
	index   *index            // of what goes together, as of a while ago, nil until Check asks for it; shared by copies, never changed
	since   map[Key]*reading  // what was put or removed since then, nil where it isn't read yet
	looked  int               // items that Check looked at
}

// NewSet makes an empty set.
func NewSet() *Set { return &Set{items: map[Key]Item{}, stands: map[string]int{}} }

// Merge takes an item in if it is newer than what stands, and tells whether it was.
func (s *Set) Merge(i Item) bool {
	old, there := s.items[i.Key()]
	if there && !i.Newer(old) {
		return false
	}
	s.put(i)
	s.forget()
	return true
}

// put has an item stand in the place of its key.
func (s *Set) put(i Item) {
	s.remove(i.Key())
	s.touch(i.Key())
	if i.Kind == Core {
		s.members = nil
	}
	s.items[i.Key()] = i
	s.count(i, 1)
}

// count keeps the sums and numbers over all items, as one comes or goes.
func (s *Set) count(i Item, n int) {
	sum := i.sum()
	if s.sums[i.Key().part()] ^= sum; i.Kind == Shares || i.Kind == Services {
		s.callers ^= sum
	}
	if i.Dropped {
		s.dropped += n
	} else {
		s.stands[i.Kind] += n
	}
}

func (s *Set) remove(k Key) {
	old, there := s.items[k]
	if !there {
		return
	}
	s.touch(k)
	s.count(old, -1)
	delete(s.items, k)
	if k.Kind == Core {
		s.members = nil
	}
}

// Forgotten are the dropped items that were forgotten since this was last asked.
func (s *Set) Forgotten() []Key {
	all := s.forgot
	s.forgot = nil
	return all
}

// Get is the item at a key.
func (s *Set) Get(k Key) (Item, bool) {
	i, ok := s.items[k]
	return i, ok
}

// Len is how many items there are, dropped ones too.
func (s *Set) Len() int { return len(s.items) }

// All are the items, in the order of their keys.
func (s *Set) All() []Item {
	all := make([]Item, 0, len(s.items))
	for _, i := range s.items {
		all = append(all, i)
	}
	sortItems(all)
	return all
}

func sortItems(all []Item) {
	slices.SortFunc(all, func(a, b Item) int {
		if c := strings.Compare(a.Kind, b.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// Highest is the highest version of what operators set and drop, dropped ones too.
func (s *Set) Highest() (v uint64) {
	for k, i := range s.items {
		if k.Kind == Limits || slices.Contains(tables, k.Kind) {
			v = max(v, i.Version)
		}
	}
	return v
}

// Standing are the items of a kind that are not dropped, by name.
func (s *Set) Standing(kind string) (all []Item) {
	left := s.stands[kind] // it is asked for often where there is none, among tens of thousands of others
	for k, i := range s.items {
		if left == 0 {
			break
		}
		if k.Kind == kind && !i.Dropped {
			all = append(all, i)
			left--
		}
	}
	sortItems(all)
	return all
}

// Sums are the sums over the parts; two sets with the same are taken to be the same.
func (s *Set) Sums() [Parts]uint64 { return s.sums }

// Sum is one number over all.
func (s *Set) Sum() (sum uint64) {
	for p, x := range s.sums {
		sum ^= x * uint64(2*p+1)
	}
	return sum
}

// CallersSum is one number over all that callers' shares are drawn from: shares and services.
func (s *Set) CallersSum() uint64 { return s.callers }

// Differing are the items in the parts whose sums are not those of another holder.
func (s *Set) Differing(theirs [Parts]uint64) (all []Item) {
	for k, i := range s.items {
		if p := k.part(); s.sums[p] != theirs[p] {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// Clone is a copy, for trying out what a change would make of it.
func (s *Set) Clone() *Set {
	c := &Set{items: make(map[Key]Item, len(s.items)), sums: s.sums, callers: s.callers, stands: maps.Clone(s.stands), dropped: s.dropped,
		index: s.index, since: maps.Clone(s.since)}
	for k, i := range s.items {
		c.items[k] = i
	}
	return c
}
