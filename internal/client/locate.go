package client

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// errorPath is where control says that something is wrong: names joined by dots, with numbers of lists in brackets.
var errorPath = regexp.MustCompile(`\b(set-items|drop-names)[-a-z.\[\]0-9]*`)

// valueLines are the lines on which the values of a JSON text begin, by their places. Cells of a row are also found by the names
// of the columns, as control names them. It is empty for a text that is no JSON.
func valueLines(raw []byte, tables map[string]table) map[string]int {
	found := map[string]int{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	line, offset := 1, 0
	next := func() (json.Token, error) { // the line is that of the token's end; values here don't span lines
		t, err := decoder.Token()
		end := int(decoder.InputOffset())
		line += bytes.Count(raw[offset:end], []byte("\n"))
		offset = end
		return t, err
	}
	var walk func(path string) error
	walk = func(path string) error {
		t, err := next()
		if err != nil {
			return err
		}
		found[path] = line
		switch t {
		case json.Delim('{'):
			for decoder.More() {
				name, err := next()
				if err != nil {
					return err
				}
				if err := walk(strings.TrimPrefix(fmt.Sprint(path, ".", name), ".")); err != nil {
					return err
				}
			}
		case json.Delim('['):
			for n := 0; decoder.More(); n++ {
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
				if cellLine, ok := found[fmt.Sprint(rows, "[", n, "]")]; ok {
					found[rows+"."+column] = cellLine
				}
			}
		}
	}
	return found
}

// LocatedError is an error with the line, the item and the place of each thing that is wrong in a file.
type LocatedError struct {
	Lines []string
	err   error
}

func (e *LocatedError) Error() string { return strings.Join(e.Lines, "\n") }
func (e *LocatedError) Unwrap() error { return e.err }

// locateErrors finds the line of each thing that an error names, and the name of the item that it is in.
func locateErrors(raw []byte, err error) error {
	tables, located := parseTables(raw), &LocatedError{err: err}
	lines := valueLines(raw, tables)
	for _, text := range strings.Split(err.Error(), "\n") {
		path := errorPath.FindString(text)
		line := 0
		for prefix := path; prefix != "" && line == 0; { // a field that is missing: the item's line
			line = lines[prefix]
			prefix = prefix[:max(strings.LastIndexAny(prefix, ".["), 0)]
		}
		if line == 0 {
			located.Lines = append(located.Lines, text)
			continue
		}
		if name := itemName(tables, path); name != "" {
			text = strings.Replace(text, path, name+": "+path, 1)
		}
		located.Lines = append(located.Lines, fmt.Sprintf("line %d: %s", line, text))
	}
	return located
}

var rowPath = regexp.MustCompile(`^set-items\.([a-z]+)\.table-rows\[(\d+)\]`)

// itemName is the kind and the name of the item that a place is in, if it has one.
func itemName(tables map[string]table, path string) string {
	match := rowPath.FindStringSubmatch(path)
	if match == nil {
		return ""
	}
	items := tables[match[1]]
	rowIndex := 0
	fmt.Sscan(match[2], &rowIndex)
	for i, column := range items.Columns {
		if column == "name" && rowIndex < len(items.Rows) && i < len(items.Rows[rowIndex]) {
			return fmt.Sprintf("%s %v", match[1], items.Rows[rowIndex][i])
		}
	}
	return ""
}

// table is items of one kind, as columns and rows.
type table struct {
	Columns []string `json:"table-columns"`
	Rows    [][]any  `json:"table-rows"`
}

// parseTables are the kinds of items that a change sets and that have this shape.
func parseTables(raw []byte) map[string]table {
	var document struct {
		Set map[string]json.RawMessage `json:"set-items"`
	}
	json.Unmarshal(raw, &document)
	found := map[string]table{}
	for kind, rawTable := range document.Set {
		var parsed table
		if json.Unmarshal(rawTable, &parsed) == nil && parsed.Columns != nil {
			found[kind] = parsed
		}
	}
	return found
}

// checkSyntax is where a text stops being JSON, nil where it doesn't.
func checkSyntax(raw []byte) error {
	var syntaxErr *json.SyntaxError
	var v any
	if err := json.Unmarshal(raw, &v); errors.As(err, &syntaxErr) {
		return fmt.Errorf("line %d: %w", 1+bytes.Count(raw[:min(int(syntaxErr.Offset), len(raw))], []byte("\n")), err)
	}
	return nil
}
