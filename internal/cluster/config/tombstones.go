package config

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"
)

// tombstones contains the deleted items of all kinds. They are never evicted: a change with a lower version than that of a deleted item
// may arrive at any later time, and only the tombstone shows that it is outdated. Therefore a lookup and an update cost the
// logarithm of the number of tombstones, and a copy costs the same whatever their number.
type tombstones map[string]*tombstoneKind // by kind

// tombstoneKind contains the deleted items of one kind, by partition. It is modified in place, but the trees are immutable.
type tombstoneKind [Partitions]*tombstoneTree

// tombstone is a deleted item without its kind.
type tombstone struct {
	name    string
	version uint64
	details string // see encodeDetails
}

func (t tombstones) get(k Key) (Item, bool) {
	kind := t[k.Kind]
	if kind == nil {
		return Item{}, false
	}
	found := kind[k.partition()].lookup(k.Name)
	if found == nil {
		return Item{}, false
	}
	return found.item(k.Kind), true
}

func (t tombstones) put(i Item) {
	kind := t[i.Kind]
	if kind == nil {
		kind = &tombstoneKind{}
		t[i.Kind] = kind
	}
	tree := &kind[i.Key().partition()]
	*tree = (*tree).with(tombstone{name: i.Name, version: i.Version, details: encodeDetails(i)})
}

func (t tombstones) remove(k Key) {
	kind := t[k.Kind]
	if kind == nil {
		return
	}
	tree := &kind[k.partition()]
	if (*tree).lookup(k.Name) != nil {
		*tree = (*tree).without(k.Name)
	}
}

func (t tombstones) len() (n int) {
	for _, kind := range t {
		for _, tree := range kind {
			n += tree.len()
		}
	}
	return n
}

// highestVersion returns the highest version of the deleted items of a kind, 0 if there are none.
func (t tombstones) highestVersion(kind string) (version uint64) {
	trees := t[kind]
	if trees == nil {
		return 0
	}
	for _, tree := range trees {
		if tree != nil {
			version = max(version, tree.highest)
		}
	}
	return version
}

// each calls yield for the items until it returns false.
func (t tombstones) each(yield func(Item) bool) {
	for name, kind := range t {
		for _, tree := range kind {
			if !tree.eachItem(name, yield) {
				return
			}
		}
	}
}

// eachIn is each for the items in the marked partitions.
func (t tombstones) eachIn(marked *[Partitions]bool, yield func(Item) bool) {
	for name, kind := range t {
		for partition, tree := range kind {
			if marked[partition] && !tree.eachItem(name, yield) {
				return
			}
		}
	}
}

func (t tombstones) clone() tombstones {
	copied := make(tombstones, len(t))
	for name, kind := range t {
		trees := *kind
		copied[name] = &trees
	}
	return copied
}

// item returns the deleted item of the given kind.
func (t tombstone) item(kind string) Item {
	i := Item{Kind: kind, Name: t.name, Version: t.version, Deleted: true}
	decodeDetails(t.details, &i)
	return i
}

// checksumBytes is the encoded size of a revision's checksum.
const checksumBytes = 8

// encodeDetails encodes the history of a deleted item, and its body, which an item in a snapshot file may have: the number of revisions,
// for each revision its version (both as uvarint) and its checksum (big-endian), then the body. It returns "" if there is neither.
func encodeDetails(i Item) string {
	if len(i.History) == 0 && len(i.Body) == 0 {
		return ""
	}
	raw := binary.AppendUvarint(nil, uint64(len(i.History)))
	for _, revision := range i.History {
		raw = binary.AppendUvarint(raw, revision.Version)
		raw = binary.BigEndian.AppendUint64(raw, revision.Checksum)
	}
	return string(append(raw, i.Body...))
}

// decodeDetails sets the history and the body of an item from the result of encodeDetails.
func decodeDetails(details string, i *Item) {
	if details == "" {
		return
	}
	raw := []byte(details)
	count, size := binary.Uvarint(raw)
	raw = raw[size:]
	for range count {
		version, size := binary.Uvarint(raw)
		raw = raw[size:]
		i.History = append(i.History, Revision{Version: version, Checksum: binary.BigEndian.Uint64(raw)})
		raw = raw[checksumBytes:]
	}
	if len(raw) > 0 {
		i.Body = slices.Clone(raw)
	}
}

// Shape of a tombstoneTree.
const (
	branchBits      = 2               // bits of a name's hash that select the child of an inner node
	branches        = 1 << branchBits // children of an inner node
	maxTreeDepth    = 64 / branchBits // depth at which a name's hash has no bits left; leaves there are not split
	maxLeafEntries  = 16              // a leaf with more entries is split
	joinLeafEntries = maxLeafEntries / 2
)

// tombstoneTree is an immutable hash trie: updates return a new tree that shares the unchanged nodes with the old one. The empty tree is
// nil. A leaf has its entries sorted by name, an inner node has children by the next bits of the hash of the name.
type tombstoneTree struct {
	children *[branches]*tombstoneTree // nil for a leaf
	entries  []tombstone
	count    int    // number of tombstones in the tree
	highest  uint64 // highest version in the tree
}

