package client

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// errorPath matches the path of a field in an error of control: names joined by dots, with list indexes in brackets.
var errorPath = regexp.MustCompile(`\b(set-items|drop-names)[-a-z.\[\]0-9]*`)

// valueLines returns the lines on which the values of a JSON text begin, by path. Table cells are also listed under the path with the column
// name in place of the index, as used in errors of control. It returns nil if the text is not valid JSON.
func valueLines(raw []byte, tables map[string]table) map[string]int {
	found := map[string]int{}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	line, offset := 1, 0
	next := func() (json.Token, error) { // line is where the token ends, and also where it begins: tokens don't span lines
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

// LocatedError is an error about a file, with the line number and item name added to each message where they are known.
type LocatedError struct {
	Lines []string // messages, one for each line of the wrapped error
	err   error
}

func (e *LocatedError) Error() string { return strings.Join(e.Lines, "\n") }
func (e *LocatedError) Unwrap() error { return e.err }

// locateErrors adds the line number in raw and the item name to each message of err that names a field.
func locateErrors(raw []byte, err error) error {
	tables, located := parseTables(raw), &LocatedError{err: err}
	lines := valueLines(raw, tables)
	for _, text := range strings.Split(err.Error(), "\n") {
		path := errorPath.FindString(text)
		line := 0
		for prefix := path; prefix != "" && line == 0; { // a missing field has no line: use that of the item
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

// itemName returns the kind and name of the item that a path is in, or "" if there is none.
func itemName(tables map[string]table, path string) string {
	match := rowPath.FindStringSubmatch(path)
	if match == nil {
		return ""
	}
	items := tables[match[1]]
	rowIndex := 0
	_, _ = fmt.Sscan(match[2], &rowIndex) // rowPath matches digits only
	for i, column := range items.Columns {
		if column == "name" && rowIndex < len(items.Rows) && i < len(items.Rows[rowIndex]) {
			return fmt.Sprintf("%s %v", match[1], items.Rows[rowIndex][i])
		}
	}
	return ""
}

// table contains the items of one kind in a change, as columns and rows.
type table struct {
	Columns []string `json:"table-columns"`
	Rows    [][]any  `json:"table-rows"`
}

// parseTables returns the tables of items that a change sets, by kind. Items that are not in the form of a table are skipped.
func parseTables(raw []byte) map[string]table {
	var document struct {
		Set map[string]json.RawMessage `json:"set-items"`
	}
	_ = json.Unmarshal(raw, &document) // without tables nothing is located
	found := map[string]table{}
	for kind, rawTable := range document.Set {
		var parsed table
		if json.Unmarshal(rawTable, &parsed) == nil && parsed.Columns != nil {
			found[kind] = parsed
		}
	}
	return found
}

// checkSyntax returns an error with the line number if raw is not valid JSON.
func checkSyntax(raw []byte) error {
	var syntaxErr *json.SyntaxError
	var v any
	if err := json.Unmarshal(raw, &v); errors.As(err, &syntaxErr) {
		return fmt.Errorf("line %d: %w", 1+bytes.Count(raw[:min(int(syntaxErr.Offset), len(raw))], []byte("\n")), err)
	}
	return nil
}
