package operation

import (
	"bytes"
	"encoding/json"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// itemOverhead is the number of bytes that each item adds to the size of a change besides its name and body.
const itemOverhead = 64

// modifyConfig applies a change of the configuration as a whole or not at all. The content of a version never changes. Items older
// than those in the set have no effect. An item that differs from the same version in the set or in its history is a conflict. A
// version older than the history is a conflict if other items of the change are new: the change may have been rejected because
// of that version before, and must not take effect in part.
func modifyConfig(s *config.Set, change []config.Item) ([]config.Item, error) {
	var unseen []config.Item
	var forgotten *config.Item
	size := 0
	for at, item := range change {
		size += len(item.Body) + len(item.Name) + itemOverhead
		if size > MaxChangeBytes {
			return nil, apierror.New(apierror.BodyTooLarge, "change of %d items is too large: with %s %s it exceeds %d bytes", len(change), item.Kind, item.Name, MaxChangeBytes)
		}
		history, err := compareWithHistory(s, item)
		if err != nil {
			return nil, err
		}
		if history == versionForgotten && forgotten == nil {
			forgotten = &change[at]
		}
		if history != versionSeen {
			unseen = append(unseen, item)
		}
	}
	updated, err := s.CheckChange(unseen)
	if err == nil && len(updated) > 0 && forgotten != nil {
		return nil, forgottenVersionError(s, *forgotten, updated[0])
	}
	for at, item := range updated {
		if old, exists := s.Lookup(item.Key()); exists {
			updated[at] = item.WithHistory(old)
		}
	}
	return updated, err
}

// versionHistory is the result of looking up a version of an item in the set and its history.
type versionHistory uint8

const (
	versionUnseen    versionHistory = iota // neither in the set nor in its history; it was never set, as far as the set knows
	versionSeen                            // set with the same content
	versionForgotten                       // older than the history: may have been set or rejected
)

// compareWithHistory looks up the item's version in the set and its history. It returns a Conflict if that version was set with different
// content.
func compareWithHistory(s *config.Set, item config.Item) (versionHistory, error) {
	old, exists := s.Lookup(item.Key())
	same := exists && old.Equal(item)
	if exists && old.Version == item.Version && !same {
		return versionUnseen, conflictError(item, old)
	}
	known, sameContent := old.MatchesPast(item)
	switch {
	case known && !sameContent:
		return versionUnseen, apierror.New(apierror.Conflict, "%s %s: version %s was taken with another content; version %s stands as %s",
			item.Kind, item.Name, config.FormatVersion(item.Version), config.FormatVersion(old.Version), describe(old))
	case exists && (same || known):
		return versionSeen, nil
	case exists && old.PredatesHistory(item):
		return versionForgotten, nil
	}
	return versionUnseen, nil
}

// conflictError returns the error for an item whose version is in the set with different content. It names the first differing field.
func conflictError(item, old config.Item) error {
	return apierror.New(apierror.Conflict, "%s %s: %s: version %s stands as %s",
		item.Kind, item.Name, DifferingField(item, old), config.FormatVersion(item.Version), describe(old))
}

// forgottenVersionError returns the error for a change that has a version older than the history, and another item that is new: if the
// change had taken effect before, that item would be in the set.
func forgottenVersionError(s *config.Set, forgotten, unseen config.Item) error {
	old, _ := s.Lookup(forgotten.Key())
	return apierror.New(apierror.Conflict, "%s %s: version %s is older than the last %d versions before the current version %s (%s), and %s %s of the same change was never applied: the entire change is rejected",
		forgotten.Kind, forgotten.Name, config.FormatVersion(forgotten.Version), config.MaxHistory, config.FormatVersion(old.Version), describe(old), unseen.Kind, unseen.Name)
}

// describe returns the content of an item for use in an error message.
func describe(item config.Item) string {
	if item.Deleted {
		return "dropped"
	}
	return string(item.Body)
}

// DifferingField returns the first field, in the order of names, in which two items differ. It returns "dropped" if only one of them is
// deleted, and "" if no field differs.
func DifferingField(a, b config.Item) string {
	if a.Deleted != b.Deleted {
		return "dropped"
	}
	left, right := a.Tree(), b.Tree()
	first := ""
	for _, fields := range []map[string]any{left, right} {
		for name := range fields {
			if !equalJSON(left[name], right[name]) && (first == "" || name < first) {
				first = name
			}
		}
	}
	return first
}

// equalJSON reports whether two values decoded from JSON have the same encoding. A missing value (nil) equals null.
func equalJSON(a, b any) bool {
	encodedA, _ := json.Marshal(a) // can't fail: both were decoded from JSON
	encodedB, _ := json.Marshal(b)
	return bytes.Equal(encodedA, encodedB)
}
