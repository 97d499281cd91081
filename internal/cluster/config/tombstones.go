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
type tombstones struct {
	kinds map[string]*tombstoneKind
	owner *treeOwner // of the nodes that may be modified in place, because no copy shares them
}

// tombstoneKind contains the deleted items of one kind, by partition.
type tombstoneKind [Partitions]*tombstoneTree

func newTombstones() *tombstones {
	return &tombstones{kinds: map[string]*tombstoneKind{}, owner: new(treeOwner)}
}

// tombstone is a deleted item without its kind.
type tombstone struct {
	name    string
	version uint64
	details string // see encodeDetails
}

func (t *tombstones) get(k Key) (Item, bool) {
	kind := t.kinds[k.Kind]
	if kind == nil {
		return Item{}, false
	}
	found := kind[k.partition()].lookup(k.Name)
	if found == nil {
		return Item{}, false
	}
	return found.item(k.Kind), true
}

func (t *tombstones) put(i Item) {
	kind := t.kinds[i.Kind]
	if kind == nil {
		kind = &tombstoneKind{}
		t.kinds[i.Kind] = kind
	}
	tree := &kind[i.Key().partition()]
	*tree = (*tree).with(tombstone{name: i.Name, version: i.Version, details: encodeDetails(i)}, t.owner)
}

func (t *tombstones) remove(k Key) {
	kind := t.kinds[k.Kind]
	if kind == nil {
		return
	}
	tree := &kind[k.partition()]
	if (*tree).lookup(k.Name) != nil {
		*tree = (*tree).without(k.Name, t.owner)
	}
}

func (t *tombstones) len() (n int) {
	for kind := range t.kinds {
		n += t.lenOf(kind)
	}
	return n
}

// lenOf returns the number of deleted items of a kind.
func (t *tombstones) lenOf(kind string) (n int) {
	for _, tree := range t.treesOf(kind) {
		n += tree.len()
	}
	return n
}

// treesOf returns the tree of each partition of a kind, none if no item of it was deleted.
func (t *tombstones) treesOf(kind string) []*tombstoneTree {
	trees := t.kinds[kind]
	if trees == nil {
		return nil
	}
	return trees[:]
}

// highestVersion returns the highest version of the deleted items of a kind, 0 if there are none.
func (t *tombstones) highestVersion(kind string) (version uint64) {
	for _, tree := range t.treesOf(kind) {
		if tree != nil {
			version = max(version, tree.highest)
		}
	}
	return version
}

// each calls yield for the items until it returns false.
func (t *tombstones) each(yield func(Item) bool) {
	for kind := range t.kinds {
		if !t.eachOf(kind, yield) {
			return
		}
	}
}

// eachDropped is each for the items that are not of KindDepartures.
func (t *tombstones) eachDropped(yield func(Item) bool) {
	for kind := range t.kinds {
		if kind != KindDepartures && !t.eachOf(kind, yield) {
			return
		}
	}
}

// eachOf calls yield for the items of a kind until it returns false, which eachOf then returns as well.
func (t *tombstones) eachOf(kind string, yield func(Item) bool) bool {
	for _, tree := range t.treesOf(kind) {
		if !tree.eachItem(kind, yield) {
			return false
		}
	}
	return true
}

// eachIn is each for the items in the marked partitions.
func (t *tombstones) eachIn(marked *[Partitions]bool, yield func(Item) bool) {
	for name, kind := range t.kinds {
		for partition, tree := range kind {
			if marked[partition] && !tree.eachItem(name, yield) {
				return
			}
		}
	}
}

// clone returns a copy that shares all nodes. From then on, neither the copy nor t modifies these nodes in place.
func (t *tombstones) clone() *tombstones {
	copied := newTombstones()
	for name, kind := range t.kinds {
		trees := *kind
		copied.kinds[name] = &trees
	}
	t.owner = new(treeOwner)
	return copied
}

// item returns the tombstone as an item of the given kind.
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

// treeOwner identifies the tombstones that created a node. Only its address matters, so it must not have size 0.
type treeOwner struct{ _ byte }

