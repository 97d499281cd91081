package config

import (
	"cmp"
	"slices"
)

// MaxDeleted is the maximum number of tombstones that Merge and Apply leave in a set, less than a megabyte in memory and on disk. When it
// is exceeded, tombstones are evicted down to nine tenths of it, lowest versions first, then by key, so that all processes that
// apply the same changes evict the same tombstones.
//
// An item whose tombstone was evicted reappears if it is merged from a process that still has it, because Merge can't distinguish it from a
// new item. A process that applies committed changes in order (Apply), or replaces an older state with a complete snapshot
// (ReplaceAll), doesn't depend on tombstones.
const MaxDeleted = 10000

// evictDeleted evicts tombstones if there are more than MaxDeleted, and returns their keys. It goes
// down to nine tenths of the maximum, because evicting a single one costs as much.
func (s *Set) evictDeleted() (evicted []Key) {
	if s.deletedCount <= MaxDeleted {
		return nil
	}
	all := make([]Item, 0, s.deletedCount)
	for _, i := range s.items {
		if i.Deleted {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), a.Key().compare(b.Key()))
	})
	remaining := MaxDeleted - MaxDeleted/10 + 1
	for _, i := range all[:len(all)-remaining] {
		evicted = append(evicted, i.Key())
		s.remove(i.Key())
	}
	s.evicted = append(s.evicted, evicted...)
	return evicted
}

// TakeEvicted returns the keys of the tombstones evicted since the last call, and clears the list.
func (s *Set) TakeEvicted() []Key {
	all := s.evicted
	s.evicted = nil
	return all
}

// Apply adds items regardless of their versions; the caller applies changes in the order in which they were committed. It returns the
// keys of the tombstones that it evicted, which the caller must remove from disk as well. Sets that were equal before are equal after
// applying the same items.
func (s *Set) Apply(items []Item) (evicted []Key) {
	for _, i := range items {
		s.put(i)
	}
	return s.evictDeleted()
}

// ReplaceAll replaces the contents of the set with the given items. It returns the items that are new or changed and the keys that were
// removed, both sorted by key. Of several items with the same key, the last one is used.
func (s *Set) ReplaceAll(items []Item) (changed []Item, removed []Key) {
	byKey := make(map[Key]Item, len(items))
	for _, i := range items {
		byKey[i.Key()] = i
	}
	for k := range s.items {
		if _, exists := byKey[k]; !exists {
			removed = append(removed, k)
		}
	}
	for k, i := range byKey {
		if old, exists := s.items[k]; !exists || !old.Equal(i) {
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
