package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// stringValue returns v if it is a string, otherwise an empty string.
func stringValue(v any) string { t, _ := v.(string); return t }

// numberValue returns v as a float64, 0 if it isn't a number.
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

// stringList returns the elements of v, nil if it isn't a list.
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

// tableList returns the elements of v that are tables, an empty list if it isn't a list.
func tableList(v any) []map[string]any {
	return lo.FilterMap(stringList(v), func(v any, _ int) (map[string]any, bool) { m, ok := v.(map[string]any); return m, ok })
}

// sortPrefixes are prepended to the names of fields that sort before all others in a table.
var sortPrefixes = map[string]string{"at": "\x00", "kind": "\x01"}

// inlineTOML formats a value as TOML on one line, except that a list of tables has one line per table. The fields of a table are
// sorted: at, kind, then by name.
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
