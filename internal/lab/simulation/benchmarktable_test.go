package simulation

import (
	"fmt"
	"slices"
	"time"
)

// tableRow formats a row of a latency table: number of calls, p50, p99 and maximum latency in milliseconds, calls that were retried,
// and calls that failed.
func tableRow(name string, results []callResult) string {
	var latencies []time.Duration
	retried, failed := 0, 0
	for _, o := range results {
		latencies = append(latencies, o.latency)
		if o.attempts > 1 {
			retried++
		}
		if o.status != 200 {
			failed++
		}
	}
	return fmt.Sprintf("| %s | %d | %s | %d | %d |", name, len(results), percentiles(latencies), retried, failed)
}

func percentiles(latencies []time.Duration) string {
	if len(latencies) == 0 {
		return "- | - | -"
	}
	slices.Sort(latencies)
	return fmt.Sprintf("%s | %s | %s", formatMillis(latencies[(len(latencies)-1)/2]), formatMillis(latencies[(len(latencies)-1)*99/100]), formatMillis(latencies[len(latencies)-1]))
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/1e6) }
