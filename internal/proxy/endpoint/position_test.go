package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
)

func testRoute(name string, version uint64) config.Item {
	return config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: fmt.Appendf(nil, `{"v":%d}`, version)}
}

func changesOf(items ...config.Item) (changes []update.Change) {
	for _, i := range items {
		changes = append(changes, update.Change{Item: &i})
	}
	return changes
}

// A snapshot with a position must remove a route whose tombstone was evicted while the proxy was disconnected. Without positions items are
// merged, and the route remains.
func TestItemRemovedWhileDisconnected(t *testing.T) {
	for _, withPosition := range []bool{false, true} {
		c := qt.New(t)
		table := newTestTable()
		at := func(number uint64) Position {
			if !withPosition {
				return Position{}
			}
			return Position{1, number}
		}
		table.ApplyAt(at(5), changesOf(testRoute("old", 1), testRoute("kept", 1)), true)
		changes := table.ApplyAt(at(20000), changesOf(testRoute("kept", 1), config.Item{Kind: config.KindRoutes, Name: "d", Version: 9, Deleted: true}), true)
		_, there := table.Set.Lookup(config.Key{Kind: config.KindRoutes, Name: "old"})
		c.Check(there, qt.Equals, !withPosition)
		c.Check(changes.Routing, qt.IsTrue)
		c.Check(table.Set.Len() == 2, qt.Equals, withPosition)
	}
}

// Updates from an earlier position, as a lagging control process sends them, must not revert items, but their hosts and proxies
// apply. A higher epoch takes precedence over any number.
func TestOutdatedUpdate(t *testing.T) {
	c := qt.New(t)
	table := newTestTable()
	version := func() uint64 {
		i, _ := table.Set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r"})
		return i.Version
	}
	table.ApplyAt(Position{2, 10}, changesOf(testRoute("r", 7), testRoute("s", 1)), true)
	host := update.Change{Instance: &instance.Instance{ID: "h", Service: "desk", Zone: "a", Sequence: 1}}
	changes := table.ApplyAt(Position{2, 8}, append(changesOf(testRoute("r", 6)), host), true)
	c.Check(changes.Routing, qt.IsFalse)
	c.Check(changes.Services["desk"], qt.IsTrue)
	c.Check(version(), qt.Equals, uint64(7))
	c.Check(table.Set.Len(), qt.Equals, 2)
	table.ApplyAt(Position{2, 9}, changesOf(testRoute("r", 6)), false)
	c.Check(version(), qt.Equals, uint64(7))
	table.ApplyAt(Position{2, 11}, changesOf(testRoute("r", 7), testRoute("r", 8)), false) // overlaps what the table has
	c.Check(version(), qt.Equals, uint64(8))
	table.ApplyAt(Position{1, 400}, changesOf(testRoute("r", 2)), true) // a lower epoch, as from an outdated disk
	c.Check(version(), qt.Equals, uint64(8))
	c.Check(table.Position(), qt.Equals, Position{2, 11})
	table.ApplyAt(Position{3, 1}, changesOf(testRoute("r", 5)), true) // a higher epoch, as after a restore by an operator
	c.Check(version(), qt.Equals, uint64(5))
	c.Check(table.Set.Len(), qt.Equals, 1)
}

// Random histories: a proxy switches between control processes that have applied different numbers of changes, and gets snapshots and
// batches that may overlap. Its position must never decrease, and its items must equal the committed items at its position.
func TestItemsMatchPosition(t *testing.T) {
	c := qt.New(t)
	checked := 0
	for seed := range uint64(200) {
		draw := rand.New(rand.NewPCG(seed, 3))
		var changes [][]config.Item // number n is at index n-1
		checksums := []uint64{config.NewSet().Checksum()}
		committed := config.NewSet()
		sets := []*config.Set{committed.Clone()}
		for n := range 60 {
			change := []config.Item{testRoute(fmt.Sprint("r", draw.IntN(6)), uint64(n+1))}
			if draw.IntN(3) == 0 {
				change[0].Deleted, change[0].Body = true, nil
			}
			committed.Apply(change)
			changes = append(changes, change)
			checksums = append(checksums, committed.Checksum())
			sets = append(sets, committed.Clone())
		}
		table := newTestTable()
		applied := 0 // number of changes that the current control process has sent
		for range 80 {
			before := table.Position()
			if draw.IntN(8) == 0 || applied == 0 { // switch to another control process, which may lag
				applied = max(1, min(60, int(table.Position().Number)+draw.IntN(9)-4))
				table.ApplyAt(Position{1, uint64(applied)}, changesOf(sets[applied].All()...), true)
			} else if to := min(60, applied+draw.IntN(4)); to > applied {
				var all []config.Item
				for _, change := range changes[applied:to] {
					all = append(all, change...)
				}
				table.ApplyAt(Position{1, uint64(to)}, changesOf(all...), false)
				applied = to
			}
			c.Assert(table.Position().Before(before), qt.IsFalse)
			c.Assert(table.Set.Checksum(), qt.Equals, checksums[table.Position().Number], qt.Commentf("seed %d at %v", seed, table.Position()))
			checked++
		}
	}
	c.Check(checked, qt.Equals, 200*80)
}
