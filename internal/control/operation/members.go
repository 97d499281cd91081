package operation

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// ReplaceAllKey is the key of the marker item. A value that starts with it replaces the entire set, regardless of the versions of its items.
var ReplaceAllKey = config.Key{Kind: config.KindCore, Name: "whole"}

// ReplacesAll reports whether the value starts with the marker item of ReplaceAllKey.
func ReplacesAll(value []config.Item) bool { return len(value) > 0 && value[0].Key() == ReplaceAllKey }

// changeMembers adds, removes and excludes members in a new epoch. Excluding one more member counts as a change even if the members stay
// the same.
func changeMembers(s *config.Set, o Operation) ([]config.Item, error) {
	list := membership.FromSet(s)
	if o.Expected != 0 && o.Expected != list.Epoch {
		return nil, apierror.New(apierror.Unavailable, "the members have changed since: epoch %d, not %d", list.Epoch, o.Expected)
	}
	next := list.Change(o.Add, o.Remove)
	excludesMore := slices.ContainsFunc(o.Exclude, func(m membership.Member) bool { return !list.Excludes(m.ID) })
	if next.Epoch == list.Epoch && !excludesMore {
		return nil, nil
	}
	next.Epoch = list.Epoch + 1
	return []config.Item{next.Exclude(o.Exclude).Item()}, nil
}

// restoreSnapshot replaces the set with a snapshot, once per restore name.
func restoreSnapshot(s *config.Set, o Operation) ([]config.Item, error) {
	list := membership.FromSet(s)
	if slices.Contains(list.RestoredSnapshots, o.Version) {
		return nil, nil
	}
	if o.Expected != list.Epoch {
		return nil, apierror.New(apierror.Unavailable, "the members changed or a snapshot was restored in the meantime: the epoch is %d, not %d", list.Epoch, o.Expected)
	}
	return restoreValue(list.WithRestored(o.Version), o.Items), nil
}

// RestoredItems returns the contents of the set after a value for which ReplacesAll is true. The departures in the set remain: a host does
// not come back with the configuration of an earlier time.
func RestoredItems(s *config.Set, value []config.Item) []config.Item {
	return append(s.AllDepartures(), value[1:]...)
}

// restoreValue returns the value that replaces the set with a snapshot. The members are kept. The new epoch makes proxies accept lower
// versions as well.
func restoreValue(list membership.List, items []config.Item) []config.Item {
	marker := config.Item{Kind: ReplaceAllKey.Kind, Name: ReplaceAllKey.Name, Version: list.Epoch}
	value := []config.Item{marker, list.Item()}
	for _, item := range items {
		if item.Kind != config.KindCore {
			value = append(value, item)
		}
	}
	return value
}
