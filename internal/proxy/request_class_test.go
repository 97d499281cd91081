package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

// timedRoute returns a route. timeout and target are in seconds.
func timedRoute(idempotent bool, timeout, target int64, priority int) *config.Route {
	return &config.Route{Idempotent: idempotent, Timeout: timeout * second, LatencyTarget: target * second, Priority: priority}
}

// fillClasses asks for the class of many routes with different timeouts. It returns the first route of each class, by class number.
func fillClasses(s *service, idempotent bool, count int) map[int]*config.Route {
	routes := map[int]*config.Route{}
	for i := range count {
		r := timedRoute(idempotent, int64(1000+i), int64(1+i%7), 1+i%2)
		if n := s.classOf(r); routes[n] == nil {
			routes[n] = r
		}
	}
	return routes
}

// Once a service has the maximum number of classes, a route with new properties must share the nearest class with its idempotence, always the
// same one.
func TestNearestClass(t *testing.T) {
	p, _ := startProxy(t)
	s := p.services["desk"]
	c := qt.New(t)
	first := []*config.Route{
		timedRoute(true, 5, 1, 1), timedRoute(true, 5, 4, 1), timedRoute(true, 9, 4, 1), timedRoute(true, 5, 4, 3),
		timedRoute(false, 5, 1, 1), timedRoute(false, 5, 40, 1), timedRoute(false, 5, 2, 5),
	}
	numbers := map[*config.Route]int{}
	for _, r := range first {
		numbers[r] = s.classOf(r)
	}
	fillClasses(s, true, 2000)
	for name, x := range map[string]struct{ route, shares *config.Route }{
		"known":                            {timedRoute(false, 5, 1, 1), first[4]},
		"same target, nearest timeout":     {timedRoute(true, 8, 4, 1), first[2]},
		"lowest number on a tie":           {timedRoute(true, 7, 4, 1), first[1]},
		"priority before target":           {timedRoute(true, 5, 1, 3), first[3]},
		"non-idempotent, nearest target":   {timedRoute(false, 700, 38, 1), first[5]},
		"non-idempotent, nearest priority": {timedRoute(false, 5, 2, 9), first[6]},
	} {
		for range 3 {
			c.Check(s.classOf(x.route), qt.Equals, numbers[x.shares], qt.Commentf(name))
		}
	}
}

// If routes of one idempotence use up the classes, those of the other must still get a class, and must not share one with them.
func TestClassesByIdempotence(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		p, _ := startProxy(t)
		p.mu.Lock()
		s := p.startService("another")
		p.mu.Unlock()
		c := qt.New(t)
		own := fillClasses(s, idempotent, 600)
		other := fillClasses(s, !idempotent, 600)
		c.Check(len(other) > 0, qt.IsTrue)
		for n := range other {
			c.Check(own[n], qt.IsNil, qt.Commentf("class %d, filled by idempotent %v", n, idempotent))
			c.Check(n < 256, qt.IsTrue)
		}
		c.Check(len(own)+len(other) <= 256, qt.IsTrue)
	}
}

// A route that shares a class of a full table must still be retried only if it is idempotent, and must keep its own timeout.
func TestRoutesWithFullClassTable(t *testing.T) {
	for _, filledIdempotent := range []bool{true, false} { // whether the routes that fill the table first are idempotent
		for _, x := range []struct {
			kind             string
			unresponsive     bool // the host sends nothing; otherwise it closes the first connection without a response
			timeout          float64
			status, attempts int
		}{
			{"safe_method", false, 20, 200, 2},
			{"unsafe_method", false, 20, 502, 1},
			{"safe_method", true, 0.3, 504, 1},
			{"unsafe_method", true, 0.3, 504, 1},
		} {
			t.Run(fmt.Sprintf("filled by idempotent %v, %s, unresponsive %v", filledIdempotent, x.kind, x.unresponsive), func(t *testing.T) {
				c := qt.New(t)
				release := make(chan bool)
				h := startScriptedHost(t, func(n int, r *http.Request, _ string) (string, bool) {
					if x.unresponsive {
						<-release
					} else if n == 1 {
						return "", false
					}
					return goodAnswer(r, "x"), true
				})
				p, addr := startProxy(t, h)
				defer close(release)
				fillClasses(p.services["desk"], filledIdempotent, 600)
				fillClasses(p.services["desk"], !filledIdempotent, 600)
				p.mu.Lock()
				applyChange(t, p, setRoutes(nil, longRoute(x.kind, "desk", x.timeout, x.timeout, 2)))
				p.mu.Unlock()
				request, err := http.NewRequest("GET", "http://"+addr+"/long/x", nil)
				c.Assert(err, qt.IsNil)
				request.Host = "desk.example"
				request.Header.Set("Attempt-Id", "a")
				began := time.Now()
				answer, err := http.DefaultTransport.RoundTrip(request)
				c.Assert(err, qt.IsNil)
				answer.Body.Close()
				c.Check(answer.StatusCode, qt.Equals, x.status)
				c.Check(h.requests(), qt.HasLen, x.attempts)
				if x.unresponsive {
					took := time.Since(began)
					c.Check(took >= 200*time.Millisecond && took < 5*time.Second, qt.IsTrue, qt.Commentf("%v", took))
				}
			})
		}
	}
}
