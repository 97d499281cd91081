// Package config is the control state that lasts: items that carry versions of their own and are merged one by one.
// There is no log and no leader: two sets that hold the same items are the same, whatever way the items came.
package config

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
	KindRoutes         = "routes"
	KindServices       = "services"
	KindQuotas         = "shares"      // of callers, in services
	KindLimits         = "limits"      // one, by the name of its kind
	KindEvacuations    = "evacuations" // by zone: begun or withdrawn
	KindRollouts       = "rollouts"    // by service: the newest order, and how it ended
	KindStableVersions = "settled"     // by service: the version that is not on trial
)

// Item is one of them. Body is JSON with its fields in the order of their names, so that equal ones are equal bytes.
type Item struct {
	Kind    string          `json:"k"`
	Name    string          `json:"n"`
	Version uint64          `json:"v"`
	Deleted bool            `json:"d,omitempty"`
	Body    json.RawMessage `json:"b,omitempty"`
	History []Revision      `json:"p,omitempty"` // of the versions that it had before, the newest last; not told to routers
}

// Revision is what is kept of an earlier version: enough to know a rival of it.
type Revision struct {
	Version  uint64 `json:"v"`
	Checksum uint64 `json:"s"`
}

// MaxHistory is how many earlier versions of an item are known.
const MaxHistory = 8

// EncodedSizeBound is as many bytes as items take at the most as JSON, where their names are plain text.
func EncodedSizeBound(items []Item) (size int) {
	for _, i := range items {
		size += len(i.Kind) + len(i.Name) + len(i.Body) + len(i.History)*56 + 80
	}
	return size
}

// WithHistory is the item as it follows on another of its key.
func (i Item) WithHistory(old Item) Item {
	i.History = append(slices.Clone(old.History), Revision{old.Version, old.checksum()})
	i.History = i.History[max(0, len(i.History)-MaxHistory):]
	return i
}

// MatchesPast tells whether an item of an earlier version of this one is that one, another with its number, or not known.
func (i Item) MatchesPast(past Item) (known, same bool) {
	for _, revision := range i.History {
		if revision.Version == past.Version {
			return true, revision.Checksum == past.checksum()
		}
	}
	return false, false
}

// PredatesHistory tells whether an item is of an earlier version of this one than is known: what its number was taken for, if it was,
// can't be told any more.
func (i Item) PredatesHistory(past Item) bool {
	return len(i.History) == MaxHistory && past.Version < i.History[0].Version
}

// Key is an item's place.
type Key struct{ Kind, Name string }

// Key is where the item belongs.
func (i Item) Key() Key { return Key{i.Kind, i.Name} }

// Supersedes tells whether i holds against j, of the same key. The higher version holds. Two of one version, as two operators
// may send at once, are told apart by what they say alone: one that is set goes before one that is dropped, then the
// greater bytes, so that every place decides alike.
func (i Item) Supersedes(j Item) bool {
	switch {
	case i.Version != j.Version:
		return i.Version > j.Version
	case i.Deleted != j.Deleted:
		return j.Deleted
	}
	return bytes.Compare(i.Body, j.Body) > 0
}

// Equal tells whether two items say the same.
func (i Item) Equal(j Item) bool {
	return i.Key() == j.Key() && i.Version == j.Version && i.Deleted == j.Deleted && bytes.Equal(i.Body, j.Body)
}

func (i Item) checksum() uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(i.Kind))
	hash.Write([]byte{0})
	hash.Write([]byte(i.Name))
	for shift := range 8 {
		hash.Write([]byte{byte(i.Version >> (8 * shift))})
	}
	if i.Deleted {
		hash.Write([]byte{1})
	}
	hash.Write(i.Body)
	return hash.Sum64()
}

// Partitions is into how many parts a set's sums are split, by which two holders find what differs.
const Partitions = 64

func (k Key) partition() int {
	hash := fnv.New32a()
	hash.Write([]byte(k.Kind))
	hash.Write([]byte(k.Name))
	return int(hash.Sum32() % Partitions)
}

