package consensus

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

// The history keeps the latest changes within its limits, and its totals match them.
func TestChangeHistoryBounds(t *testing.T) {
	for name, test := range map[string]struct {
		changes, items int // number of changes, and of items in each
		kept           int
	}{
		"within the limits":  {10, 1, 10},
		"too many changes":   {maxRecentChanges + 3, 1, maxRecentChanges},
		"too many items":     {5, maxRecentItems / 4, 4},
		"too large a change": {1, maxRecentItems + 1, 0},
		"empty changes":      {maxRecentChanges + 1, 0, maxRecentChanges},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var history changeHistory
			for index := range test.changes {
				items := make([]config.Item, test.items)
				for n := range items {
					items[n] = item(config.KindRoutes, fmt.Sprint("r", n), uint64(index+1), `{}`)
				}
				history.add(uint64(index+1), items)
			}
			c.Assert(history.changes, qt.HasLen, test.kept)
			items, bytes := 0, 0
			for n, change := range history.changes {
				c.Check(change.index, qt.Equals, uint64(test.changes-test.kept+n+1))
				items += len(change.items)
				bytes += change.bytes
			}
			c.Check(history.items, qt.Equals, items)
			c.Check(history.bytes, qt.Equals, bytes)
		})
	}
}

// A peer gets the changes after its applied index, up to the size limit of a message.
func TestChangeHistoryAfter(t *testing.T) {
	c := qt.New(t)
	var history changeHistory
	for index := uint64(1); index <= 5; index++ {
		history.add(index, []config.Item{item(config.KindRoutes, "r", index, `{}`)})
	}
	c.Check(history.after(5), qt.HasLen, 0)
	batches := history.after(3)
	c.Assert(batches, qt.HasLen, 2)
	c.Check(batches[0][0].Version, qt.Equals, uint64(4))
	c.Check(batches[1][0].Version, qt.Equals, uint64(5))
	many := make([]config.Item, maxRecentItems/4)
	history.add(6, many)
	history.add(7, many[:1])
	c.Check(history.after(5), qt.HasLen, 1, qt.Commentf("the peer requests the rest"))
}
