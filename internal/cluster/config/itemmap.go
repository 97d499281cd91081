package config

import (
	"iter"
	"maps"
)

// ItemMap maps keys to items. Live items are kept as they are, deleted ones in the compact form of tombstones, as their number only
// grows. It is not safe for concurrent use.
type ItemMap struct {
	live    map[Key]Item
	deleted *tombstones
}

// NewItemMap returns an empty map.
func NewItemMap() *ItemMap {
	return &ItemMap{live: map[Key]Item{}, deleted: newTombstones()}
}

// Get returns the item of a key and whether it exists. The item may be deleted.
func (m *ItemMap) Get(k Key) (Item, bool) {
	if i, exists := m.live[k]; exists {
		return i, true
	}
	return m.deleted.get(k)
}

// Put adds an item, replacing the one with the same key.
func (m *ItemMap) Put(i Item) {
	k := i.Key()
	if !i.Deleted {
		m.deleted.remove(k)
		m.live[k] = i
		return
	}
	delete(m.live, k)
	m.deleted.put(i)
}

// Delete removes the item of a key, if it exists.
func (m *ItemMap) Delete(k Key) {
	delete(m.live, k)
	m.deleted.remove(k)
}

// Len returns the number of items, including deleted ones.
func (m *ItemMap) Len() int { return len(m.live) + m.deleted.len() }

// All returns all items, including deleted ones, in no particular order. The map must not be modified during the iteration.
func (m *ItemMap) All() iter.Seq[Item] { return m.withTombstones(m.deleted.each) }

// WithoutDepartures is All without the items of KindDepartures, which it doesn't visit.
func (m *ItemMap) WithoutDepartures() iter.Seq[Item] { return m.withTombstones(m.deleted.eachDropped) }

// withTombstones returns the live items, then the deleted ones that each yields.
func (m *ItemMap) withTombstones(each iter.Seq[Item]) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for _, i := range m.live {
			if !yield(i) {
				return
			}
		}
		each(yield)
	}
}

// inPartitions returns all items in the marked partitions, including deleted ones, in no particular order. It visits all live items, but
// only the deleted ones of these partitions.
func (m *ItemMap) inPartitions(marked *[Partitions]bool) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		for k, i := range m.live {
			if marked[k.partition()] && !yield(i) {
				return
			}
		}
		m.deleted.eachIn(marked, yield)
	}
}

// clone returns a copy that can be modified independently. Its cost depends on the number of live items only: the copies share their
// tombstones.
func (m *ItemMap) clone() *ItemMap {
	return &ItemMap{live: maps.Clone(m.live), deleted: m.deleted.clone()}
}
