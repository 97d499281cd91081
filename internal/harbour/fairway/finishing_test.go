package fairway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request that a router reads while it ends is refused, so that its client knows that it has not run: the connection isn't just closed.
func TestReadWhileItEnds(t *testing.T) {
	c := qt.New(t)
	h := stand(t, func(_ int, r *http.Request, _ string) (string, bool) { return good(r, "x"), true })
	f, at := routed(t, h)
	qt.Check(t, status(ask(t, at, "GET", "/look/x", "before", "")), qt.Equals, "200")
	conn, err := net.Dial("tcp", at)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	until(t, func() bool { return f.unfinished.Load() == 1 }) // the server has the connection, and nothing has come on it
	f.leaving.Store(true)
	f.ending.Store(true)
	over := make(chan bool)
	go func() {
		f.finish(10 * time.Second)
		close(over)
	}()
	until(t, func() bool { // it takes no connections any more
		x, err := net.Dial("tcp", at)
		if err == nil {
			x.Close()
		}
		return err != nil
	})
	fmt.Fprint(conn, "GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: late\r\n\r\n")
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, 503)
	c.Check(resp.Close, qt.IsTrue)
	conn.Close()
	<-over
	c.Check(f.unfinished.Load(), qt.Equals, int64(0))
	c.Check(counted(h)["late"], qt.Equals, 0)
}
