package site

import (
	"errors"
	"fmt"
	"math"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxScriptSteps bounds the execution of a script. A file of some thousand lines needs 1% of it, and an infinite loop reaches it
// within about a second.
const maxScriptSteps = 10_000_000

// siteSections are the names of the functions that return a section of the file. The schema has the settings of each.
var siteSections = []string{"storm", "flows"}

// siteCall has the arguments of a script's call of site, and their positions in the script for error messages.
type siteCall struct {
	name      string                                // of the file
	fields    map[string]any                        // sections by name, as JSON values; nil before the call
	call      syntax.Position                       // of the call of site
	positions map[string]map[string]syntax.Position // by section, then by setting; "" is the section itself
}

// positionOf returns the file and the line of the setting at a path, or of the innermost call around it whose position is known.
func (c siteCall) positionOf(path []string) string {
	position := c.call
	if len(path) > 0 {
		fields := c.positions[path[0]]
		if p, ok := fields[""]; ok {
			position = p
		}
		if len(path) > 1 {
			if p, ok := fields[path[1]]; ok {
				position = p
			}
		}
	}
	return fmt.Sprintf("%s:%d", c.name, position.Line)
}

// runScript runs a script and returns its call of site.
func runScript(name string, text []byte) (siteCall, error) {
	result := siteCall{name: name, positions: map[string]map[string]syntax.Position{}}
	options := &syntax.FileOptions{TopLevelControl: true}
	file, err := options.Parse(name, text, 0)
	if err != nil {
		return result, err // has the file, the line and the column
	}
	keywords := keywordPositions(file)
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	sectionPositions := map[*starlark.Dict]map[string]syntax.Position{}
	builtins := starlark.StringDict{
		"ms":      starlark.NewBuiltin("ms", unitFunc(1e6)),
		"seconds": starlark.NewBuiltin("seconds", unitFunc(1e9)),
		"kib":     starlark.NewBuiltin("kib", unitFunc(1<<10)),
	}
	for _, section := range siteSections {
		builtins[section] = starlark.NewBuiltin(section, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
			kwargs []starlark.Tuple) (starlark.Value, error) {
			if len(args) > 0 {
				return nil, errors.New("settings must be named arguments")
			}
			d := starlark.NewDict(len(kwargs))
			for _, kv := range kwargs {
				if err := d.SetKey(kv[0], kv[1]); err != nil {
					return nil, err
				}
			}
			call := t.CallFrame(1).Pos
			fieldPositions := map[string]syntax.Position{"": call}
			for field, p := range keywords[[2]int32{call.Line, call.Col}] {
				fieldPositions[field] = p
			}
			sectionPositions[d] = fieldPositions
			return d, nil
		})
	}
	builtins["site"] = starlark.NewBuiltin("site", func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
		kwargs []starlark.Tuple) (starlark.Value, error) {
		if result.fields != nil {
			return nil, fmt.Errorf("site was already called on line %d", result.call.Line)
		}
		if len(args) > 0 {
			return nil, errors.New("sections must be named arguments")
		}
		result.call = t.CallFrame(1).Pos
		result.fields = map[string]any{}
		for _, kv := range kwargs {
			section := string(kv[0].(starlark.String))
			value, err := jsonValue(kv[1], 0)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", section, err)
			}
			result.fields[section] = value
			if d, ok := kv[1].(*starlark.Dict); ok && sectionPositions[d] != nil {
				result.positions[section] = sectionPositions[d]
			} else {
				result.positions[section] = map[string]syntax.Position{"": keywords[[2]int32{result.call.Line, result.call.Col}][section]}
			}
		}
		return starlark.None, nil
	})
	program, err := starlark.FileProgram(file, builtins.Has)
	if err != nil {
		return result, err
	}
	if _, err := program.Init(thread, builtins); err != nil {
		return result, errorAt(name, err)
	}
	if result.fields == nil {
		return result, fmt.Errorf("%s: site is never called", name)
	}
	return result, nil
}

// errorAt adds the file to an error, and the line of the outermost statement of the script that led to it, if known.
func errorAt(name string, err error) error {
	var failed *starlark.EvalError
	if errors.As(err, &failed) {
		for _, frame := range failed.CallStack {
			if frame.Pos.Filename() == name {
				return fmt.Errorf("%s:%d: %w", name, frame.Pos.Line, err)
			}
		}
	}
	return fmt.Errorf("%s: %w", name, err)
}

// keywordPositions returns the positions of each call's named arguments, by line and column of the call's opening parenthesis, which
// is the position of the call in a starlark.CallFrame.
func keywordPositions(file *syntax.File) map[[2]int32]map[string]syntax.Position {
	positions := map[[2]int32]map[string]syntax.Position{}
	syntax.Walk(file, func(n syntax.Node) bool {
		call, ok := n.(*syntax.CallExpr)
		if !ok {
			return true
		}
		fields := map[string]syntax.Position{}
		for _, arg := range call.Args {
			if named, ok := arg.(*syntax.BinaryExpr); ok && named.Op == syntax.EQ {
				if id, ok := named.X.(*syntax.Ident); ok {
					fields[id.Name] = id.NamePos
				}
			}
		}
		positions[[2]int32{call.Lparen.Line, call.Lparen.Col}] = fields
		return true
	})
	return positions
}

// unitFunc returns a builtin that multiplies a number by unit and rounds it to an integer, for durations in nanoseconds and sizes in
// bytes.
func unitFunc(unit float64) func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error) {
	return func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		var n starlark.Value
		if err := starlark.UnpackPositionalArgs(b.Name(), args, kwargs, 1, &n); err != nil {
			return nil, err
		}
		f, ok := starlark.AsFloat(n)
		if !ok || math.IsNaN(f) || math.Abs(f*unit) > 1e18 {
			return nil, fmt.Errorf("%s: %s is not a number or out of range", b.Name(), n)
		}
		return starlark.MakeInt64(int64(math.Round(f * unit))), nil
	}
}

// maxDepth bounds the nesting of lists and dicts in a value, which may contain itself. Sections need two levels.
const maxDepth = 8

// jsonValue converts a Starlark value to the Go types that represent JSON values.
func jsonValue(v starlark.Value, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested more than %d levels deep", maxDepth)
	}
	switch v := v.(type) {
	case starlark.NoneType:
		return nil, nil
	case starlark.Bool:
		return bool(v), nil
	case starlark.String:
		return string(v), nil
	case starlark.Int:
		n, ok := v.Int64()
		if !ok {
			return nil, fmt.Errorf("%s is too large", v)
		}
		return n, nil
	case starlark.Float:
		if f := float64(v); math.IsNaN(f) || math.IsInf(f, 0) {
			return nil, fmt.Errorf("%s is not a finite number", v)
		}
		return float64(v), nil
	case *starlark.Dict:
		out := map[string]any{}
		for _, kv := range v.Items() {
			key, ok := starlark.AsString(kv[0])
			if !ok {
				return nil, fmt.Errorf("key %s is not a string", kv[0])
			}
			value, err := jsonValue(kv[1], depth+1)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", key, err)
			}
			out[key] = value
		}
		return out, nil
	case starlark.Sequence: // lists and tuples
		out := make([]any, 0, v.Len())
		iter := v.Iterate()
		defer iter.Done()
		for x := starlark.Value(nil); iter.Next(&x); {
			value, err := jsonValue(x, depth+1)
			if err != nil {
				return nil, err
			}
			out = append(out, value)
		}
		return out, nil
	}
	return nil, fmt.Errorf("type %s is not supported as a setting", v.Type())
}
