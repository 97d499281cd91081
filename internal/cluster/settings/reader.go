// Package settings reads what the system is told: trees of maps, walked by paths. A reader keeps the first few errors, each
// with its path, so that its user asks for everything first and looks once.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Tree is what is read: its leaves are texts, numbers, truths and lists.
type Tree = map[string]any

// ParseTree reads lines of the form a.b=value. Empty lines and those that begin with # are passed over.
func ParseTree(text string) (Tree, error) {
	root := Tree{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		path, value, found := strings.Cut(line, "=")
		if !found {
			return nil, fmt.Errorf("line %d: no '=' in %q", i+1, line)
		}
		table := root
		names := strings.Split(strings.TrimSpace(path), ".")
		for _, name := range names[:len(names)-1] {
			next, found := table[name].(Tree)
			if !found {
				if _, exists := table[name]; exists {
					return nil, fmt.Errorf("line %d: %s is a value and a table", i+1, name)
				}
				next = Tree{}
				table[name] = next
			}
			table = next
		}
		last := names[len(names)-1]
		if _, table := table[last].(Tree); table {
			return nil, fmt.Errorf("line %d: %s is a value and a table", i+1, path)
		}
		table[last] = strings.TrimSpace(value)
	}
	return root, nil
}

const maxErrors = 20 // errors that are kept

// Reader stands at one place of a tree.
type Reader struct {
	value   any
	present bool
	path    string
	errs    *[]error
}

// NewReader stands at a tree's root.
func NewReader(root any) Reader { return Reader{value: root, present: true, errs: new([]error)} }

// Err is all that was wrong so far, or nil.
func (r Reader) Err() error { return errors.Join(*r.errs...) }

// Path is where the reader stands.
func (r Reader) Path() string { return r.path }

// At walks down a path; what isn't there is an error only when it is asked for.
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

// Exists tells whether anything stands here.
func (r Reader) Exists() bool { return r.present }

// Value is what stands here.
func (r Reader) Value() any { return r.value }

// Errorf notes an error at this place.
func (r Reader) Errorf(format string, args ...any) {
	if len(*r.errs) < maxErrors {
		*r.errs = append(*r.errs, fmt.Errorf("%s: %s", r.path, fmt.Sprintf(format, args...)))
	}
}

// Text is a text that must stand here and is not empty.
func (r Reader) Text() string {
	s, ok := r.value.(string)
	if !r.present || s == "" {
		r.Errorf("missing")
	} else if !ok {
		r.Errorf("%v is no text", r.value)
	}
	return s
}

// Strings is a list of texts, joined by commas or as a list; none where nothing stands.
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
				r.Errorf("%v is no text", x)
				return nil
			}
			all = append(all, s)
		}
	default:
		r.Errorf("%v is no list", v)
	}
	return all
}

// Float is a number from low to high that must stand here.
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
		r.Errorf("%v is no number", r.value)
		return low
	}
	if !(f >= low && f <= high) {
		r.Errorf("%v is not from %v to %v", f, low, high)
		return low
	}
	return f
}

// Int is a whole number from low to high.
func (r Reader) Int(low, high int) int {
	f := r.Float(float64(low), float64(high))
	if f != math.Trunc(f) {
		r.Errorf("%v is no whole number", f)
	}
	return int(f)
}

// Seconds is a time in seconds, told in nanoseconds, from low to high seconds.
func (r Reader) Seconds(low, high float64) int64 { return int64(r.Float(low, high) * 1e9) }

// Bool is true or false; absent is false.
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

// List is the elements here; none where nothing stands.
func (r Reader) List() (all []Reader) {
	l, ok := r.value.([]any)
	if r.present && !ok {
		r.Errorf("no list")
	}
	for i, v := range l {
		all = append(all, Reader{value: v, present: v != nil, path: fmt.Sprintf("%s[%d]", r.path, i), errs: r.errs})
	}
	return all
}

// Map is the names of a table's entries here.
func (r Reader) Map() Tree {
	t, ok := r.value.(Tree)
	if r.present && !ok {
		r.Errorf("no table")
	}
	return t
}

// WithValue stands at the same place, with another value: a row, say, as the table it means.
func (r Reader) WithValue(value any) Reader {
	r.value, r.present = value, value != nil
	return r
}
