package manifest

import (
	"cmp"
	"slices"
	"strings"
)

// Differ tells in which parts another holder's sums are others; one that has none of ours differs in all that hold anything.
func (s *Set) Differ(theirs []uint64) (parts []int) {
	for p, sum := range s.sums {
		if p >= len(theirs) || theirs[p] != sum {
			parts = append(parts, p)
		}
	}
	return parts
}

// In are the items of some parts, in the order of their keys.
func (s *Set) In(parts []int) (all []Item) {
	for k, i := range s.items {
		if slices.Contains(parts, k.part()) {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// Replace puts others' items in the place of all that stand in some parts, whatever their versions, and tells what is new
// and what has gone.
func (s *Set) Replace(parts []int, items []Item) (news []Item, gone []Key) {
	had := map[Key]Item{}
	for k, i := range s.items {
		if slices.Contains(parts, k.part()) {
			had[k] = i
			s.remove(k)
		}
	}
	for _, i := range items {
		if old, there := had[i.Key()]; !there || !old.Same(i) {
			news = append(news, i)
		}
		delete(had, i.Key())
		s.put(i)
	}
	for k := range had {
		gone = append(gone, k)
	}
	slices.SortFunc(gone, func(a, b Key) int { return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name)) })
	return news, gone
}
