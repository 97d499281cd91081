package config

import (
	"cmp"
	"slices"
)

// MaxDeleted bounds the tombstones of a set, to less than a megabyte of memory and of disk. Beyond it a tenth of them is evicted,
// those with the lowest versions, then by key, so that all processes that apply the same changes evict the same.
//
// An evicted item comes back if it is merged from a process that still has it: Merge can't tell it from a new one. A process that
// applies the decided changes in order (Apply), or a complete snapshot in place of an older state (ReplaceAll), needs no tombstones.
const MaxDeleted = 10000

// evictDeleted evicts tombstones beyond MaxDeleted, and returns their keys. It evicts a tenth at a time, as the search for one would
// cost as much.
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

// TakeEvicted returns the keys of the tombstones that were evicted since the last call.
func (s *Set) TakeEvicted() []Key {
	all := s.evicted
	s.evicted = nil
	return all
}

// Apply puts items whatever their versions: the caller has the changes in the order in which they were decided. It returns the keys
// of the tombstones that were evicted by it, which must leave the disk too; all sets that were equal before are equal after it.
func (s *Set) Apply(items []Item) (evicted []Key) {
	for _, i := range items {
		s.put(i)
	}
	return s.evictDeleted()
}

// ReplaceAll makes the set hold just the given items. It returns the items that are new or changed, and the keys that are gone, both
// in order. Of two items with one key the later counts.
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