// tombstoneTree is a node of a hash trie, and the trie below it; the empty trie is nil. A leaf has its entries sorted by name, an inner
// node has children by the next bits of the hash of the name. Updates modify the nodes of their own owner in place, and copy the
// others on the path to the entry: a trie that shares nodes with a copy never changes through an update of that copy.
type tombstoneTree struct {
	owner    *treeOwner
	children *[branches]*tombstoneTree // nil for a leaf
	entries  []tombstone
	count    int    // number of tombstones in the trie
	highest  uint64 // highest version in the trie
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

// with returns the trie with a tombstone added or replaced.
func (t *tombstoneTree) with(entry tombstone, owner *treeOwner) *tombstoneTree {
	return t.withAt(entry, nameHash(entry.name), 0, owner)
}

func (t *tombstoneTree) withAt(entry tombstone, hash uint64, depth int, owner *treeOwner) *tombstoneTree {
	if t == nil {
		return newLeaf([]tombstone{entry}, owner)
	}
	t = t.ownedBy(owner)
	if t.children != nil {
		child := &t.children[branch(hash, depth)]
		*child = (*child).withAt(entry, hash, depth+1, owner)
		t.updateTotals()
		return t
	}
	at, found := slices.BinarySearchFunc(t.entries, entry.name, compareName)
	if found {
		t.entries[at] = entry
		t.updateTotals()
		return t
	}
	entries := make([]tombstone, 0, len(t.entries)+1)
	entries = append(entries, t.entries[:at]...)
	entries = append(entries, entry)
	entries = append(entries, t.entries[at:]...)
	return splitLeaf(entries, depth, owner)
}

// ownedBy returns t if the owner may modify it, otherwise a copy that it may modify.
func (t *tombstoneTree) ownedBy(owner *treeOwner) *tombstoneTree {
	if t.owner == owner {
		return t
	}
	copied := *t
	copied.owner = owner
	copied.entries = slices.Clone(t.entries)
	if t.children != nil {
		children := *t.children
		copied.children = &children
	}
	return &copied
}

// updateTotals recomputes count and highest from the entries or the children.
func (t *tombstoneTree) updateTotals() {
	t.count = len(t.entries)
	t.highest = 0
	for _, entry := range t.entries {
		t.highest = max(t.highest, entry.version)
	}
	if t.children == nil {
		return
	}
	for _, child := range t.children {
		if child != nil {
			t.count += child.count
			t.highest = max(t.highest, child.highest)
		}
	}
}

// splitLeaf returns a leaf with the entries or, if there are too many, an inner node with several leaves.
func splitLeaf(entries []tombstone, depth int, owner *treeOwner) *tombstoneTree {
	if len(entries) <= maxLeafEntries || depth == maxTreeDepth {
		return newLeaf(entries, owner)
	}
	var groups [branches][]tombstone
	for _, entry := range entries {
		group := &groups[branch(nameHash(entry.name), depth)]
		*group = append(*group, entry)
	}
	inner := &tombstoneTree{owner: owner, children: new([branches]*tombstoneTree)}
	for n, group := range groups {
		if len(group) > 0 {
			inner.children[n] = splitLeaf(slices.Clip(slices.Clone(group)), depth+1, owner)
		}
	}
	inner.updateTotals()
	return inner
}

// without returns the trie without the tombstone of a name, which must exist.
func (t *tombstoneTree) without(name string, owner *treeOwner) *tombstoneTree {
	return t.withoutAt(name, nameHash(name), 0, owner)
}

func (t *tombstoneTree) withoutAt(name string, hash uint64, depth int, owner *treeOwner) *tombstoneTree {
	if t.count == 1 {
		return nil
	}
	t = t.ownedBy(owner)
	if t.children == nil {
		t.entries = slices.DeleteFunc(t.entries, func(e tombstone) bool { return e.name == name })
		t.updateTotals()
		return t
	}
	child := &t.children[branch(hash, depth)]
	*child = (*child).withoutAt(name, hash, depth+1, owner)
	t.updateTotals()
	if t.count > joinLeafEntries {
		return t
	}
	return t.joinLeaves(owner)
}

// joinLeaves returns a leaf with all entries of the trie.
func (t *tombstoneTree) joinLeaves(owner *treeOwner) *tombstoneTree {
	entries := make([]tombstone, 0, t.count)
	t.each(func(entry tombstone) bool {
		entries = append(entries, entry)
		return true
	})
	slices.SortFunc(entries, func(a, b tombstone) int { return strings.Compare(a.name, b.name) })
	return newLeaf(entries, owner)
}

func newLeaf(entries []tombstone, owner *treeOwner) *tombstoneTree {
	leaf := &tombstoneTree{owner: owner, entries: entries}
	leaf.updateTotals()
	return leaf
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
