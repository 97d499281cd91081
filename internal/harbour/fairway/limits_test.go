package fairway

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A question about the router itself is answered by it, and the framing of what comes behind is looked at as closely as ever.
func TestAsteriskOptions(t *testing.T) {
	h := stand(t, func(_ int, r *http.Request, body string) (string, bool) { return good(r, body), true })
	_, at := routed(t, h)
	got := raw(t, at, "OPTIONS * HTTP/1.1\r\nHost: desk.example\r\n\r\n"+
		"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", true)
	qt.Check(t, status(got), qt.Equals, "200", qt.Commentf("%q", got))
	qt.Check(t, strings.Contains(got, "HTTP/1.1 400"), qt.IsTrue, qt.Commentf("%q", got))
	qt.Check(t, h.arrivals(), qt.HasLen, 0)
}
