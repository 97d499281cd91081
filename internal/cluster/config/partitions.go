package config

import "slices"

// Partitions is the number of partitions that the items of a set are hashed into. By comparing the partitions' checksums, two processes
// narrow down the items in which their sets differ.
const Partitions = 64

// PartitionSums returns the checksums of the partitions. Sets with the same checksums are considered equal.
func (s *Set) PartitionSums() [Partitions]uint64 { return s.partitionSums }

// Checksum returns a checksum of all items, combined from those of the partitions.
func (s *Set) Checksum() (sum uint64) {
	for p, partitionSum := range s.partitionSums {
		sum ^= partitionSum * uint64(2*p+1)
	}
	return sum
}

// DifferingItems returns the items in the partitions whose checksums differ from those of another set, sorted by key.
func (s *Set) DifferingItems(theirs [Partitions]uint64) (all []Item) {
	for k, i := range s.items {
		if p := k.partition(); s.partitionSums[p] != theirs[p] {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// DifferingPartitions returns the indexes of the partitions whose checksums differ from those of another set. Partitions beyond the
// length of theirs are considered different.
func (s *Set) DifferingPartitions(theirs []uint64) (partitions []int) {
	for p, sum := range s.partitionSums {
		if p >= len(theirs) || theirs[p] != sum {
			partitions = append(partitions, p)
		}
	}
	return partitions
}

// InPartitions returns the items in the given partitions, tombstones included, sorted by key.
func (s *Set) InPartitions(partitions []int) (all []Item) {
	for k, i := range s.items {
		if slices.Contains(partitions, k.partition()) {
			all = append(all, i)
		}
	}
	sortItems(all)
	return all
}

// ReplacePartitions replaces all items in the given partitions with those of another set, regardless of versions. It returns the items
// that are new or changed, in the order given, and the removed keys, sorted.
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
