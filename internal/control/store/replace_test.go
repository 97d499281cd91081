package store

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

// Replace writes and removes items in a single synced write, and removed items do not return when the store is opened again.
func TestReplace(t *testing.T) {
	c := qt.New(t)
	s, _, _ := smallStore(c, 3)
	store, items, _, _, err := Open(s)
	c.Assert(err, qt.IsNil)
	c.Assert(items, qt.HasLen, 3)
	syncs := store.Syncs.Load()
	i := config.Item{Kind: config.KindRoutes, Name: "new", Version: 9}
	c.Assert(store.Replace([]config.Item{i}, []config.Key{items[0].Key(), items[1].Key(), {Kind: "x", Name: "never there"}}, map[string][]byte{"number": nil, "id": []byte("a")}, false), qt.IsNil)
	c.Check(store.Syncs.Load()-syncs, qt.Equals, int64(1))
	c.Assert(store.Close(), qt.IsNil)
	_, items, records, complete, err := Open(s)
	c.Assert(err, qt.IsNil)
	c.Check(items, qt.HasLen, 2)
	c.Check(items[0].Name, qt.Equals, "new")
	c.Check(records, qt.DeepEquals, map[string][]byte{"id": []byte("a")})
	c.Check(complete, qt.IsTrue)
}
