// Package config owns the configuration that control processes agree on and proxies go by: items with versions of their own, the
// set that holds them, the check of a change against the set, and the routing table that is built from it.
//
// Two sets that hold the same items are equal, whatever way the items came. What a set or a routing table says is a function of its
// items alone: the package reads no clock, draws no chance, does no input or output and starts no goroutine. A Set is not safe for
// concurrent use. In which order changes apply is decided elsewhere (package consensus); how items are stored is package store.
//
// Begin reading at Item and Set, then ParseChange and Set.CheckChange for the way in, and RoutingTable for the way out.
package config

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"slices"
)

// The kinds of items.
const (
	KindRoutes         = "routes"
	KindServices       = "services"
	KindQuotas         = "shares"      // quotas of callers, in services
	KindLimits         = "limits"      // one item, named as its kind
	KindEvacuations    = "evacuations" // by zone: begun or withdrawn
	KindRollouts       = "rollouts"    // by service: the newest operation, and how it ended
	KindStableVersions = "settled"     // by service: the version that is not on trial
)

// Item is one unit of configuration. Body is JSON with its fields in the order of their names, so that equal items are equal bytes.
// A deleted item stays as a tombstone without a body.
type Item struct {
	Kind    string          `json:"k"`
	Name    string          `json:"n"`
	Version uint64          `json:"v"`
	Deleted bool            `json:"d,omitempty"`
	Body    json.RawMessage `json:"b,omitempty"`
	History []Revision      `json:"p,omitempty"` // earlier versions, the newest last; not sent to proxies
}

// Revision is what is kept of an earlier version of an item: enough to recognise another item of the same version.
type Revision struct {
	Version  uint64 `json:"v"`
	Checksum uint64 `json:"s"`
}

// MaxHistory is how many earlier versions an item remembers.
const MaxHistory = 8

// The bounds of an encoded item beside its texts, in bytes.
const (
	maxEncodedItemBytes     = 80 // field names, punctuation, version and deletion mark
	maxEncodedRevisionBytes = 56
)

// EncodedSizeBound returns an upper bound of the size of items as JSON, in bytes, where their names need no escapes.
func EncodedSizeBound(items []Item) (size int) {
	for _, i := range items {
		size += len(i.Kind) + len(i.Name) + len(i.Body)
		size += len(i.History)*maxEncodedRevisionBytes + maxEncodedItemBytes
	}
	return size
}

// WithHistory returns the item with the history that it has as the successor of old, an item of the same key.
func (i Item) WithHistory(old Item) Item {
	i.History = append(slices.Clone(old.History), Revision{Version: old.Version, Checksum: old.checksum()})
	i.History = i.History[max(0, len(i.History)-MaxHistory):]
	return i
}

// MatchesPast looks for an earlier item of the same key in the history. It reports whether that version is known, and whether it
// was the same item.
func (i Item) MatchesPast(past Item) (known, same bool) {
	for _, revision := range i.History {
		if revision.Version == past.Version {
			return true, revision.Checksum == past.checksum()
		}
	}
	return false, false
}

// PredatesHistory reports whether past has an earlier version than the history reaches back to, so that it can't be known any more
// whether there was an item of that version.
func (i Item) PredatesHistory(past Item) bool {
	return len(i.History) == MaxHistory && past.Version < i.History[0].Version
}

// Key identifies an item in a set.
type Key struct{ Kind, Name string }

// Key returns the key of the item.
func (i Item) Key() Key { return Key{i.Kind, i.Name} }

// Supersedes reports whether i takes precedence over j, an item of the same key. The higher version does. Two items of one version, as
// two operators may send them at once, are ordered by their content alone, so that every process decides alike: an item that is
// set takes precedence over a deleted one, then the greater bytes of the body.
func (i Item) Supersedes(j Item) bool {
	switch {
	case i.Version != j.Version:
		return i.Version > j.Version
	case i.Deleted != j.Deleted:
		return j.Deleted
	}
	return bytes.Compare(i.Body, j.Body) > 0
}

// Equal reports whether two items are the same but for their histories.
func (i Item) Equal(j Item) bool {
	return i.Key() == j.Key() && i.Version == j.Version && i.Deleted == j.Deleted && bytes.Equal(i.Body, j.Body)
}

// checksum returns the 64-bit FNV-1a hash of the item without its history. Writing to a hash never fails.
func (i Item) checksum() uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(i.Kind))
	hash.Write([]byte{0})
	hash.Write([]byte(i.Name))
	for shift := range 8 {
		hash.Write([]byte{byte(i.Version >> (8 * shift))})
	}
	if i.Deleted {
		hash.Write([]byte{1})
	}
	hash.Write(i.Body)
	return hash.Sum64()
}

// partition returns the partition of the key, from 0 to Partitions-1.
func (k Key) partition() int {
	hash := fnv.New32a()
	hash.Write([]byte(k.Kind))
	hash.Write([]byte(k.Name))
	return int(hash.Sum32() % Partitions)
}
