package config

import (
	"maps"
	"slices"
	"strings"
)

// Set contains all known items. Deleted items are kept as tombstones for good, so that an older version that arrives later doesn't
// restore them. It is not safe for concurrent use.
type Set struct {
	items         *ItemMap
	partitionSums [Partitions]uint64
	quotaChecksum uint64            // see QuotaChecksum
	liveCount     map[string]int    // number of live items by kind
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
func NewSet() *Set { return &Set{items: NewItemMap(), liveCount: map[string]int{}} }

// Merge adds an item if the set has none with its key or the item supersedes that one. It reports whether the item was added.
func (s *Set) Merge(i Item) bool {
	old, exists := s.items.Get(i.Key())
	if exists && !i.Supersedes(old) {
		return false
	}
	s.put(i)
	return true
}

// Apply adds items regardless of their versions; the caller applies changes in the order in which they were committed. Sets that were
// equal before are equal after applying the same items.
func (s *Set) Apply(items []Item) {
	for _, i := range items {
		s.put(i)
	}
}

// ReplaceAll replaces the contents of the set with the given items. It returns the items that are new or changed and the keys that were
// removed, both sorted by key. Of several items with the same key, the last one is used.
func (s *Set) ReplaceAll(items []Item) (changed []Item, removed []Key) {
	byKey := make(map[Key]Item, len(items))
	for _, i := range items {
		byKey[i.Key()] = i
	}
	for i := range s.items.All() {
		if _, exists := byKey[i.Key()]; !exists {
			removed = append(removed, i.Key())
		}
	}
	for k, i := range byKey {
		if old, exists := s.items.Get(k); !exists || !old.Equal(i) {
			changed = append(changed, i)
		}
	}
	sortItems(changed)
	sortKeys(removed)
	for _, k := range removed {
		s.remove(k)
	}
	for _, i := range changed {
		s.put(i)
	}
	return changed, removed
}

// put adds an item, replacing the one with the same key.
func (s *Set) put(i Item) {
	if old, exists := s.items.Get(i.Key()); exists {
		s.updateTotals(old, -1)
	}
	s.items.Put(i)
	s.updateTotals(i, 1)
	s.itemChanged(i.Key())
}

// itemChanged updates what is cached after the item of a key was put or removed.
func (s *Set) itemChanged(k Key) {
	s.markChanged(k)
	if k.Kind == KindCore {
		s.members = nil
	}
}

// updateTotals updates the checksums and counts for an item that is added (delta 1) or removed (delta -1).
func (s *Set) updateTotals(i Item, delta int) {
	sum := i.checksum()
	s.partitionSums[i.Key().partition()] ^= sum
	if i.Kind == KindQuotas || i.Kind == KindServices {
		s.quotaChecksum ^= sum
	}
	if !i.Deleted {
		s.liveCount[i.Kind] += delta
	}
}

// remove removes the item of a key without leaving a tombstone.
func (s *Set) remove(k Key) {
	old, exists := s.items.Get(k)
	if !exists {
		return
	}
	s.updateTotals(old, -1)
	s.items.Delete(k)
	s.itemChanged(k)
}

// DiscardTombstones removes all tombstones. Without them, Merge can't tell an outdated version of a deleted item from a new item.
func (s *Set) DiscardTombstones() {
	for i := range s.items.deleted.each {
		s.updateTotals(i, -1)
	}
	s.items.deleted = newTombstones()
}

// Lookup returns the item of a key and whether it exists. The item may be a tombstone.
func (s *Set) Lookup(k Key) (Item, bool) { return s.items.Get(k) }

// Len returns the number of items, including tombstones.
func (s *Set) Len() int { return s.items.Len() }

// Tombstones returns the number of tombstones of all kinds.
func (s *Set) Tombstones() int { return s.items.deleted.len() }

// Departures returns the number of recorded departures, which are tombstones.
func (s *Set) Departures() int { return s.items.deleted.lenOf(KindDepartures) }

// DroppedNames returns the number of tombstones that are not departures.
func (s *Set) DroppedNames() int { return s.Tombstones() - s.Departures() }

// AllDepartures returns the recorded departures, sorted by name.
func (s *Set) AllDepartures() []Item {
	all := make([]Item, 0, s.Departures())
	s.items.deleted.eachOf(KindDepartures, func(i Item) bool {
		all = append(all, i)
		return true
	})
	sortItems(all)
	return all
}

// All returns all items, including tombstones, sorted by key.
func (s *Set) All() []Item {
	all := slices.AppendSeq(make([]Item, 0, s.Len()), s.items.All())
	sortItems(all)
	return all
}

// WithoutDepartures returns all items except departures, sorted by key. Its cost doesn't depend on the number of departures.
func (s *Set) WithoutDepartures() []Item {
	all := slices.AppendSeq(make([]Item, 0, s.Len()-s.Departures()), s.items.WithoutDepartures())
	sortItems(all)
	return all
}

// AllLive returns the items that are not deleted, sorted by key.
func (s *Set) AllLive() []Item {
	all := slices.AppendSeq(make([]Item, 0, len(s.items.live)), maps.Values(s.items.live))
	sortItems(all)
	return all
}

// Live returns the items of a kind that are not deleted, sorted by name.
func (s *Set) Live(kind string) (all []Item) {
	remaining := s.liveCount[kind] // often 0, which saves scanning tens of thousands of items of other kinds
	for k, i := range s.items.live {
		if remaining == 0 {
			break
		}
		if k.Kind == kind {
			all = append(all, i)
			remaining--
		}
	}
	sortItems(all)
	return all
}

// HighestVersion returns the highest version among routes, services, quotas and limits, including tombstones.
func (s *Set) HighestVersion() (version uint64) {
	for k, i := range s.items.live {
		if isVersioned(k.Kind) {
			version = max(version, i.Version)
		}
	}
	for kind := range s.items.deleted.kinds {
		if isVersioned(kind) {
			version = max(version, s.items.deleted.highestVersion(kind))
		}
	}
	return version
}

// isVersioned reports whether operators choose the versions of the items of a kind.
func isVersioned(kind string) bool {
	return kind == KindLimits || slices.Contains(tabularKinds, kind)
}

// QuotaChecksum returns a checksum of the items that the quotas of a routing table are built from: quotas and services.
func (s *Set) QuotaChecksum() uint64 { return s.quotaChecksum }

// Clone returns a copy that can be modified independently of s. Its cost does not depend on the number of tombstones.
func (s *Set) Clone() *Set {
	return &Set{
		items:         s.items.clone(),
		partitionSums: s.partitionSums,
		quotaChecksum: s.quotaChecksum,
		liveCount:     maps.Clone(s.liveCount),
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
