package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Verify holds what happened against the rules, once all has ended.
func (cl *Cluster) Verify() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for id, n := range cl.executions {
		safe := strings.HasPrefix(id, "safe")
		if outcome := cl.outcomes[id]; !safe && n > 0 && (outcome == "503" || outcome == "429" || outcome == "408" || outcome == "421") {
			cl.Violations = append(cl.Violations, fmt.Sprintf("REFUSED: %s got %s and ran", id, outcome))
		}
		if !safe && n > 1 {
			cl.Violations = append(cl.Violations, fmt.Sprintf("TWICE: %s ran %d times", id, n))
		}
	}
	for id := range cl.executions {
		if _, sent := cl.outcomes[id]; !sent {
			cl.Violations = append(cl.Violations, fmt.Sprintf("UNASKED: %s ran, and no client sent it", id))
		}
	}
	for i, start := range cl.reattempts { // windows that begin with one that came again
		countWithin := func(all []time.Time, from time.Time) (n int) {
			for _, t := range all {
				if !t.Before(from) && t.Sub(from) < 10*time.Second {
					n++
				}
			}
			return n
		}
		requests := max(countWithin(cl.requests, start), countWithin(cl.requests, start.Add(-5*time.Second)), countWithin(cl.requests, start.Add(-10*time.Second)))
		if n := countWithin(cl.reattempts[i:], start); float64(n) > 0.2*float64(requests)+64 {
			cl.Violations = append(cl.Violations, fmt.Sprintf("BUDGET: %d came again within ten seconds, of %d requests", n, requests))
			break
		}
	}
	slices.Sort(cl.Violations)
	return cl.Violations
}
