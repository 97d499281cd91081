package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The other control processes are sent once that no usage is left, and then nothing more.
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