func nameHash(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// branch returns the index of the child that a hash belongs to, at an inner node of the given depth.
func branch(hash uint64, depth int) int {
	return int(hash>>(depth*branchBits)) & (branches - 1)
}

func compareName(t tombstone, name string) int { return strings.Compare(t.name, name) }

func (t *tombstoneTree) len() int {
	if t == nil {
		return 0
	}
	return t.count
}

// lookup returns the tombstone of a name, or nil if there is none.
func (t *tombstoneTree) lookup(name string) *tombstone {
	hash := nameHash(name)
	for depth := 0; t != nil && t.children != nil; depth++ {
		t = t.children[branch(hash, depth)]
	}
	if t == nil {
		return nil
	}
	at, found := slices.BinarySearchFunc(t.entries, name, compareName)
	if !found {
		return nil
	}
	return &t.entries[at]
}

// with returns the tree with a tombstone added or replaced.
func (t *tombstoneTree) with(entry tombstone) *tombstoneTree {
	return t.withAt(entry, nameHash(entry.name), 0)
}

func (t *tombstoneTree) withAt(entry tombstone, hash uint64, depth int) *tombstoneTree {
	if t == nil {
		return newLeaf([]tombstone{entry})
	}
	if t.children != nil {
		children := *t.children
		child := &children[branch(hash, depth)]
		*child = (*child).withAt(entry, hash, depth+1)
		return newInner(&children)
	}
	at, found := slices.BinarySearchFunc(t.entries, entry.name, compareName)
	if found {
		entries := slices.Clone(t.entries)
		entries[at] = entry
		return newLeaf(entries)
	}
	entries := make([]tombstone, 0, len(t.entries)+1)
	entries = append(entries, t.entries[:at]...)
	entries = append(entries, entry)
	entries = append(entries, t.entries[at:]...)
	return splitLeaf(entries, depth)
}

// splitLeaf returns a leaf with the entries or, if there are too many, an inner node with several leaves.
func splitLeaf(entries []tombstone, depth int) *tombstoneTree {
	if len(entries) <= maxLeafEntries || depth == maxTreeDepth {
		return newLeaf(entries)
	}
	var groups [branches][]tombstone
	for _, entry := range entries {
		group := &groups[branch(nameHash(entry.name), depth)]
		*group = append(*group, entry)
	}
	var children [branches]*tombstoneTree
	for n, group := range groups {
		if len(group) > 0 {
			children[n] = splitLeaf(slices.Clip(slices.Clone(group)), depth+1)
		}
	}
	return newInner(&children)
}

// without returns the tree without the tombstone of a name, which must exist.
func (t *tombstoneTree) without(name string) *tombstoneTree {
	return t.withoutAt(name, nameHash(name), 0)
}

func (t *tombstoneTree) withoutAt(name string, hash uint64, depth int) *tombstoneTree {
	if t.count == 1 {
		return nil
	}
	if t.children == nil {
		entries := slices.DeleteFunc(slices.Clone(t.entries), func(e tombstone) bool { return e.name == name })
		return newLeaf(entries)
	}
	children := *t.children
	child := &children[branch(hash, depth)]
	*child = (*child).withoutAt(name, hash, depth+1)
	if t.count-1 > joinLeafEntries {
		return newInner(&children)
	}
	return joinLeaves(newInner(&children))
}

// joinLeaves returns a leaf with all entries of a tree.
func joinLeaves(t *tombstoneTree) *tombstoneTree {
	entries := make([]tombstone, 0, t.count)
	t.each(func(entry tombstone) bool {
		entries = append(entries, entry)
		return true
	})
	slices.SortFunc(entries, func(a, b tombstone) int { return strings.Compare(a.name, b.name) })
	return newLeaf(entries)
}

func newLeaf(entries []tombstone) *tombstoneTree {
	leaf := &tombstoneTree{entries: entries, count: len(entries)}
	for _, entry := range entries {
		leaf.highest = max(leaf.highest, entry.version)
	}
	return leaf
}

func newInner(children *[branches]*tombstoneTree) *tombstoneTree {
	inner := &tombstoneTree{children: children}
	for _, child := range children {
		if child != nil {
			inner.count += child.count
			inner.highest = max(inner.highest, child.highest)
		}
	}
	return inner
}

// each calls yield for the tombstones until it returns false, which each then returns as well.
func (t *tombstoneTree) each(yield func(tombstone) bool) bool {
	if t == nil {
		return true
	}
	for _, entry := range t.entries {
		if !yield(entry) {
			return false
		}
	}
	if t.children == nil {
		return true
	}
	for _, child := range t.children {
		if !child.each(yield) {
			return false
		}
	}
	return true
}

// eachItem is each for the items of the tombstones, which are of the given kind.
func (t *tombstoneTree) eachItem(kind string, yield func(Item) bool) bool {
	return t.each(func(entry tombstone) bool { return yield(entry.item(kind)) })
}
