package pilot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// place is where control says that something is wrong: names joined by dots, with numbers of lists in brackets.
var place = regexp.MustCompile(`\b(set-items|drop-names)[-a-z.\[\]0-9]*`)

// lines are the lines on which the values of a JSON text begin, by their places. Cells of a row are also found by the names
// of the columns, as control names them. It is empty for a text that is no JSON.
func lines(raw []byte, tables map[string]table) map[string]int {
	at := map[string]int{}
	d := json.NewDecoder(bytes.NewReader(raw))
	line, from := 1, 0
	next := func() (json.Token, error) { // the line is that of the token's end; values here don't span lines
		t, err := d.Token()
		to := int(d.InputOffset())
		line += bytes.Count(raw[from:to], []byte("\n"))
		from = to
		return t, err
	}
	var walk func(path string) error
	walk = func(path string) error {
		t, err := next()
		if err != nil {
			return err
		}
		at[path] = line
		switch t {
		case json.Delim('{'):
			for d.More() {
				name, err := next()
				if err != nil {
					return err
				}
				if err := walk(strings.TrimPrefix(fmt.Sprint(path, ".", name), ".")); err != nil {
					return err
				}
			}
		case json.Delim('['):
			for n := 0; d.More(); n++ {
				if err := walk(fmt.Sprint(path, "[", n, "]")); err != nil {
					return err
				}
			}
		default:
			return nil
		}
		_, err = next()
		return err
	}
	if walk("") != nil {
		return nil
	}
	for kind, t := range tables {
		for row := range t.Rows {
			for n, column := range t.Columns {
				rows := fmt.Sprintf("set-items.%s.table-rows[%d]", kind, row)
				if l, ok := at[fmt.Sprint(rows, "[", n, "]")]; ok {
					at[rows+"."+column] = l
				}
			}
		}
	}
	return at
}

// Wrong is an error with the line, the item and the place of each thing that is wrong in a file.
type Wrong struct {
	Lines []string
	err   error
}

func (w *Wrong) Error() string { return strings.Join(w.Lines, "\n") }
func (w *Wrong) Unwrap() error { return w.err }

// placed finds the line of each thing that an error names, and the name of the item that it is in.
func placed(raw []byte, err error) error {
	all, w := tables(raw), &Wrong{err: err}
	at := lines(raw, all)
	for _, text := range strings.Split(err.Error(), "\n") {
		p := place.FindString(text)
		line := 0
		for q := p; q != "" && line == 0; { // a field that is missing: the item's line
			line = at[q]
			q = q[:max(strings.LastIndexAny(q, ".["), 0)]
		}
		if line == 0 {
			w.Lines = append(w.Lines, text)
			continue
		}
		if name := named(all, p); name != "" {
			text = strings.Replace(text, p, name+": "+p, 1)
		}
		w.Lines = append(w.Lines, fmt.Sprintf("line %d: %s", line, text))
	}
	return w
}

var row = regexp.MustCompile(`^set-items\.([a-z]+)\.table-rows\[(\d+)\]`)

// named is the kind and the name of the item that a place is in, if it has one.
func named(tables map[string]table, path string) string {
	m := row.FindStringSubmatch(path)
	if m == nil {
		return ""
	}
	t := tables[m[1]]
	n := 0
	fmt.Sscan(m[2], &n)
	for i, c := range t.Columns {
		if c == "name" && n < len(t.Rows) && i < len(t.Rows[n]) {
			return fmt.Sprintf("%s %v", m[1], t.Rows[n][i])
		}
	}
	return ""
}

// table is items of one kind, as columns and rows.
type table struct {
	Columns []string `json:"table-columns"`
	Rows    [][]any  `json:"table-rows"`
}

// tables are the kinds of items that a change sets and that have this shape.
func tables(raw []byte) map[string]table {
	var all struct {
		Set map[string]json.RawMessage `json:"set-items"`
	}
	json.Unmarshal(raw, &all)
	found := map[string]table{}
	for kind, x := range all.Set {
		var t table
		if json.Unmarshal(x, &t) == nil && t.Columns != nil {
			found[kind] = t
		}
	}
	return found
}

// syntax is where a text stops being JSON, nil where it doesn't.
func syntax(raw []byte) error {
	var s *json.SyntaxError
	var v any
	if err := json.Unmarshal(raw, &v); errors.As(err, &s) {
		return fmt.Errorf("line %d: %w", 1+bytes.Count(raw[:min(int(s.Offset), len(raw))], []byte("\n")), err)
	}
	return nil
}
