package operation

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/membership"
)

// ReplaceAllKey is the key of the marker item that begins a value which replaces the set, whatever the versions in it.
var ReplaceAllKey = config.Key{Kind: config.KindCore, Name: "whole"}

// ReplacesAll reports whether a value begins with that marker.
func ReplacesAll(value []config.Item) bool { return len(value) > 0 && value[0].Key() == ReplaceAllKey }

// changeMembers adds and removes members, in a new epoch. A change is also that more of those removed are excluded.
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

// restoreSnapshot replaces the set by a snapshot, once for each name of a restore.
func restoreSnapshot(s *config.Set, o Operation) ([]config.Item, error) {
	list := membership.FromSet(s)
	if slices.Contains(list.RestoredSnapshots, o.Version) {
		return nil, nil
	}
	if o.Expected != list.Epoch {
		return nil, apierror.New(apierror.Unavailable, "the members or all that stands have changed since: epoch %d, not %d", list.Epoch, o.Expected)
	}
	return restoreValue(list.WithRestored(o.Version), o.Items), nil
}

// restoreValue returns the value that replaces the set by a snapshot. The members stay, in a new epoch, by which proxies accept lower
// versions too.
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
