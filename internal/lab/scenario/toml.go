package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// stringValue returns a string, empty for values of other types.
func stringValue(v any) string { t, _ := v.(string); return t }

// numberValue returns a number, 0 for values of other types.
func numberValue(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	case int:
		return float64(n)
	}
	return 0
}

// stringList returns a list's values, nil for values of other types.
func stringList(v any) []any {
	switch l := v.(type) {
	case []any:
		return l
	case []map[string]any:
		return lo.Map(l, func(m map[string]any, _ int) any { return m })
	case []Entry:
		return lo.Map(l, func(e Entry, _ int) any { return map[string]any(e) })
	}
	return nil
}

// tableList returns the tables of a list, and leaves out its other values.
func tableList(v any) []map[string]any {
	return lo.FilterMap(stringList(v), func(v any, _ int) (map[string]any, bool) { m, ok := v.(map[string]any); return m, ok })
}

// sortPrefixes sorts the fields that come first in a table.
var sortPrefixes = map[string]string{"at": "\x00", "kind": "\x01"}

// inlineTOML returns a value as TOML on one line; lists of tables get a line for each. The fields of a table are ordered: at, kind,
// then by name.
func inlineTOML(v any) string {
	switch t := v.(type) {
	case string:
		return fmt.Sprintf("%q", t)
	case float64:
		s := fmt.Sprintf("%g", t)
		if !strings.ContainsAny(s, ".e") {
			s += ".0"
		}
		return s
	case Entry:
		return inlineTOML(map[string]any(t))
	case map[string]any:
		keys := slices.SortedFunc(maps.Keys(t), func(a, b string) int {
			return strings.Compare(sortPrefixes[a]+a, sortPrefixes[b]+b)
		})
		return "{ " + strings.Join(lo.Map(keys, func(k string, _ int) string { return k + " = " + inlineTOML(t[k]) }), ", ") + " }"
	}
	if l := stringList(v); l != nil {
		items := lo.Map(l, func(v any, _ int) string { return inlineTOML(v) })
		if len(tableList(v)) == len(l) && len(l) > 0 {
			return "[\n  " + strings.Join(items, ",\n  ") + ",\n]"
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	if _, ok := v.([]any); ok {
		return "[]"
	}
	return fmt.Sprint(v)
}
