package endpoint

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

// A proxy must not accumulate tombstones for as long as it runs: with positions it keeps at most maxTombstones, and its live items stay the
// same. Without positions, as sent by earlier releases, items are merged, and each tombstone must stay.
func TestTombstonesBounded(t *testing.T) {
	c := qt.New(t)
	const deletions = 3 * maxTombstones
	for _, withPosition := range []bool{false, true} {
		table := NewTable("front", Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
		table.ApplyAt(Position{}, changesOf(testRoute("live", 1)), true)
		highest := 0
		for n := range deletions {
			at := Position{}
			if withPosition {
				at = Position{1, uint64(n + 1)}
			}
			table.ApplyAt(at, changesOf(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("r", n), Version: uint64(n + 1), Deleted: true}), false)
			highest = max(highest, table.Set.Tombstones())
		}
		if withPosition {
			c.Check(highest, qt.Equals, maxTombstones)
		} else {
			c.Check(highest, qt.Equals, deletions)
		}
		c.Check(table.Set.AllLive(), qt.DeepEquals, []config.Item{testRoute("live", 1)})
	}
}

// A proxy with positions that has discarded its tombstones must not restore a route from an earlier position, nor keep one that a
// snapshot of live items doesn't name.
func TestNothingRestoredWithoutTombstones(t *testing.T) {
	c := qt.New(t)
	table := newTestTable()
	table.ApplyAt(Position{1, 1}, changesOf(testRoute("dropped", 1), testRoute("kept", 1)), true)
	table.ApplyAt(Position{1, 2}, changesOf(config.Item{Kind: config.KindRoutes, Name: "dropped", Version: 2, Deleted: true}), false)
	for n := range maxTombstones {
		table.ApplyAt(Position{1, uint64(n + 3)}, changesOf(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("r", n), Version: 1, Deleted: true}), false)
	}
	c.Assert(table.Set.Tombstones(), qt.Equals, 0)
	table.ApplyAt(Position{1, 1}, changesOf(testRoute("dropped", 1), testRoute("kept", 1)), true) // as a control process that lags behind
	c.Check(table.Set.All(), qt.DeepEquals, []config.Item{testRoute("kept", 1)})
	table.ApplyAt(Position{1, maxTombstones + 9}, changesOf(testRoute("new", 1)), true)
	c.Check(table.Set.All(), qt.DeepEquals, []config.Item{testRoute("new", 1)})
}
