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
	return s.InPartitions(s.DifferingPartitions(theirs[:]))
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
func (s *Set) InPartitions(partitions []int) []Item {
	all := slices.Collect(s.items.inPartitions(markPartitions(partitions)))
	sortItems(all)
	return all
}

// markPartitions returns for each partition whether it is in the list. Indexes out of range are ignored.
func markPartitions(partitions []int) *[Partitions]bool {
	var marked [Partitions]bool
	for _, p := range partitions {
		if p >= 0 && p < Partitions {
			marked[p] = true
		}
	}
	return &marked
}

// ReplacePartitions replaces all items in the given partitions with those of another set, regardless of versions. It returns the items
// that are new or changed, in the order given, and the removed keys, sorted.
func (s *Set) ReplacePartitions(partitions []int, items []Item) (changed []Item, removed []Key) {
	previous := map[Key]Item{}
	for i := range s.items.inPartitions(markPartitions(partitions)) {
		previous[i.Key()] = i
	}
	for k := range previous {
		s.remove(k)
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
