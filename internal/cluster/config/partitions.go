package config

import "slices"

// Partitions is the number of partitions that a set's checksums are split into. Two processes find the items in which they differ
// by comparing them.
const Partitions = 64

// PartitionSums returns the checksums of the partitions. Two sets with the same checksums are taken to be equal.
func (s *Set) PartitionSums() [Partitions]uint64 { return s.partitionSums }

// Checksum returns one checksum of all items.
func (s *Set) Checksum() (sum uint64) {
	for p, partitionSum := range s.partitionSums {
		sum ^= partitionSum * uint64(2*p+1)
	}
	return sum
}

// DifferingItems returns the items in the partitions whose checksums differ from those of another set, in the order of their keys.
func (s *Set) DifferingItems(theirs [Partitions]uint64) (all []Item) {
	for k, i := range s.items {
		if p := k.partition(); s.partitionSums[p] != theirs[p] {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// DifferingPartitions returns the partitions whose checksums differ from those of another set. A checksum that is missing in theirs
// differs.
func (s *Set) DifferingPartitions(theirs []uint64) (partitions []int) {
	for p, sum := range s.partitionSums {
		if p >= len(theirs) || theirs[p] != sum {
			partitions = append(partitions, p)
		}
	}
	return partitions
}

// InPartitions returns the items in some partitions, in the order of their keys.
func (s *Set) InPartitions(partitions []int) (all []Item) {
	for k, i := range s.items {
		if slices.Contains(partitions, k.partition()) {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// ReplacePartitions replaces all items in some partitions by those of another set, whatever their versions. It returns the items
// that are new or changed, and the keys that are gone, in order.
func (s *Set) ReplacePartitions(partitions []int, items []Item) (changed []Item, removed []Key) {
	previous := map[Key]Item{}
	for k, i := range s.items {
		if slices.Contains(partitions, k.partition()) {
			previous[k] = i
			s.remove(k)
		}
	}
	for _, i := range items {
		if old, exists := previous[i.Key()]; !exists || !old.Equal(i) {
			changed = append(changed, i)
		}
		delete(previous, i.Key())
		s.put(i)
	}
	for k := range previous {
		removed = append(removed, k)
	}
	sortKeys(removed)
	return changed, removed
}
