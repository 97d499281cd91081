package endpoint

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

// A proxy stores nothing on disk, so it must not accumulate the keys of evicted tombstones.
func TestEvictedTombstonesNotRecorded(t *testing.T) {
	c := qt.New(t)
	for _, withPosition := range []bool{false, true} {
		table := NewTable("front", Location{Zone: "z0", Region: "r0"}, map[string]string{"z0": "r0"})
		var all []config.Item
		for n := range config.MaxDeleted + 2 {
			all = append(all, config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("r", n), Version: uint64(n + 1), Deleted: true})
		}
		at := Position{}
		if withPosition {
			at = Position{1, 1}
		}
		table.ApplyAt(at, changesOf(all...), false)
		c.Check(table.Set.Len() < len(all), qt.IsTrue)
		c.Check(table.Set.TakeEvicted(), qt.HasLen, 0)
	}
}
