// Package settings parses the settings file of a process. Its Reader reads values by path from the tree of a settings file or of a JSON
// object. A Reader collects the first errors, each with its path, so that callers can read all values and then check Err once.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Tree is a table of values by name. A value is a string, a number, a boolean, a list ([]any) or another Tree.
type Tree = map[string]any

// ParseTree parses lines of the form a.b=value into a tree whose values are strings or tables. Empty lines and lines that begin with #
// are ignored. If a path occurs several times, the last value is used.
func ParseTree(text string) (Tree, error) {
	root := Tree{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		path, value, found := strings.Cut(line, "=")
		if !found {
			return nil, fmt.Errorf("line %d: no '=' in %q; expected path=value", i+1, line)
		}
		table := root
		names := strings.Split(strings.TrimSpace(path), ".")
		for _, name := range names[:len(names)-1] {
			next, found := table[name].(Tree)
			if !found {
				if _, exists := table[name]; exists {
					return nil, fmt.Errorf("line %d: %s is used both as a value and as a table", i+1, name)
				}
				next = Tree{}
				table[name] = next
			}
			table = next
		}
		last := names[len(names)-1]
		if _, table := table[last].(Tree); table {
			return nil, fmt.Errorf("line %d: %s is used both as a value and as a table", i+1, path)
		}
		table[last] = strings.TrimSpace(value)
	}
	return root, nil
}

const maxErrors = 20 // per tree; further errors are dropped

// Reader reads the value at one position in a tree. The readers that its methods return add to the same list of errors. Readers of one
// tree must not be used concurrently.
type Reader struct {
	value   any
	present bool
	path    string
	errs    *[]error
}

// NewReader returns a reader at the root of a tree. The root is usually a Tree, but may be any JSON value.
func NewReader(root any) Reader { return Reader{value: root, present: true, errs: new([]error)} }

// Err returns the joined errors of all readers of this tree so far, or nil.
func (r Reader) Err() error { return errors.Join(*r.errs...) }

// Path returns the reader's position: the names from the root, joined by dots, with the indexes of list elements in brackets.
func (r Reader) Path() string { return r.path }

// At returns a reader at a path below this position, such as "a.b". A missing value is not an error until a method that requires it is
// called.
func (r Reader) At(path string) Reader {
	for _, name := range strings.Split(path, ".") {
		t, _ := r.value.(Tree)
		v, ok := t[name]
		if r.path != "" {
			name = r.path + "." + name
		}
		r = Reader{value: v, present: ok && v != nil, path: name, errs: r.errs}
	}
	return r
}

// Exists reports whether there is a value other than null at this position.
func (r Reader) Exists() bool { return r.present }

// Value returns the value at this position without checks, or nil if it doesn't exist.
func (r Reader) Value() any { return r.value }

// Errorf adds a formatted error, preceded by the path of this position.
func (r Reader) Errorf(format string, args ...any) {
	if len(*r.errs) < maxErrors {
		*r.errs = append(*r.errs, fmt.Errorf("%s: %s", r.path, fmt.Sprintf(format, args...)))
	}
}

// Text returns the string at this position, which must exist and not be empty. A value of another type is also reported as missing.
func (r Reader) Text() string {
	s, ok := r.value.(string)
	if !r.present || s == "" {
		r.Errorf("missing")
	} else if !ok {
		r.Errorf("%v is not a string", r.value)
	}
	return s
}

// Strings returns the list of strings at this position, or nil if the value doesn't exist. A string is split at commas; spaces around the
// elements and empty elements are removed.
func (r Reader) Strings() (all []string) {
	switch v := r.value.(type) {
	case nil:
	case string:
		for _, s := range strings.Split(v, ",") {
			if s = strings.TrimSpace(s); s != "" {
				all = append(all, s)
			}
		}
	case []any:
		for _, x := range v {
			s, ok := x.(string)
			if !ok {
				r.Errorf("list element %v is not a string", x)
				return nil
			}
			all = append(all, s)
		}
	default:
		r.Errorf("%v is not a list of strings", v)
	}
	return all
}

// Float returns the number at this position, which must exist and be from low to high. It may be a string, which is parsed. Float returns
// low after an error.
func (r Reader) Float(low, high float64) float64 {
	var f float64
	var err error
	switch v := r.value.(type) {
	case float64:
		f = v
	case json.Number:
		f, err = v.Float64()
	case string:
		f, err = strconv.ParseFloat(v, 64)
	case nil:
		r.Errorf("missing")
		return low
	default:
		err = errors.New("")
	}
	if err != nil {
		r.Errorf("%v is not a number", r.value)
		return low
	}
	if !(f >= low && f <= high) {
		r.Errorf("%v is not from %v to %v", f, low, high)
		return low
	}
	return f
}

// Int is like Float for integers. A number with a fraction is an error, but is returned truncated.
func (r Reader) Int(low, high int) int {
	f := r.Float(float64(low), float64(high))
	if f != math.Trunc(f) {
		r.Errorf("%v is not an integer", f)
	}
	return int(f)
}

// Seconds is like Float for a number of seconds, and returns it in nanoseconds.
func (r Reader) Seconds(low, high float64) int64 { return int64(r.Float(low, high) * 1e9) }

// Bool returns the boolean at this position, or false if the value doesn't exist. Strings are parsed by strconv.ParseBool.
func (r Reader) Bool() bool {
	switch v := r.value.(type) {
	case nil:
		return false
	case bool:
		return v
	case string:
		b, err := strconv.ParseBool(v)
		if err == nil {
			return b
		}
	}
	r.Errorf("%v is neither true nor false", r.value)
	return false
}

// List returns a reader for each element of the list at this position, or nil if the value doesn't exist.
func (r Reader) List() (all []Reader) {
	l, ok := r.value.([]any)
	if r.present && !ok {
		r.Errorf("must be a list")
	}
	for i, v := range l {
		all = append(all, Reader{value: v, present: v != nil, path: fmt.Sprintf("%s[%d]", r.path, i), errs: r.errs})
	}
	return all
}

// Map returns the table at this position, or nil if the value doesn't exist.
func (r Reader) Map() Tree {
	t, ok := r.value.(Tree)
	if r.present && !ok {
		r.Errorf("must be a table of named values")
	}
	return t
}

// WithValue returns a reader at the same path for another value, for example to read a row as a table of its columns.
func (r Reader) WithValue(value any) Reader {
	r.value, r.present = value, value != nil
	return r
}
