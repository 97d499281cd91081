package trial

import (
	"fmt"
	"slices"
)

// Key names a configuration item.
type Key struct{ Kind, Name string }

// Item is a configuration item as an operator sends or reads it.
type Item struct {
	Key
	Version uint64
	Dropped bool
	Fields  string // its fields but the version, canonical; empty where it is dropped
}

func (i Item) String() string {
	return fmt.Sprintf("%s %s %08x dropped=%v %s", i.Kind, i.Name, i.Version, i.Dropped, i.Fields)
}

// itemHistory is what an operator knows of one item's versions.
type itemHistory struct {
	acknowledged    Item
	hasAcknowledged bool
	pending         []Item // sent, and neither acknowledged nor refused
}

// Changes records operators' changes and judges what is read back. It is pure, and not safe for concurrent use.
type Changes struct{ items map[Key]*itemHistory }

// NewChanges returns an empty record.
func NewChanges() *Changes { return &Changes{items: map[Key]*itemHistory{}} }

func (c *Changes) history(k Key) *itemHistory {
	h := c.items[k]
	if h == nil {
		h = &itemHistory{}
		c.items[k] = h
	}
	return h
}

// Sent records a call whose outcome is open.
func (c *Changes) Sent(items []Item) {
	for _, i := range items {
		h := c.history(i.Key)
		h.pending = append(h.pending, i)
	}
}

// Acknowledged records that a call was answered with 200, and returns the rules that this breaks.
func (c *Changes) Acknowledged(items []Item) (all []Violation) {
	for _, i := range items {
		h := c.history(i.Key)
		h.removePending(i)
		switch {
		case !h.hasAcknowledged || i.Version > h.acknowledged.Version:
			h.acknowledged, h.hasAcknowledged = i, true
		case i.Version == h.acknowledged.Version && i != h.acknowledged:
			all = append(all, Violation{
				Rule:   "CONFIGURATION: two contents of one version acknowledged",
				Detail: i.String() + " beside " + h.acknowledged.String(),
			})
		}
	}
	return all
}

// Refused records that a call was refused for good: nothing of it may come into force.
func (c *Changes) Refused(items []Item) {
	for _, i := range items {
		c.history(i.Key).removePending(i)
	}
}

// removePending removes one pending call of an item.
func (h *itemHistory) removePending(i Item) {
	if n := slices.Index(h.pending, i); n >= 0 {
		h.pending = slices.Delete(h.pending, n, n+1)
	}
}

// Check compares what a reader read with what was acknowledged, and returns the differences.
func (c *Changes) Check(reader string, current map[Key]Item) (all []Violation) {
	for key, h := range c.items {
		i, found := current[key]
		if h.explains(i, found) {
			continue
		}
		all = append(all, Violation{
			Rule:   "CONFIGURATION: an acknowledged change is not read back",
			Detail: fmt.Sprintf("%s: read %v %v, acknowledged %v, open %v", reader, found, i, h.acknowledged, h.pending),
		})
	}
	for key, i := range current {
		if c.items[key] == nil {
			all = append(all, Violation{"CONFIGURATION: an item that nobody sent is read", fmt.Sprintf("%s: %v", reader, i)})
		}
	}
	return all
}

// explains reports whether what was read follows from what was sent: it is what was acknowledged, or a later call that is pending.
func (h *itemHistory) explains(i Item, found bool) bool {
	if !h.hasAcknowledged && !found {
		return true
	}
	if h.hasAcknowledged && h.acknowledged.readAs(i, found) {
		return true
	}
	for _, p := range h.pending {
		if h.hasAcknowledged && p.Version <= h.acknowledged.Version {
			continue
		}
		if p.readAs(i, found) {
			return true
		}
	}
	return false
}

// readAs reports whether an item, once in force, is read as other; found is false where nothing was read.
func (i Item) readAs(other Item, found bool) bool {
	if !found {
		return i.Dropped
	}
	return i == other
}
