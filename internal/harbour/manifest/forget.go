package manifest

import (
	"cmp"
	"slices"
	"strings"
)

// MostDropped is how many dropped items stay known: under a megabyte of memory and of disk. Beyond it the tenth of them that
// has the lowest versions is forgotten, then by name, so that all who apply the same changes forget the same.
//
// What was forgotten comes back if somebody who still has it merges it. Merging alone can't tell; who takes changes in
// their order, and a whole set as of a number in the place of an older one (Apply, Become), needs nothing of what is dropped.
const MostDropped = 10000

// forget forgets what is too much of the dropped items, and tells which: a tenth at once, as looking for one each time would
// cost as much.
func (s *Set) forget() (gone []Key) {
	if s.dropped <= MostDropped {
		return nil
	}
	all := make([]Item, 0, s.dropped)
	for _, i := range s.items {
		if i.Dropped {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	for _, i := range all[:len(all)-MostDropped+MostDropped/10-1] {
		gone = append(gone, i.Key())
		s.remove(i.Key())
	}
	s.forgot = append(s.forgot, gone...)
	return gone
}

// Apply takes items in as they are, whatever stood: who calls has the changes in the order in which they were decided. It
// tells which items were forgotten with it, which are to go from the disk too; all who stood alike do so after it.
func (s *Set) Apply(items []Item) (gone []Key) {
	for _, i := range items {
		s.put(i)
	}
	return s.forget()
}

// Become makes the set what it was at another holder, whatever stood, and tells what is changed by it and what goes. Of two
// items with one key the later counts.
func (s *Set) Become(items []Item) (changed []Item, gone []Key) {
	named := make(map[Key]Item, len(items))
	for _, i := range items {
		named[i.Key()] = i
	}
	for k := range s.items {
		if _, there := named[k]; !there {
			gone = append(gone, k)
		}
	}
	for k, i := range named {
		if old, there := s.items[k]; !there || !old.Same(i) {
			changed = append(changed, i)
		}
	}
	sortItems(changed)
	slices.SortFunc(gone, func(a, b Key) int { return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name)) })
	for _, k := range gone {
		s.remove(k)
	}
	for _, i := range changed {
		s.put(i)
	}
	return changed, gone
}
