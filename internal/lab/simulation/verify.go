package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limit on reattempts: within reattemptWindow, at most reattemptRatio times the requests plus reattemptSlack attempts may arrive at hosts
// again.
const (
	reattemptWindow = 10 * time.Second
	reattemptRatio  = 0.2
	reattemptSlack  = 64
)

// Verify checks the recorded requests and executions against the invariants and returns all violations in sorted order, including those
// recorded earlier. It must be called once, after all traffic has ended.
func (cl *Cluster) Verify() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.verifyRefused()
	cl.verifyRanOnce()
	cl.verifySent()
	cl.verifyReattempts()
	slices.Sort(cl.Violations)
	return cl.Violations
}

// violationLocked is violation for callers that hold cl.mu.
func (cl *Cluster) violationLocked(format string, args ...any) {
	cl.Violations = append(cl.Violations, fmt.Sprintf(format, args...))
}

// isSafe reports whether an attempt belongs to a safe route, whose requests may run more than once.
func isSafe(id string) bool { return strings.HasPrefix(id, "safe") }

// verifyRefused checks that no unsafe request ran whose status tells the client that it did not; cl.mu must be held.
func (cl *Cluster) verifyRefused() {
	for id, n := range cl.executions {
		if isSafe(id) || n == 0 {
			continue
		}
		switch outcome := cl.outcomes[id]; outcome {
		case "503", "429", "408", "421":
			cl.violationLocked("REFUSED: attempt %s was rejected with status %s, but ran", id, outcome)
		}
	}
}

// verifyRanOnce checks that no unsafe request ran more than once; cl.mu must be held.
func (cl *Cluster) verifyRanOnce() {
	for id, n := range cl.executions {
		if !isSafe(id) && n > 1 {
			cl.violationLocked("TWICE: unsafe attempt %s ran %d times", id, n)
		}
	}
}

// verifySent checks that each attempt that ran was sent by a client; cl.mu must be held.
func (cl *Cluster) verifySent() {
	for id := range cl.executions {
		if _, sent := cl.outcomes[id]; !sent {
			cl.violationLocked("UNASKED: attempt %s ran, but no client sent it", id)
		}
	}
}

// verifyReattempts checks the limit on reattempts in each window that begins with a reattempt. The limit follows from the highest
// number of requests in three windows: one that begins at the same time, half a window earlier, or a full window earlier. It records
// at most one violation. cl.mu must be held.
func (cl *Cluster) verifyReattempts() {
	for i, start := range cl.reattempts {
		requests := max(
			countWithin(cl.requests, start),
			countWithin(cl.requests, start.Add(-reattemptWindow/2)),
			countWithin(cl.requests, start.Add(-reattemptWindow)),
		)
		n := countWithin(cl.reattempts[i:], start)
		if float64(n) > reattemptRatio*float64(requests)+reattemptSlack {
			cl.violationLocked("BUDGET: %d reattempts arrived within ten seconds, with %d requests", n, requests)
			return
		}
	}
}

// countWithin counts the times in the window of length reattemptWindow that begins at from.
func countWithin(all []time.Time, from time.Time) (n int) {
	for _, at := range all {
		if !at.Before(from) && at.Sub(from) < reattemptWindow {
			n++
		}
	}
	return n
}
