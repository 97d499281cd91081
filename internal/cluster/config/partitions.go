package config

import (
	"cmp"
	"slices"
	"strings"
)

// DifferingPartitions tells in which parts another holder's sums are others; one that has none of ours differs in all that hold anything.
func (s *Set) DifferingPartitions(theirs []uint64) (parts []int) {
	for p, sum := range s.partitionSums {
		if p >= len(theirs) || theirs[p] != sum {
			parts = append(parts, p)
		}
	}
	return parts
}

// InPartitions are the items of some parts, in the order of their keys.
func (s *Set) InPartitions(parts []int) (all []Item) {
	for k, i := range s.items {
		if slices.Contains(parts, k.partition()) {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// ReplacePartitions puts others' items in the place of all that stand in some parts, whatever their versions, and tells what is new
// and what has gone.
func (s *Set) ReplacePartitions(parts []int, items []Item) (changed []Item, removed []Key) {
	previous := map[Key]Item{}
	for k, i := range s.items {
		if slices.Contains(parts, k.partition()) {
			previous[k] = i
			s.remove(k)
		}
	}
	for _, i := range items {
		if old, there := previous[i.Key()]; !there || !old.Equal(i) {
			changed = append(changed, i)
		}
		delete(previous, i.Key())
		s.put(i)
	}
	for k := range previous {
		removed = append(removed, k)
	}
	slices.SortFunc(removed, func(a, b Key) int { return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name)) })
	return changed, removed
}
