package lanes

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
)

// After a recovery of the core the items of its snapshot stand alone: higher versions and what it doesn't name go.
func TestRecoveredCore(t *testing.T) {
	c := qt.New(t)
	b := NewBoard("front", Place{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
	note := func(name string, version uint64) signals.Note {
		return signals.Note{Item: &manifest.Item{Kind: manifest.Routes, Name: name, Version: version, Body: []byte(`{}`)}}
	}
	b.TakeAt(Mark{1, 900}, []signals.Note{note("a", 7), note("b", 1), note("c", 3), {Host: &berths.Host{ID: "h", Service: "desk", State: berths.Ready}}}, true)
	snapshot := []signals.Note{note("a", 5), note("c", 3)}
	c.Check(b.TakeAt(Mark{1, 899}, snapshot, true).Chart, qt.IsFalse) // of a core that is behind
	got := b.TakeAt(Mark{2, 5}, append(snapshot, signals.Note{Host: &berths.Host{ID: "h", Service: "desk", State: berths.Ready}}), true)
	c.Check(got.Chart, qt.IsTrue)
	versions := map[string]uint64{}
	for _, i := range b.Set.All() {
		versions[i.Name] = i.Version
	}
	c.Check(versions, qt.DeepEquals, map[string]uint64{"a": 5, "c": 3})
	c.Check(b.TakeAt(Mark{2, 5}, snapshot, true).Chart, qt.IsFalse) // it stands already
}
