package operation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// A change that was rejected because of one item must never take effect, not even in part, however many versions of that item follow. A
// change that took effect is confirmed when it is repeated.
func TestRejectedChangeStaysRejected(t *testing.T) {
	c := qt.New(t)
	set := config.NewSet()
	apply := func(items ...config.Item) error {
		updated, err := Apply(set, modifyOp(items...))
		for _, i := range updated {
			set.Merge(i)
		}
		return err
	}
	c.Assert(apply(service("desk", 1), route("r1", 2, "desk", "a")), qt.IsNil)
	accepted := []config.Item{route("r1", 2, "desk", "a"), route("r2", 2, "desk", "a")}
	c.Assert(apply(accepted...), qt.IsNil)
	rejected := []config.Item{route("r1", 2, "desk", "b"), route("r3", 2, "desk", "c")}
	c.Check(apply(rejected...), qt.IsNotNil)
	for v := uint64(4); v < 24; v += 2 {
		c.Assert(apply(route("r1", v, "desk", "a")), qt.IsNil)
	}
	err := apply(rejected...)
	_, exists := set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r3"})
	c.Check(exists, qt.IsFalse, qt.Commentf("%v", err))
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Conflict)
	c.Check(err, qt.ErrorMatches, `(?s).*r1: version 00000002 is older than the last 8 versions before the current version 00000016 \(\{.*"a".*r3 of the same change.*`)
	c.Check(apply(accepted...), qt.IsNil)
	c.Check(apply(rejected[:1]...), qt.IsNil, qt.Commentf("an older version on its own has no effect"))
	c.Assert(apply(route("r3", 9, "desk", "d")), qt.IsNil)
	c.Check(apply(rejected...), qt.IsNil, qt.Commentf("a change whose items are all outdated has no effect"))
	current, _ := set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r3"})
	c.Check(current.Version, qt.Equals, uint64(9))
}
