package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

// A value that replaces the set contains nothing else, and a value has at most one membership change and a limited number of items.
func TestBatchAdmits(t *testing.T) {
	service := item(config.KindServices, "desk", 1, `{}`)
	members := membership.List{Epoch: 2}.Item()
	marker := config.Item{Kind: operation.ReplaceAllKey.Kind, Name: operation.ReplaceAllKey.Name, Version: 2}
	for name, test := range map[string]struct {
		value    []config.Item
		kind     operation.Kind
		admitted bool
	}{
		"a change first":                     {nil, operation.ModifyConfig, true},
		"a change after another":             {[]config.Item{service}, operation.ModifyConfig, true},
		"a change after a restore":           {[]config.Item{marker, members}, operation.ModifyConfig, false},
		"a restore first":                    {nil, operation.RestoreSnapshot, true},
		"a restore after a change":           {[]config.Item{service}, operation.RestoreSnapshot, false},
		"a membership change after a change": {[]config.Item{service}, operation.ChangeMembers, true},
		"two membership changes":             {[]config.Item{service, members}, operation.ChangeMembers, false},
		"a change after a membership change": {[]config.Item{members}, operation.ModifyConfig, true},
		"a change at the item limit":         {make([]config.Item, maxBatchItems), operation.ModifyConfig, false},
		"a change just below the item limit": {make([]config.Item, maxBatchItems-1), operation.ModifyConfig, true},
		"a restore after a restore":          {[]config.Item{marker, members}, operation.RestoreSnapshot, false},
		"an evacuation after a change":       {[]config.Item{service}, operation.Evacuate, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := &batch{value: test.value}
			qt.Check(t, b.admits(operation.Operation{Kind: test.kind}), qt.Equals, test.admitted)
		})
	}
}

// A later version of an item replaces the earlier one in the value, and in the preview if the earlier one is merged there.
func TestBatchAdd(t *testing.T) {
	c := qt.New(t)
	b := &batch{position: map[config.Key]int{}, preview: config.NewSet()}
	first, second := item(config.KindStableVersions, "desk", 1, `{"version":"v1"}`), item(config.KindStableVersions, "desk", 2, `{"version":"v2"}`)
	b.add(7, []config.Item{first})
	c.Assert(b.state().Len(), qt.Equals, 1)
	b.add(8, []config.Item{second})
	c.Check(b.value, qt.DeepEquals, []config.Item{second})
	c.Check(b.tags, qt.DeepEquals, []uint64{7, 8})
	current, _ := b.state().Lookup(first.Key())
	c.Check(current.Version, qt.Equals, uint64(2))

	large := item(config.KindServices, "large", 1, "")
	large.Body = make([]byte, operation.MaxValueBytes)
	b.add(9, []config.Item{large})
	c.Check(b.tags, qt.DeepEquals, []uint64{7, 8}, qt.Commentf("the oversized operation is left for a later value"))
}
