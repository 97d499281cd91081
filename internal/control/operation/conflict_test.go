package operation

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// A change that was refused for one of its items never takes effect, in no part of it, however many versions of that item follow; one that
// took effect is confirmed again.
func TestRefusedStaysOut(t *testing.T) {
	c := qt.New(t)
	set := config.NewSet()
	take := func(all ...config.Item) error {
		updated, err := Apply(set, modifyOp(all...))
		for _, i := range updated {
			set.Merge(i)
		}
		return err
	}
	c.Assert(take(service("desk", 1), route("r1", 2, "desk", "a")), qt.IsNil)
	won := []config.Item{route("r1", 2, "desk", "a"), route("r2", 2, "desk", "a")}
	c.Assert(take(won...), qt.IsNil)
	lost := []config.Item{route("r1", 2, "desk", "b"), route("r3", 2, "desk", "c")}
	c.Check(take(lost...), qt.IsNotNil)
	for v := uint64(4); v < 24; v += 2 {
		c.Assert(take(route("r1", v, "desk", "a")), qt.IsNil)
	}
	err := take(lost...)
	_, there := set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r3"})
	c.Check(there, qt.IsFalse, qt.Commentf("%v", err))
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Conflict)
	c.Check(err, qt.ErrorMatches, `(?s).*r1: version 00000002 is older than the 8 before version 00000016, which stands as \{.*"a".*r3 of its call.*`)
	c.Check(take(won...), qt.IsNil)
	c.Check(take(lost[:1]...), qt.IsNil, qt.Commentf("an older version alone changes nothing"))
	c.Assert(take(route("r3", 9, "desk", "d")), qt.IsNil)
	c.Check(take(lost...), qt.IsNil, qt.Commentf("nor a call of which all is passed"))
	current, _ := set.Lookup(config.Key{Kind: config.KindRoutes, Name: "r3"})
	c.Check(current.Version, qt.Equals, uint64(9))
}
