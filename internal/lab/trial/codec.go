package trial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// canonical encodes an item's fields as JSON with sorted keys, so that equal items have equal encodings. It omits nulls and the
// version.
func canonical(fields map[string]any) string {
	kept := map[string]any{}
	for name, value := range fields {
		if value != nil && name != "version" {
			kept[name] = value
		}
	}
	return string(mustMarshal(kept))
}

// itemTable is the wire format of a list of items.
type itemTable struct {
	Columns []string `json:"table-columns"`
	Rows    [][]any  `json:"table-rows"`
}

// fields returns the values of a row by column name.
func (t itemTable) fields(row []any) map[string]any {
	fields := map[string]any{}
	for n, column := range t.Columns {
		if n < len(row) {
			fields[column] = row[n]
		}
	}
	return fields
}

// ParseConfiguration parses the response of configuration.read.
func ParseConfiguration(raw []byte) (map[Key]Item, error) {
	var answer struct {
		Routes   itemTable      `json:"routes"`
		Services itemTable      `json:"services"`
		Limits   map[string]any `json:"limits"`
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&answer); err != nil {
		return nil, fmt.Errorf("decode configuration.read response: %w", err)
	}
	all := map[Key]Item{}
	for kind, t := range map[string]itemTable{"routes": answer.Routes, "services": answer.Services} {
		for _, row := range t.Rows {
			fields := t.fields(row)
			name, _ := fields["name"].(string)
			if err := addItem(all, Key{kind, name}, fields); err != nil {
				return nil, err
			}
		}
	}
	if answer.Limits != nil {
		return all, addItem(all, Key{"limits", "limits"}, answer.Limits)
	}
	return all, nil
}

// addItem adds an item to all.
func addItem(all map[Key]Item, key Key, fields map[string]any) error {
	version, err := parseVersion(fields["version"])
	if err != nil {
		return fmt.Errorf("%s %s: %w", key.Kind, key.Name, err)
	}
	all[key] = Item{Key: key, Version: version, Fields: canonical(fields)}
	return nil
}

func parseVersion(v any) (version uint64, err error) {
	s, _ := v.(string)
	if _, err = fmt.Sscanf(s, "%x", &version); err != nil {
		return 0, fmt.Errorf("version %v: %w", v, err)
	}
	return version, nil
}

// encodeChange returns the request body of configuration.modify.
func encodeChange(items []Item) []byte {
	set := map[string]any{}
	drop := map[string][]map[string]string{}
	rows := map[string][]map[string]any{}
	for _, i := range items {
		version := fmt.Sprintf("%08x", i.Version)
		switch {
		case i.Dropped:
			drop[i.Kind] = append(drop[i.Kind], map[string]string{"name": i.Name, "version": version})
		case i.Kind == "limits":
			set["limits"] = i.fieldsAt(version)
		default:
			rows[i.Kind] = append(rows[i.Kind], i.fieldsAt(version))
		}
	}
	for kind, all := range rows {
		set[kind] = newTable(all)
	}
	return mustMarshal(map[string]any{"set-items": set, "drop-names": drop})
}

// fieldsAt decodes an item's fields and sets the version.
func (i Item) fieldsAt(version string) map[string]any {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(i.Fields), &fields); err != nil {
		panic(fmt.Sprintf("decode canonical fields of %s %s: %v", i.Kind, i.Name, err))
	}
	fields["version"] = version
	return fields
}

// newTable returns a table whose columns are the union of the rows' fields; missing values are null.
func newTable(rows []map[string]any) (t itemTable) {
	for _, fields := range rows {
		for name := range fields {
			if !slices.Contains(t.Columns, name) {
				t.Columns = append(t.Columns, name)
			}
		}
	}
	slices.Sort(t.Columns)
	for _, fields := range rows {
		row := make([]any, len(t.Columns))
		for n, name := range t.Columns {
			row[n] = fields[name]
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}
