package consensus

import (
	"cmp"
	"maps"
	"slices"

	"portflow/internal/cluster/config"
)

// writeBuffer collects what is to be written with the next HardState.
type writeBuffer struct {
	requested bool                        // a write is due at the end of the step
	items     map[config.Key]*config.Item // changed since the last write; nil for one that left the set
}

// requestWrite has HardState written at the end of the step, with the changes of the set since the last write. A value whose vote is
// on this disk need not be written again when it is applied: its items go along with the next vote, so an operation costs one sync.
func (n *Node) requestWrite() { n.unsaved.requested = true }

// writeHardState puts the write of this step into its effects.
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

// unsavedKeys returns the keys of the items that have changed since the last write, in order.
func (n *Node) unsavedKeys() []config.Key {
	return slices.SortedFunc(maps.Keys(n.unsaved.items), func(a, b config.Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// stageChanges notes items that entered the set, and keys that left it.
func (n *Node) stageChanges(updated []config.Item, removed []config.Key) {
	for _, item := range updated {
		n.stageItem(item)
	}
	for _, key := range removed {
		n.stageRemoval(key)
	}
}

// stageItem notes an item that entered the set, for subscribers and for the next write.
func (n *Node) stageItem(item config.Item) {
	n.effects.Updated = append(n.effects.Updated, item)
	n.unsaved.items[item.Key()] = &item
}

// stageRemoval notes a key that left the set, for subscribers and for the next write.
func (n *Node) stageRemoval(key config.Key) {
	n.effects.Removed = append(n.effects.Removed, key)
	n.unsaved.items[key] = nil
}
