package apierror

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
		a := k.Response()
		c.Check(a.Name != "" && !seen[a.Name], qt.IsTrue, qt.Commentf("%d", k))
		seen[a.Name] = true
		c.Check(a.Status >= 200 && a.Status < 600, qt.IsTrue)
		promises := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
		c.Check(promises, qt.Equals, a.NotExecuted, qt.Commentf(a.Name))
	}
	c.Check(KindOf(New(Overloaded, "no room")), qt.Equals, Overloaded)
	c.Check(KindOf(fmt.Errorf("wrapped: %w", Wrap(UpstreamTimeout, errors.New("x"), "y"))), qt.Equals, UpstreamTimeout)
	c.Check(KindOf(errors.New("plain")), qt.Equals, Malformed)
	c.Check(KindOf(nil), qt.Equals, None)
}
