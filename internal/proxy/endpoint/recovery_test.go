package endpoint

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
)

// After a recovery of the core the items of its snapshot stand alone: higher versions and what it doesn't name go.
func TestRecoveredCore(t *testing.T) {
	c := qt.New(t)
	b := NewTable("front", Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
	note := func(name string, version uint64) update.Change {
		return update.Change{Item: &config.Item{Kind: config.KindRoutes, Name: name, Version: version, Body: []byte(`{}`)}}
	}
	b.ApplyAt(Position{1, 900}, []update.Change{note("a", 7), note("b", 1), note("c", 3), {Instance: &instance.Instance{ID: "h", Service: "desk", State: instance.Ready}}}, true)
	snapshot := []update.Change{note("a", 5), note("c", 3)}
	c.Check(b.ApplyAt(Position{1, 899}, snapshot, true).Routing, qt.IsFalse) // of a core that is behind
	got := b.ApplyAt(Position{2, 5}, append(snapshot, update.Change{Instance: &instance.Instance{ID: "h", Service: "desk", State: instance.Ready}}), true)
	c.Check(got.Routing, qt.IsTrue)
	versions := map[string]uint64{}
	for _, i := range b.Set.All() {
		versions[i.Name] = i.Version
	}
	c.Check(versions, qt.DeepEquals, map[string]uint64{"a": 5, "c": 3})
	c.Check(b.ApplyAt(Position{2, 5}, snapshot, true).Routing, qt.IsFalse) // it stands already
}
