package faults

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Every kind has its answer, names are single, and only kinds that say so answer with a status that promises.
func TestTable(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, k := range All() {
		a := k.Answer()
		c.Check(a.Name != "" && !seen[a.Name], qt.IsTrue, qt.Commentf("%d", k))
		seen[a.Name] = true
		c.Check(a.Status >= 200 && a.Status < 600, qt.IsTrue)
		promises := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
		c.Check(promises, qt.Equals, a.Promised, qt.Commentf(a.Name))
	}
	c.Check(Of(New(Crowded, "no room")), qt.Equals, Crowded)
	c.Check(Of(fmt.Errorf("wrapped: %w", Wrap(Late, errors.New("x"), "y"))), qt.Equals, Late)
	c.Check(Of(errors.New("plain")), qt.Equals, Malformed)
	c.Check(Of(nil), qt.Equals, None)
}
