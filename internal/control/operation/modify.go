package operation

import (
	"bytes"
	"encoding/json"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// itemOverhead is how many bytes an item counts in a change beside its name and body.
const itemOverhead = 64

// modifyConfig makes a change of the configuration, all of it or none: a version of an item has one content for ever. Items that are
// older than what the set has change nothing. An item that differs from a version that the set has or still knows is a
// conflict, and so is a version older than those that are known if other items of the change are new: such a change may have
// been refused for that version before, and must not take effect in part.
func modifyConfig(s *config.Set, change []config.Item) ([]config.Item, error) {
	var unseen []config.Item
	var forgotten *config.Item
	size := 0
	for at, item := range change {
		size += len(item.Body) + len(item.Name) + itemOverhead
		if size > MaxChangeBytes {
			return nil, apierror.New(apierror.BodyTooLarge, "the change has %d items; from %s %s on it is over %d bytes", len(change), item.Kind, item.Name, MaxChangeBytes)
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

// versionHistory says what the set knows of a version of an item.
type versionHistory uint8

const (
	versionUnseen    versionHistory = iota // it was never set, as far as the set knows
	versionSeen                            // it was set with the same content
	versionForgotten                       // it is older than all versions that the set knows: it may have been set or refused
)

// compareWithHistory returns what the set knows of an item's version; a Conflict if that version was set with another content.
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

// conflict returns the error for an item that differs from the one of the same version in the set; it names the field.
func conflictError(item, old config.Item) error {
	return apierror.New(apierror.Conflict, "%s %s: %s: version %s stands as %s",
		item.Kind, item.Name, DifferingField(item, old), config.FormatVersion(item.Version), describe(old))
}

// forgottenConflict returns the error for a change with a version that is older than those known, of which another item is new: if the
// change had taken effect, that item would be in the set.
func forgottenVersionError(s *config.Set, forgotten, unseen config.Item) error {
	old, _ := s.Lookup(forgotten.Key())
	return apierror.New(apierror.Conflict, "%s %s: version %s is older than the %d before version %s, which stands as %s, and %s %s of its call was never taken: nothing of it is",
		forgotten.Kind, forgotten.Name, config.FormatVersion(forgotten.Version), config.MaxHistory, config.FormatVersion(old.Version), describe(old), unseen.Kind, unseen.Name)
}

// describe returns the content of an item for an error.
func describe(item config.Item) string {
	if item.Deleted {
		return "dropped"
	}
	return string(item.Body)
}

// DifferingField returns the name of the first field, by name, in which two items differ: "dropped" if only one is deleted, empty if
// none does.
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

// equalJSON reports whether two values that were decoded from JSON have the same encoding; a missing one is null.
func equalJSON(a, b any) bool {
	encodedA, _ := json.Marshal(a) // can't fail: it was decoded from JSON
	encodedB, _ := json.Marshal(b)
	return bytes.Equal(encodedA, encodedB)
}
