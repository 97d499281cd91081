package consensus

import (
	"cmp"
	"maps"
	"slices"

	"portflow/internal/cluster/config"
)

// writeBuffer collects the changes of the set for the next write of HardState.
type writeBuffer struct {
	requested bool                        // a write is due at the end of the current step
	items     map[config.Key]*config.Item // items changed since the last write; nil if removed from the set
}

// requestWrite requests a write of HardState and of the unsaved changes of the set at the end of the step. A value whose vote
// is already on this disk needs no write when it is applied: its items are written with the next vote, so an operation costs
// one sync.
func (n *Node) requestWrite() { n.unsaved.requested = true }

// writeHardState adds the requested write to the effects of the step.
func (n *Node) writeHardState() {
	hardState := n.hardState
	n.effects.HardState = &hardState
	for _, key := range n.unsavedKeys() {
		if item := n.unsaved.items[key]; item != nil {
			n.effects.SaveItems = append(n.effects.SaveItems, *item)
		} else {
			n.effects.DeleteKeys = append(n.effects.DeleteKeys, key)
		}
	}
	n.unsaved.requested = false
	clear(n.unsaved.items)
}

// unsavedKeys returns the keys of the items changed since the last write, sorted.
func (n *Node) unsavedKeys() []config.Key {
	return slices.SortedFunc(maps.Keys(n.unsaved.items), func(a, b config.Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

func (n *Node) stageChanges(updated []config.Item, removed []config.Key) {
	for _, item := range updated {
		n.stageItem(item)
	}
	for _, key := range removed {
		n.stageRemoval(key)
	}
}

// stageItem records an item that was added or updated, for subscribers and for the next write.
func (n *Node) stageItem(item config.Item) {
	n.effects.Updated = append(n.effects.Updated, item)
	n.unsaved.items[item.Key()] = &item
}

// stageRemoval records a key that was removed from the set, for subscribers and for the next write.
func (n *Node) stageRemoval(key config.Key) {
	n.effects.Removed = append(n.effects.Removed, key)
	n.unsaved.items[key] = nil
}
