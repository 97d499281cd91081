package lanes

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/harbour/manifest"
)

// What a router forgets of what was dropped is not noted for a disk that it doesn't have: nothing grows with drops.
func TestForgottenIsNotKept(t *testing.T) {
	c := qt.New(t)
	for _, marked := range []bool{false, true} {
		b := NewBoard("front", Place{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
		var all []manifest.Item
		for n := range manifest.MostDropped + 2 {
			all = append(all, manifest.Item{Kind: manifest.Routes, Name: fmt.Sprint("r", n), Version: uint64(n + 1), Dropped: true})
		}
		at := Mark{}
		if marked {
			at = Mark{1, 1}
		}
		b.TakeAt(at, notesOf(all...), false)
		c.Check(b.Set.Len() < len(all), qt.IsTrue)
		c.Check(b.Set.Forgotten(), qt.HasLen, 0)
	}
}
