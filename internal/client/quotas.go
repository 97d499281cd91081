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

// SetQuotaChange returns the change that sets one quota with version highest+1, after it has validated the fields as control does. Fields
// that are nil are removed from the map.
func SetQuotaChange(fields map[string]any, highest uint64) ([]byte, error) {
	for name, v := range fields {
		if v == nil {
			delete(fields, name)
		}
	}
	reader := settings.NewReader(fields)
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

// DropQuotaChange returns the change that deletes a quota with version highest+1.
func DropQuotaChange(name string, highest uint64) ([]byte, error) {
	return json.Marshal(map[string]any{"drop-names": map[string]any{config.KindQuotas: []map[string]string{{
		"name": name, "version": config.FormatVersion(highest + 1)}}}})
}

// ThrottledCaller is a caller in the last hour, with the number of requests that a simulated quota would have throttled.
type ThrottledCaller struct {
	Caller      string `json:"caller"` // empty for all requests that name no caller or are not counted by caller
	Requests    uint64 `json:"requests"`
	Throttled   uint64 `json:"held_back"`
	WorstMinute uint64 `json:"worst_minute"` // highest number of requests in one minute
}

// SimulateQuota returns how many requests of each caller a quota of perSecond would have throttled in the last hour, most throttled first.
// responses has each control process's counts, by service. An empty caller selects all callers, config.OtherCallers those not counted by
// name. Whole minutes are compared, so bursts within a minute don't count, and no caller uses what others leave.
func SimulateQuota(responses []map[string][]quota.CallerHistory, service, caller string, perSecond float64) (all []ThrottledCaller) {
	totals := map[string][]uint64{}
	for _, response := range responses {
		for _, history := range response[service] {
			if caller != "" && history.Name != caller && (caller != config.OtherCallers || history.Name != "") {
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

// FormatCaller returns a caller for display: quoted, or "(others)" if it is empty.
func FormatCaller(caller string) string {
	if caller == "" {
		return "(others)"
	}
	return fmt.Sprintf("%q", caller)
}
