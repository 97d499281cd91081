package endpoint

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
)

// After a recovery of the voting members, which begins a new epoch, a snapshot must replace all items, also those with higher versions.
func TestSnapshotAfterRecovery(t *testing.T) {
	c := qt.New(t)
	table := NewTable("front", Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
	itemChange := func(name string, version uint64) update.Change {
		return update.Change{Item: &config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: []byte(`{}`)}}
	}
	table.ApplyAt(Position{1, 900}, []update.Change{itemChange("a", 7), itemChange("b", 1), itemChange("c", 3), {Instance: &instance.Instance{ID: "h", Service: "desk", State: instance.Ready}}}, true)
	snapshot := []update.Change{itemChange("a", 5), itemChange("c", 3)}
	c.Check(table.ApplyAt(Position{1, 899}, snapshot, true).Routing, qt.IsFalse) // from an earlier position
	got := table.ApplyAt(Position{2, 5}, append(snapshot, update.Change{Instance: &instance.Instance{ID: "h", Service: "desk", State: instance.Ready}}), true)
	c.Check(got.Routing, qt.IsTrue)
	versions := map[string]uint64{}
	for _, i := range table.Set.All() {
		versions[i.Name] = i.Version
	}
	c.Check(versions, qt.DeepEquals, map[string]uint64{"a": 5, "c": 3})
	c.Check(table.ApplyAt(Position{2, 5}, snapshot, true).Routing, qt.IsFalse) // already applied
}
