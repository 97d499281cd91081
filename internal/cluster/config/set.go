package config

import (
	"maps"
	"slices"
	"strings"
)

// Set contains all known items. Deleted items are kept as tombstones, so that merging an older version doesn't restore them, until they
// are evicted (see MaxDeleted). It is not safe for concurrent use.
type Set struct {
	items         map[Key]Item
	partitionSums [Partitions]uint64
	quotaChecksum uint64            // see QuotaChecksum
	liveCount     map[string]int    // number of live items by kind
	deletedCount  int               // number of tombstones
	evicted       []Key             // tombstones evicted since the last TakeEvicted
	members       map[string]string // cached by Members; nil if it must be parsed again

	// index contains the parsed items as of when it was built; nil until CheckChange needs it. Clones share it, as it is immutable.
	index *index
	// changed contains the items that were put or removed since the index was built. A value is nil if the item isn't parsed yet or was
	// removed or deleted.
	changed map[Key]*parsedItem
	// examined counts the items that CheckChange has processed. Tests use it to bound the cost.
	examined int
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{items: map[Key]Item{}, liveCount: map[string]int{}} }

// Merge adds an item if the set has none with its key or the item supersedes that one. It reports whether the item was added.
func (s *Set) Merge(i Item) bool {
	old, exists := s.items[i.Key()]
	if exists && !i.Supersedes(old) {
		return false
	}
	s.put(i)
	s.evictDeleted()
	return true
}

// put adds an item, replacing the one with the same key.
func (s *Set) put(i Item) {
	s.remove(i.Key())
	s.markChanged(i.Key())
	if i.Kind == KindCore {
		s.members = nil
	}
	s.items[i.Key()] = i
	s.updateTotals(i, 1)
}

// updateTotals updates the checksums and counts for an item that is added (delta 1) or removed (delta -1).
func (s *Set) updateTotals(i Item, delta int) {
	sum := i.checksum()
	s.partitionSums[i.Key().partition()] ^= sum
	if i.Kind == KindQuotas || i.Kind == KindServices {
		s.quotaChecksum ^= sum
	}
	if i.Deleted {
		s.deletedCount += delta
	} else {
		s.liveCount[i.Kind] += delta
	}
}

// remove removes the item of a key without leaving a tombstone.
func (s *Set) remove(k Key) {
	old, exists := s.items[k]
	if !exists {
		return
	}
	s.markChanged(k)
	s.updateTotals(old, -1)
	delete(s.items, k)
	if k.Kind == KindCore {
		s.members = nil
	}
}

// Lookup returns the item of a key and whether it exists. The item may be a tombstone.
func (s *Set) Lookup(k Key) (Item, bool) {
	i, ok := s.items[k]
	return i, ok
}

// Len returns the number of items, including tombstones.
func (s *Set) Len() int { return len(s.items) }

// All returns all items, including tombstones, sorted by key.
func (s *Set) All() []Item {
	all := make([]Item, 0, len(s.items))
	for _, i := range s.items {
		all = append(all, i)
	}
	sortItems(all)
	return all
}

// Live returns the items of a kind that are not deleted, sorted by name.
func (s *Set) Live(kind string) (all []Item) {
	remaining := s.liveCount[kind] // often 0, which saves scanning tens of thousands of items of other kinds
	for k, i := range s.items {
		if remaining == 0 {
			break
		}
		if k.Kind == kind && !i.Deleted {
			all = append(all, i)
			remaining--
		}
	}
	sortItems(all)
	return all
}

// HighestVersion returns the highest version among routes, services, quotas and limits, including tombstones.
func (s *Set) HighestVersion() (version uint64) {
	for k, i := range s.items {
		if k.Kind == KindLimits || slices.Contains(tabularKinds, k.Kind) {
			version = max(version, i.Version)
		}
	}
	return version
}

// QuotaChecksum returns a checksum of the items that the quotas of a routing table are built from: quotas and services.
func (s *Set) QuotaChecksum() uint64 { return s.quotaChecksum }

// Clone returns a copy that can be modified independently of s.
func (s *Set) Clone() *Set {
	return &Set{
		items:         maps.Clone(s.items),
		partitionSums: s.partitionSums,
		quotaChecksum: s.quotaChecksum,
		liveCount:     maps.Clone(s.liveCount),
		deletedCount:  s.deletedCount,
		index:         s.index,
		changed:       maps.Clone(s.changed),
	}
}

func sortItems(all []Item) {
	slices.SortFunc(all, func(a, b Item) int { return a.Key().compare(b.Key()) })
}

func sortKeys(all []Key) {
	slices.SortFunc(all, Key.compare)
}

// compare orders keys by kind, then by name.
func (k Key) compare(other Key) int {
	if c := strings.Compare(k.Kind, other.Kind); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}
