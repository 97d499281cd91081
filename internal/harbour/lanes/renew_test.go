package lanes

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/signals"
)

// After a recovery of the core the items of its snapshot stand alone: higher versions and what it doesn't name go.
func TestRenew(t *testing.T) {
	c := qt.New(t)
	b := NewBoard("front", Place{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
	note := func(name string, version uint64) signals.Note {
		return signals.Note{Item: &manifest.Item{Kind: manifest.Routes, Name: name, Version: version, Body: []byte(`{}`)}}
	}
	b.Take([]signals.Note{note("a", 7), note("b", 1), note("c", 3), {Host: &berths.Host{ID: "h", Service: "desk", State: berths.Ready}}}, true)
	snapshot := []signals.Note{note("a", 5), note("c", 3)}
	got := b.Renew(snapshot)
	c.Check(got.Chart, qt.IsTrue)
	c.Check(got.Services, qt.DeepEquals, map[string]bool{"desk": true})
	versions := map[string]uint64{}
	for _, i := range b.Set.All() {
		versions[i.Name] = i.Version
	}
	c.Check(versions, qt.DeepEquals, map[string]uint64{"a": 5, "c": 3})
	c.Check(b.Renew(snapshot), qt.DeepEquals, Changes{Services: map[string]bool{}}) // it stands already
}
