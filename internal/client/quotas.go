package client

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/settings"
	"portflow/internal/quota"
)

// SetQuotaChange is the change that sets one share, with the version after highest. Its fields are checked as control checks
// them.
func SetQuotaChange(fields map[string]any, highest uint64) ([]byte, error) {
	for name, v := range fields {
		if v == nil {
			delete(fields, name)
		}
	}
	reader := settings.NewReader(settings.Tree(fields))
	config.ParseQuota(reader)
	if err := reader.Err(); err != nil {
		return nil, err
	}
	columns, row := []string{"version"}, []any{config.FormatVersion(highest + 1)}
	for name, v := range fields {
		columns, row = append(columns, name), append(row, v)
	}
	return json.Marshal(map[string]any{"set-items": map[string]any{config.KindQuotas: map[string]any{
		"table-columns": columns, "table-rows": [][]any{row}}}})
}

// DropQuotaChange is the change that drops one.
func DropQuotaChange(name string, highest uint64) ([]byte, error) {
	return json.Marshal(map[string]any{"drop-names": map[string]any{config.KindQuotas: []map[string]string{{
		"name": name, "version": config.FormatVersion(highest + 1)}}}})
}

// ThrottledCaller is whom a share would have held back.
type ThrottledCaller struct {
	Caller      string `json:"caller"` // empty for those without a name or too many to be counted by name
	Requests    uint64 `json:"requests"`
	Throttled   uint64 `json:"held_back"`
	WorstMinute uint64 `json:"worst_minute"` // most of them within one minute
}

// SimulateQuota tells whom shares of so many requests a second for one caller, or for each, would have held back by the counts of the
// last hour, as all control processes have them: those held back most come first. It goes by whole minutes, and by nothing
// being left over.
func SimulateQuota(responses []map[string][]quota.CallerHistory, service, caller string, perSecond float64) (all []ThrottledCaller) {
	totals := map[string][]uint64{}
	for _, response := range responses {
		for _, history := range response[service] {
			if caller != "" && history.Name != caller && !(caller == config.OtherCallers && history.Name == "") {
				continue
			}
			if totals[history.Name] == nil {
				totals[history.Name] = make([]uint64, 60)
			}
			for i, n := range history.Minutes[:min(60, len(history.Minutes))] {
				totals[history.Name][i] += n
			}
		}
	}
	for name, minutes := range totals {
		throttled := ThrottledCaller{Caller: name, Throttled: quota.CallerHistory{Minutes: minutes}.ExcessRequests(perSecond)}
		for _, n := range minutes {
			throttled.Requests += n
			throttled.WorstMinute = max(throttled.WorstMinute, n)
		}
		all = append(all, throttled)
	}
	slices.SortFunc(all, func(a, b ThrottledCaller) int {
		return cmp.Or(cmp.Compare(b.Throttled, a.Throttled), strings.Compare(a.Caller, b.Caller))
	})
	return all
}

// FormatCaller is how a caller is shown.
func FormatCaller(caller string) string {
	if caller == "" {
		return "(others)"
	}
	return fmt.Sprintf("%q", caller)
}