// Set is the items that are known, dropped ones too, so that nothing older comes back. It is not safe for two goroutines.
type Set struct {
	items         map[Key]Item
	partitionSums [Partitions]uint64
	quotaSum      uint64         // what CallersSum tells
	liveCount     map[string]int // how many items of a kind stand
	deletedCount  int
	evicted       []Key               // since it was last asked for
	members       map[string]string   // as Members tells them, nil where they are to be read anew
	index         *index              // of what goes together, as of a while ago, nil until Check asks for it; shared by copies, never changed
	changed       map[Key]*parsedItem // what was put or removed since then, nil where it isn't read yet
	examined      int                 // items that Check looked at
}

// NewSet makes an empty set.
func NewSet() *Set { return &Set{items: map[Key]Item{}, liveCount: map[string]int{}} }

// Merge takes an item in if it is newer than what stands, and tells whether it was.
func (s *Set) Merge(i Item) bool {
	old, there := s.items[i.Key()]
	if there && !i.Supersedes(old) {
		return false
	}
	s.put(i)
	s.evictDeleted()
	return true
}

// put has an item stand in the place of its key.
func (s *Set) put(i Item) {
	s.remove(i.Key())
	s.markChanged(i.Key())
	if i.Kind == KindCore {
		s.members = nil
	}
	s.items[i.Key()] = i
	s.updateTotals(i, 1)
}

// updateTotals keeps the sums and numbers over all items, as one comes or goes.
func (s *Set) updateTotals(i Item, n int) {
	sum := i.checksum()
	if s.partitionSums[i.Key().partition()] ^= sum; i.Kind == KindQuotas || i.Kind == KindServices {
		s.quotaSum ^= sum
	}
	if i.Deleted {
		s.deletedCount += n
	} else {
		s.liveCount[i.Kind] += n
	}
}

func (s *Set) remove(k Key) {
	old, there := s.items[k]
	if !there {
		return
	}
	s.markChanged(k)
	s.updateTotals(old, -1)
	delete(s.items, k)
	if k.Kind == KindCore {
		s.members = nil
	}
}

// TakeEvicted are the dropped items that were forgotten since this was last asked.
func (s *Set) TakeEvicted() []Key {
	all := s.evicted
	s.evicted = nil
	return all
}

// Lookup is the item at a key.
func (s *Set) Lookup(k Key) (Item, bool) {
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

// HighestVersion is the highest version of what operators set and drop, dropped ones too.
func (s *Set) HighestVersion() (v uint64) {
	for k, i := range s.items {
		if k.Kind == KindLimits || slices.Contains(tabularKinds, k.Kind) {
			v = max(v, i.Version)
		}
	}
	return v
}

// Live are the items of a kind that are not dropped, by name.
func (s *Set) Live(kind string) (all []Item) {
	left := s.liveCount[kind] // it is asked for often where there is none, among tens of thousands of others
	for k, i := range s.items {
		if left == 0 {
			break
		}
		if k.Kind == kind && !i.Deleted {
			all = append(all, i)
			left--
		}
	}
	sortItems(all)
	return all
}

// PartitionSums are the sums over the parts; two sets with the same are taken to be the same.
func (s *Set) PartitionSums() [Partitions]uint64 { return s.partitionSums }

// Checksum is one number over all.
func (s *Set) Checksum() (sum uint64) {
	for p, partitionSum := range s.partitionSums {
		sum ^= partitionSum * uint64(2*p+1)
	}
	return sum
}

// QuotaChecksum is one number over all that callers' shares are drawn from: shares and services.
func (s *Set) QuotaChecksum() uint64 { return s.quotaSum }

// DifferingItems are the items in the parts whose sums are not those of another holder.
func (s *Set) DifferingItems(theirs [Partitions]uint64) (all []Item) {
	for k, i := range s.items {
		if p := k.partition(); s.partitionSums[p] != theirs[p] {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// Clone is a copy, for trying out what a change would make of it.
func (s *Set) Clone() *Set {
	c := &Set{items: make(map[Key]Item, len(s.items)), partitionSums: s.partitionSums, quotaSum: s.quotaSum, liveCount: maps.Clone(s.liveCount), deletedCount: s.deletedCount,
		index: s.index, changed: maps.Clone(s.changed)}
	for k, i := range s.items {
		c.items[k] = i
	}
	return c
}
