package apierror

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Every kind needs a response with a unique name, and NotExecuted must be set exactly for the statuses that guarantee it.
func TestResponses(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, k := range All() {
		response := k.Response()
		c.Check(response.Name != "" && !seen[response.Name], qt.IsTrue, qt.Commentf("%d", k))
		seen[response.Name] = true
		c.Check(response.Status >= 200 && response.Status < 600, qt.IsTrue)
		promises := response.Status == 429 || response.Status == 503 || response.Status == 408 || response.Status == 421
		c.Check(promises, qt.Equals, response.NotExecuted, qt.Commentf(response.Name))
	}
	c.Check(KindOf(New(Overloaded, "no room")), qt.Equals, Overloaded)
	c.Check(KindOf(fmt.Errorf("wrapped: %w", Wrap(UpstreamTimeout, errors.New("x"), "y"))), qt.Equals, UpstreamTimeout)
	c.Check(KindOf(errors.New("plain")), qt.Equals, Malformed)
	c.Check(KindOf(nil), qt.Equals, None)
}
