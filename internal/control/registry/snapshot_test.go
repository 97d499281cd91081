package registry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
)

// A proxy's snapshot must stay bounded however many items were deleted. In chunks it names every tombstone or none; in a single message, for
// a proxy that merges the items, it names those with the highest versions. Live items are never left out.
func TestSnapshotTombstones(t *testing.T) {
	const live = 5
	for _, deleted := range []int{0, maxSnapshotTombstones, maxSnapshotTombstones + 1, 2 * maxSnapshotTombstones} {
		c := qt.New(t)
		s := newState(6, true)
		for n := range live {
			s.Set.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("live", n), Version: 1, Body: []byte(`{}`)})
		}
		for n := range deleted {
			s.Set.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("d", n), Version: uint64(n/2 + 1), Deleted: true})
		}
		count := func(changes []update.Change) (tombstones, routes int, lowest uint64) {
			for _, change := range changes {
				switch {
				case change.Item == nil || change.Item.Kind != config.KindRoutes:
				case !change.Item.Deleted:
					routes++
				default:
					if tombstones == 0 || change.Item.Version < lowest {
						lowest = change.Item.Version
					}
					tombstones++
				}
			}
			return tombstones, routes, lowest
		}
		wantChunked := deleted
		if deleted > maxSnapshotTombstones {
			wantChunked = 0
		}
		tombstones, routes, _ := count(s.ChunkedSnapshot(1))
		c.Check([]int{tombstones, routes}, qt.DeepEquals, []int{wantChunked, live}, qt.Commentf("in chunks, %d deleted", deleted))
		wantSingle := min(deleted, maxSnapshotTombstones)
		tombstones, routes, lowest := count(s.Snapshot(1, false))
		c.Check([]int{tombstones, routes}, qt.DeepEquals, []int{wantSingle, live}, qt.Commentf("in one message, %d deleted", deleted))
		if deleted > 0 {
			c.Check(lowest, qt.Equals, uint64((deleted-wantSingle)/2+1), qt.Commentf("lowest version of %d", deleted))
		}
	}
}
