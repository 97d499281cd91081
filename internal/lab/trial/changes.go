package trial

import (
	"fmt"
	"slices"
)

// Key identifies a configuration item.
type Key struct{ Kind, Name string }

// Item is one version of a configuration item, as sent or read by an operator.
type Item struct {
	Key
	Version uint64
	Dropped bool
	Fields  string // canonical JSON of all fields except the version; empty if dropped
}

func (i Item) String() string {
	return fmt.Sprintf("%s %s %08x dropped=%v %s", i.Kind, i.Name, i.Version, i.Dropped, i.Fields)
}

// itemHistory records the versions of one item that operators have sent.
type itemHistory struct {
	acknowledged    Item
	hasAcknowledged bool
	pending         []Item // sent, but neither acknowledged nor rejected
}

// Changes records the changes that operators send and checks the configuration that is read back. It does no I/O and is not safe for
// concurrent use.
type Changes struct{ items map[Key]*itemHistory }

// NewChanges returns a record without changes.
func NewChanges() *Changes { return &Changes{items: map[Key]*itemHistory{}} }

func (c *Changes) history(k Key) *itemHistory {
	h := c.items[k]
	if h == nil {
		h = &itemHistory{}
		c.items[k] = h
	}
	return h
}

// Sent records a call before its result is known.
func (c *Changes) Sent(items []Item) {
	for _, i := range items {
		h := c.history(i.Key)
		h.pending = append(h.pending, i)
	}
}

// Acknowledged records that a call was answered with 200, and returns a violation for each item for which another content of the same
// version was acknowledged before.
func (c *Changes) Acknowledged(items []Item) (all []Violation) {
	for _, i := range items {
		h := c.history(i.Key)
		h.removePending(i)
		switch {
		case !h.hasAcknowledged || i.Version > h.acknowledged.Version:
			h.acknowledged, h.hasAcknowledged = i, true
		case i.Version == h.acknowledged.Version && i != h.acknowledged:
			all = append(all, Violation{
				Rule:   "CONFIGURATION: two different contents of one version acknowledged",
				Detail: i.String() + " and " + h.acknowledged.String(),
			})
		}
	}
	return all
}

// Refused records that a call was definitively rejected: none of its items may be applied.
func (c *Changes) Refused(items []Item) {
	for _, i := range items {
		c.history(i.Key).removePending(i)
	}
}

// removePending removes i from the pending items, once if it was sent several times.
func (h *itemHistory) removePending(i Item) {
	if n := slices.Index(h.pending, i); n >= 0 {
		h.pending = slices.Delete(h.pending, n, n+1)
	}
}

// Check compares the configuration that a reader read with the recorded changes, and returns the differences as violations.
func (c *Changes) Check(reader string, current map[Key]Item) (all []Violation) {
	for key, h := range c.items {
		i, found := current[key]
		if h.explains(i, found) {
			continue
		}
		all = append(all, Violation{
			Rule:   "CONFIGURATION: an acknowledged change is not read back",
			Detail: fmt.Sprintf("%s: read found=%v %v, acknowledged %v, pending %v", reader, found, i, h.acknowledged, h.pending),
		})
	}
	for key, i := range current {
		if c.items[key] == nil {
			all = append(all, Violation{"CONFIGURATION: read an item that no operator sent", fmt.Sprintf("%s: %v", reader, i)})
		}
	}
	return all
}

// explains reports whether the item that was read is allowed by the history: it is the acknowledged version, a pending one that is
// newer, or none if none was acknowledged.
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

// readAs reports whether an item, once applied, is read as other; found is false if no item was read.
func (i Item) readAs(other Item, found bool) bool {
	if !found {
		return i.Dropped
	}
	return i == other
}
