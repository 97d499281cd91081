package operation

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

// droppedNames is more than the 10,000 dropped names that earlier releases remembered.
const droppedNames = 25_000

// A change with versions lower than those dropped was applied, or rejected, once its items' tombstones had been evicted. However many
// names are dropped afterwards, with whatever versions, such a change must have no effect and be acknowledged.
func TestOlderChangeHasNoEffectAfterManyDrops(t *testing.T) {
	c := qt.New(t)
	set := config.NewSet()
	apply := func(items ...config.Item) int {
		changed, err := Apply(set, modifyOp(items...))
		c.Assert(err, qt.IsNil)
		set.Apply(changed)
		return len(changed)
	}
	apply(service("desk", 1), service("bags", 1))
	older := []config.Item{route("r1", 2, "bags", "a"), route("r2", 2, "desk", "a")}
	c.Assert(apply(older...), qt.Equals, 2)
	c.Assert(apply(tombstone(config.KindRoutes, "r1", 3), tombstone(config.KindServices, "bags", 3)), qt.Equals, 2)
	for n := range droppedNames {
		apply(tombstone(config.KindRoutes, fmt.Sprint("other", n), uint64(4+n)))
	}
	c.Check(apply(older...), qt.Equals, 0, qt.Commentf("the change that was acknowledged, again"))
	c.Check(apply(older[0]), qt.Equals, 0, qt.Commentf("one item of it"))
	c.Check(apply(route("r1", 1, "bags", "b")), qt.Equals, 0, qt.Commentf("an older version that was never sent before"))
	c.Check(apply(route("r1", 4, "desk", "c")), qt.Equals, 1, qt.Commentf("a higher version"))
}
