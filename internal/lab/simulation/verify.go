package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The bound on requests that arrive at hosts again: in any window, a fraction of its requests and some more.
const (
	reattemptWindow = 10 * time.Second
	reattemptRatio  = 0.2
	reattemptSlack  = 64
)

// Verify checks what happened against the rules once all has ended, and returns all violations, sorted.
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

// broken records a broken rule; cl.mu is held.
func (cl *Cluster) violationLocked(format string, args ...any) {
	cl.Violations = append(cl.Violations, fmt.Sprintf(format, args...))
}

// isSafe reports whether an attempt is one of a safe route, which may run more than once.
func isSafe(id string) bool { return strings.HasPrefix(id, "safe") }

// verifyRefused checks that no unsafe request ran whose answer says that it did not; cl.mu is held.
func (cl *Cluster) verifyRefused() {
	for id, n := range cl.executions {
		if isSafe(id) || n == 0 {
			continue
		}
		switch outcome := cl.outcomes[id]; outcome {
		case "503", "429", "408", "421":
			cl.violationLocked("REFUSED: %s got %s and ran", id, outcome)
		}
	}
}

// verifyRanOnce checks that no unsafe request ran more than once; cl.mu is held.
func (cl *Cluster) verifyRanOnce() {
	for id, n := range cl.executions {
		if !isSafe(id) && n > 1 {
			cl.violationLocked("TWICE: %s ran %d times", id, n)
		}
	}
}

// verifySent checks that no request ran that no client sent; cl.mu is held.
func (cl *Cluster) verifySent() {
	for id := range cl.executions {
		if _, sent := cl.outcomes[id]; !sent {
			cl.violationLocked("UNASKED: %s ran, and no client sent it", id)
		}
	}
}

// verifyReattempts checks the bound on reattempts in the windows that begin with one; cl.mu is held.
func (cl *Cluster) verifyReattempts() {
	for i, start := range cl.reattempts {
		requests := max(
			countWithin(cl.requests, start),
			countWithin(cl.requests, start.Add(-reattemptWindow/2)),
			countWithin(cl.requests, start.Add(-reattemptWindow)),
		)
		n := countWithin(cl.reattempts[i:], start)
		if float64(n) > reattemptRatio*float64(requests)+reattemptSlack {
			cl.violationLocked("BUDGET: %d came again within ten seconds, of %d requests", n, requests)
			return
		}
	}
}

// countWithin counts the times within a window that begins at from.
func countWithin(all []time.Time, from time.Time) (n int) {
	for _, at := range all {
		if !at.Before(from) && at.Sub(from) < reattemptWindow {
			n++
		}
	}
	return n
}
