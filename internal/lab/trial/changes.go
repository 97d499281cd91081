package trial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Key names a configuration item.
type Key struct{ Kind, Name string }

// Item is a configuration item as an operator sends or reads it.
type Item struct {
	Key
	Version uint64
	Dropped bool
	Fields  string // its fields but the version, canonical; empty where it is dropped
}

func (i Item) String() string {
	return fmt.Sprintf("%s %s %08x dropped=%v %s", i.Kind, i.Name, i.Version, i.Dropped, i.Fields)
}

// canonical lays out an item's fields so that equal ones are equal texts; nulls and the version are left out.
func canonical(fields map[string]any) string {
	kept := map[string]any{}
	for name, value := range fields {
		if value != nil && name != "version" {
			kept[name] = value
		}
	}
	raw, _ := json.Marshal(kept)
	return string(raw)
}

// history is what is known of one item's versions.
type history struct {
	acknowledged Item
	any          bool   // whether one was acknowledged
	pending      []Item // sent, and neither acknowledged nor refused
}

// Changes follows an operator's changes and judges what is read back. It is pure, and not safe for two goroutines.
type Changes struct{ items map[Key]*history }

// NewChanges makes an empty one.
func NewChanges() *Changes { return &Changes{items: map[Key]*history{}} }

func (c *Changes) of(k Key) *history {
	h := c.items[k]
	if h == nil {
		h = &history{}
		c.items[k] = h
	}
	return h
}

// Sent notes a call whose outcome is open.
func (c *Changes) Sent(items []Item) {
	for _, i := range items {
		h := c.of(i.Key)
		h.pending = append(h.pending, i)
	}
}

// Acknowledged notes that a call was answered with 200.
func (c *Changes) Acknowledged(items []Item) (all []Violation) {
	for _, i := range items {
		h := c.of(i.Key)
		h.settle(i)
		switch {
		case !h.any || i.Version > h.acknowledged.Version:
			h.acknowledged, h.any = i, true
		case i.Version == h.acknowledged.Version && i != h.acknowledged:
			all = append(all, Violation{"CONFIGURATION: two contents of one version acknowledged", i.String() + " beside " + h.acknowledged.String()})
		}
	}
	return all
}

// Refused notes that a call was refused for good: nothing of it may come into force.
func (c *Changes) Refused(items []Item) {
	for _, i := range items {
		c.of(i.Key).settle(i)
	}
}

// settle takes one pending sending of an item away.
func (h *history) settle(i Item) {
	if n := slices.Index(h.pending, i); n >= 0 {
		h.pending = slices.Delete(h.pending, n, n+1)
	}
}

// Check compares what was read with what was acknowledged.
func (c *Changes) Check(reader string, standing map[Key]Item) (all []Violation) {
	for key, h := range c.items {
		if i, there := standing[key]; !h.accounts(i, there) {
			all = append(all, Violation{"CONFIGURATION: an acknowledged change is not read back",
				fmt.Sprintf("%s: read %v %v, acknowledged %v, open %v", reader, there, i, h.acknowledged, h.pending)})
		}
	}
	for key, i := range standing {
		if c.items[key] == nil {
			all = append(all, Violation{"CONFIGURATION: an item that nobody sent is read", fmt.Sprintf("%s: %v", reader, i)})
		}
	}
	return all
}

// accounts reports whether what stands follows from what was sent: it is what was acknowledged, or a later sending that is open.
func (h *history) accounts(i Item, there bool) bool {
	if h.any && (there && i == h.acknowledged || !there && h.acknowledged.Dropped) {
		return true
	}
	if !h.any && !there {
		return true
	}
	for _, p := range h.pending {
		if h.any && p.Version <= h.acknowledged.Version {
			continue
		}
		if there && i == p || !there && p.Dropped {
			return true
		}
	}
	return false
}

// table is a list of items as it goes on the wire.
type table struct {
	Columns []string `json:"table-columns"`
	Rows    [][]any  `json:"table-rows"`
}

// ReadStanding takes apart what configuration.read answered.
func ReadStanding(raw []byte) (map[Key]Item, error) {
	var answer struct {
		Routes   table          `json:"routes"`
		Services table          `json:"services"`
		Limits   map[string]any `json:"limits"`
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&answer); err != nil {
		return nil, fmt.Errorf("configuration.read: %w", err)
	}
	all := map[Key]Item{}
	add := func(kind, name string, fields map[string]any) error {
		version, err := readVersion(fields["version"])
		if err != nil {
			return fmt.Errorf("%s %s: %w", kind, name, err)
		}
		key := Key{kind, name}
		all[key] = Item{Key: key, Version: version, Fields: canonical(fields)}
		return nil
	}
	for kind, t := range map[string]table{"routes": answer.Routes, "services": answer.Services} {
		for _, row := range t.Rows {
			fields := map[string]any{}
			for n, column := range t.Columns {
				if n < len(row) {
					fields[column] = row[n]
				}
			}
			name, _ := fields["name"].(string)
			if err := add(kind, name, fields); err != nil {
				return nil, err
			}
		}
	}
	if answer.Limits != nil {
		return all, add("limits", "limits", answer.Limits)
	}
	return all, nil
}

func readVersion(v any) (version uint64, err error) {
	s, _ := v.(string)
	if _, err = fmt.Sscanf(s, "%x", &version); err != nil {
		return 0, fmt.Errorf("version %v: %w", v, err)
	}
	return version, nil
}

// encode makes the body of configuration.modify.
func encode(items []Item) []byte {
	set, drop := map[string]any{}, map[string][]map[string]string{}
	rows := map[string][]map[string]any{}
	for _, i := range items {
		version := fmt.Sprintf("%08x", i.Version)
		if i.Dropped {
			drop[i.Kind] = append(drop[i.Kind], map[string]string{"name": i.Name, "version": version})
			continue
		}
		fields := map[string]any{}
		json.Unmarshal([]byte(i.Fields), &fields)
		fields["version"] = version
		if i.Kind == "limits" {
			set["limits"] = fields
			continue
		}
		rows[i.Kind] = append(rows[i.Kind], fields)
	}
	for kind, all := range rows {
		set[kind] = layOut(all)
	}
	raw, _ := json.Marshal(map[string]any{"set-items": set, "drop-names": drop})
	return raw
}

// layOut makes a table of rows with any columns.
func layOut(rows []map[string]any) (t table) {
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
