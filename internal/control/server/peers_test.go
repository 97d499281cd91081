package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The delay doubles from 50 ms to a second, and stays there whatever the number of failures.
func TestRedialDelay(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		0: 50 * time.Millisecond, 1: 100 * time.Millisecond, 4: 800 * time.Millisecond, 5: time.Second, 100: time.Second,
	} {
		qt.Check(t, redialDelay(failures), qt.Equals, want, qt.Commentf("%d failures", failures))
	}
}

// A "+" suffix does not change which run of a process an incarnation belongs to.
func TestSameIncarnation(t *testing.T) {
	c := qt.New(t)
	c.Check(sameIncarnation("a1-7", "a1-7"), qt.IsTrue)
	c.Check(sameIncarnation("a1-7", "a1-7++"), qt.IsTrue)
	c.Check(sameIncarnation("a1-7", "a1-8"), qt.IsFalse)
}
