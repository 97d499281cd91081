package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/settings"
)

// tabularKinds are the kinds whose items are sent as a table of columns and rows.
var tabularKinds = []string{KindRoutes, KindServices, KindQuotas}

// validators validate the fields of an item, by its kind. Errors are recorded in the reader.
var validators = map[string]func(settings.Reader){
	KindRoutes:   func(r settings.Reader) { ParseRoute(r) },
	KindServices: func(r settings.Reader) { ParseService(r) },
	KindQuotas:   func(r settings.Reader) { ParseQuota(r) },
}

// Versions are encoded as fixed-width hexadecimal numbers.
const (
	versionDigits = 8
	versionBits   = 32
)

// ParseChange parses the body of a configuration.modify call: items to set and names to delete. If several items have the same key,
// only the one that supersedes the others is returned. Errors are of kind apierror.Invalid and name the items, fields and reasons.
func ParseChange(raw []byte) ([]Item, error) {
	tree, err := decodeChange(raw)
	if err != nil {
		return nil, err
	}
	reader := settings.NewReader(tree)
	checkKinds(reader)
	var items []Item
	for _, kind := range tabularKinds {
		items = append(items, parseRows(reader.At("set-items."+kind), kind)...)
		items = append(items, parseDeletions(reader.At("drop-names."+kind), kind)...)
	}
	if limits := reader.At("set-items.limits"); limits.Exists() {
		ParseLimits(limits)
		items = append(items, Item{
			Kind:    KindLimits,
			Name:    KindLimits,
			Version: parseVersion(limits.At("version")),
			Body:    encodeBody(limits),
		})
	}
	if err := reader.Err(); err != nil {
		return nil, apierror.Wrap(apierror.Invalid, err, "the change is invalid")
	}
	return newestByKey(items), nil
}

// decodeChange decodes the body of a change, which must be one JSON object and nothing more.
func decodeChange(raw []byte) (settings.Tree, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, apierror.Wrap(apierror.Invalid, err, "the change is not valid JSON")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, apierror.New(apierror.Invalid, "the change has extra data after the JSON object")
	}
	tree, ok := value.(settings.Tree)
	if !ok {
		return nil, apierror.New(apierror.Invalid, "the change is not a JSON object")
	}
	return tree, nil
}

// checkKinds records an error for each unknown kind of items in the change.
func checkKinds(change settings.Reader) {
	for name := range change.At("set-items").Map() {
		if name != KindLimits && !slices.Contains(tabularKinds, name) {
			change.At("set-items." + name).Errorf("unknown kind of items; allowed are routes, services, shares and limits")
		}
	}
	for name := range change.At("drop-names").Map() {
		if !slices.Contains(tabularKinds, name) {
			change.At("drop-names." + name).Errorf("unknown kind of items; allowed are routes, services and shares")
		}
	}
}

// parseRows parses the items of a table of columns and rows.
func parseRows(reader settings.Reader, kind string) (items []Item) {
	if !reader.Exists() {
		return nil
	}
	columns := reader.At("table-columns").Strings()
	for _, row := range reader.At("table-rows").List() {
		cells, ok := row.Value().([]any)
		if !ok || len(cells) != len(columns) {
			row.Errorf("%d cells for %d columns", len(cells), len(columns))
			continue
		}
		fields := row.WithValue(rowFields(columns, cells))
		validators[kind](fields)
		items = append(items, Item{
			Kind:    kind,
			Name:    fields.At("name").Text(),
			Version: parseVersion(fields.At("version")),
			Body:    encodeBody(fields),
		})
	}
	return items
}

// rowFields returns the cells of a row by column name. Null cells are left out.
func rowFields(columns []string, cells []any) settings.Tree {
	fields := settings.Tree{}
	for i, column := range columns {
		if cells[i] != nil {
			fields[column] = cells[i]
		}
	}
	return fields
}

// parseDeletions parses a list of names and versions of items to delete, and returns their tombstones.
func parseDeletions(reader settings.Reader, kind string) (items []Item) {
	for _, deletion := range reader.List() {
		items = append(items, Item{
			Kind:    kind,
			Name:    deletion.At("name").Text(),
			Version: parseVersion(deletion.At("version")),
			Deleted: true,
		})
	}
	return items
}

// newestByKey returns one item per key, the one that supersedes the others. A change may have several items with the same key, for
// example if it deletes a name twice.
func newestByKey(all []Item) (newest []Item) {
	positions := make(map[Key]int, len(all))
	for _, i := range all {
		position, exists := positions[i.Key()]
		if !exists {
			positions[i.Key()] = len(newest)
			newest = append(newest, i)
		} else if i.Supersedes(newest[position]) {
			newest[position] = i
		}
	}
	return newest
}

// parseVersion parses a version in the format of FormatVersion. Errors are recorded in the reader.
func parseVersion(r settings.Reader) uint64 {
	text := r.Text()
	version, err := strconv.ParseUint(text, 16, versionBits)
	if text != "" && (err != nil || len(text) != versionDigits) {
		r.Errorf("%q is not eight hexadecimal digits", text)
	}
	return version
}

// FormatVersion returns a version as it appears in request and response bodies: eight hexadecimal digits.
func FormatVersion(version uint64) string { return fmt.Sprintf("%0*x", versionDigits, version) }

// encodeBody returns the fields of an item except its version as a JSON object, sorted by name.
func encodeBody(reader settings.Reader) json.RawMessage {
	fields := settings.Tree{}
	for name, value := range reader.Map() {
		if name != "version" {
			fields[name] = value
		}
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		reader.Errorf("%v", err)
	}
	return raw
}

// Tree returns the decoded body of the item, or nil if it is not a JSON object.
func (i Item) Tree() settings.Tree {
	decoder := json.NewDecoder(bytes.NewReader(i.Body))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return nil
	}
	tree, _ := value.(settings.Tree)
	return tree
}
