package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An empty usage is sent to the other control processes only once.
func TestUsageAnnouncedOnceEmpty(t *testing.T) {
	c := qt.New(t)
	q := newQuotaAllocation()
	_, _, announce := q.usage()
	c.Check(announce, qt.IsFalse)
	q.announced = true
	_, _, announce = q.usage()
	c.Check(announce, qt.IsTrue)
	_, _, announce = q.usage()
	c.Check(announce, qt.IsFalse)
}
