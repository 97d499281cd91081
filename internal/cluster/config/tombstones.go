package config

import (
	"cmp"
	"slices"
	"strings"
)

// MaxDeleted is how many dropped items stay known: under a megabyte of memory and of disk. Beyond it the tenth of them that
// has the lowest versions is forgotten, then by name, so that all who apply the same changes forget the same.
//
// What was forgotten comes back if somebody who still has it merges it. Merging alone can't tell; who takes changes in
// their order, and a whole set as of a number in the place of an older one (Apply, Become), needs nothing of what is dropped.
const MaxDeleted = 10000

// evictDeleted forgets what is too much of the dropped items, and tells which: a tenth at once, as looking for one each time would
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
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	for _, i := range all[:len(all)-MaxDeleted+MaxDeleted/10-1] {
		evicted = append(evicted, i.Key())
		s.remove(i.Key())
	}
	s.evicted = append(s.evicted, evicted...)
	return evicted
}

// Apply takes items in as they are, whatever stood: who calls has the changes in the order in which they were decided. It
// tells which items were forgotten with it, which are to go from the disk too; all who stood alike do so after it.
func (s *Set) Apply(items []Item) (evicted []Key) {
	for _, i := range items {
		s.put(i)
	}
	return s.evictDeleted()
}

// ReplaceAll makes the set what it was at another holder, whatever stood, and tells what is changed by it and what goes. Of two
// items with one key the later counts.
func (s *Set) ReplaceAll(items []Item) (changed []Item, removed []Key) {
	named := make(map[Key]Item, len(items))
	for _, i := range items {
		named[i.Key()] = i
	}
	for k := range s.items {
		if _, exists := named[k]; !exists {
			removed = append(removed, k)
		}
	}
	for k, i := range named {
		if old, exists := s.items[k]; !exists || !old.Equal(i) {
			changed = append(changed, i)
		}
	}
	sortItems(changed)
	slices.SortFunc(removed, func(a, b Key) int { return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name)) })
	for _, k := range removed {
		s.remove(k)
	}
	for _, i := range changed {
		s.put(i)
	}
	return changed, removed
}
