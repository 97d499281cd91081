// Package config implements the configuration that control processes replicate and proxies apply: versioned items, the set that
// contains them, the validation of a change against the set, and the routing table that is built from the set.
//
// Two sets with the same items are equal, in whatever order the items were added. The state of a set or routing table is a function
// of its items alone: the package reads no clock, uses no randomness, does no I/O and starts no goroutine. A Set is not safe for
// concurrent use. Package consensus decides the order in which changes are applied; package store persists the items.
//
// Start reading at Item and Set, continue with ParseChange and Set.CheckChange (input), then RoutingTable (output).
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
	KindQuotas         = "shares"      // callers' quotas of services
	KindLimits         = "limits"      // a single item, with the kind as its name
	KindEvacuations    = "evacuations" // by zone: begun or withdrawn
	KindRollouts       = "rollouts"    // by service: the newest operation and its outcome
	KindStableVersions = "settled"     // by service: the version that is not under trial
	KindDepartures     = "departures"  // by host ID, always deleted: hosts that leave or have left, for good
)

// Item is one unit of configuration. Body is a JSON object with its fields sorted by name, so that equal items have equal bytes.
// A deleted item is kept as a tombstone without a body.
type Item struct {
	Kind    string          `json:"k"`
	Name    string          `json:"n"`
	Version uint64          `json:"v"`
	Deleted bool            `json:"d,omitempty"`
	Body    json.RawMessage `json:"b,omitempty"`
	History []Revision      `json:"p,omitempty"` // earlier versions, newest last; not sent to proxies
}

// Revision identifies an earlier version of an item. The checksum distinguishes it from another item with the same version.
type Revision struct {
	Version  uint64 `json:"v"`
	Checksum uint64 `json:"s"`
}

// MaxHistory is the maximum number of earlier versions in an item's history.
const MaxHistory = 8

// Upper bounds of the encoded size, in bytes. The kind, name and body of an item are counted separately.
const (
	maxEncodedItemBytes     = 80 // field names, punctuation, version and deleted flag
	maxEncodedRevisionBytes = 56
)

// EncodedSizeBound returns an upper bound of the size of items encoded as JSON, in bytes. It assumes that names need no escaping.
func EncodedSizeBound(items []Item) (size int) {
	for _, i := range items {
		size += len(i.Kind) + len(i.Name) + len(i.Body)
		size += len(i.History)*maxEncodedRevisionBytes + maxEncodedItemBytes
	}
	return size
}

// WithHistory returns the item with the history of old, which it replaces, extended by old itself. Both have the same key.
func (i Item) WithHistory(old Item) Item {
	i.History = append(slices.Clone(old.History), Revision{Version: old.Version, Checksum: old.checksum()})
	i.History = i.History[max(0, len(i.History)-MaxHistory):]
	return i
}

// MatchesPast looks up past, an item with the same key, in the history. It reports whether the history contains its version, and
// whether the item of that version was the same as past.
func (i Item) MatchesPast(past Item) (known, same bool) {
	for _, revision := range i.History {
		if revision.Version == past.Version {
			return true, revision.Checksum == past.checksum()
		}
	}
	return false, false
}

// PredatesHistory reports whether past is older than the oldest entry of a full history, so that the history can no longer show
// whether there was an item with that version.
func (i Item) PredatesHistory(past Item) bool {
	return len(i.History) == MaxHistory && past.Version < i.History[0].Version
}

// Key identifies an item in a set.
type Key struct{ Kind, Name string }

// Key returns the key of the item.
func (i Item) Key() Key { return Key{i.Kind, i.Name} }

// Supersedes reports whether i takes precedence over j, an item with the same key. The higher version takes precedence. Two items with
// the same version, which two operators may send concurrently, are ordered by their content alone, so that all processes decide
// alike: an item that is not deleted takes precedence over a deleted one, otherwise the item with the greater body does, compared
// as bytes.
func (i Item) Supersedes(j Item) bool {
	switch {
	case i.Version != j.Version:
		return i.Version > j.Version
	case i.Deleted != j.Deleted:
		return j.Deleted
	}
	return bytes.Compare(i.Body, j.Body) > 0
}

// Equal reports whether two items are the same, ignoring their histories.
func (i Item) Equal(j Item) bool {
	return i.Key() == j.Key() && i.Version == j.Version && i.Deleted == j.Deleted && bytes.Equal(i.Body, j.Body)
}

// checksum returns the 64-bit FNV-1a hash of the item, excluding its history. Errors are ignored because hash.Hash.Write never fails.
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

// partition returns the index of the partition that the key belongs to, from 0 to Partitions-1.
func (k Key) partition() int {
	hash := fnv.New32a()
	hash.Write([]byte(k.Kind))
	hash.Write([]byte(k.Name))
	return int(hash.Sum32() % Partitions)
}
