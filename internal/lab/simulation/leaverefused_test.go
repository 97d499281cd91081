package simulation

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A draining proxy must not accept a request that it cannot finish in time. Clients keep sending requests that take a host 1.9 s.
// Requests of the first 3 s are served, rejected or cut off at the end of the grace period; later ones are rejected at once, with
// Retry-After, and never cut off.
func TestDrainRejectsRequestsItCannotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone, layout.Concurrency, layout.ServiceTime = 3, 1, 16, 8, 1900*time.Millisecond
		cluster := startCluster(c, layout)
		time.Sleep(4 * time.Second)
		px := cluster.Proxies[0]
		client := cluster.httpClient(cluster.Network.Process("10.200.0.41"), 10*time.Second)
		defer client.CloseIdleConnections()
		var mu sync.Mutex
		var all sync.WaitGroup
		served, refused := 0, 0
		start := time.Now()
		all.Go(func() { px.Running.Drain(); px.Kill() })
		for n := range 18 { // until 5.4 s
			all.Go(func() {
				sent := time.Since(start)
				req, _ := http.NewRequest("GET", "http://"+px.Settings.ListenAddresses["front"]+safeRoute.Prefix+"x", nil)
				req.Host = "desk.example"
				req.Header.Set("Attempt-Id", fmt.Sprint("leaving-", n))
				req.Header.Set("Time-Remaining", "9000")
				resp, err := client.Do(req)
				elapsed := time.Since(start) - sent
				mu.Lock()
				defer mu.Unlock()
				if err != nil { // a refused connection is not a cut-off request
					c.Check(sent <= 3*time.Second || elapsed < 200*time.Millisecond, qt.IsTrue, qt.Commentf("request sent at %v failed after %v: %v", sent, elapsed, err))
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch resp.StatusCode {
				case 200:
					served++
					c.Check(sent <= 3*time.Second, qt.IsTrue)
				case 503:
					if sent < 2600*time.Millisecond { // rejected for lack of capacity, not because of the shutdown
						break
					}
					refused++
					c.Check(elapsed < 200*time.Millisecond, qt.IsTrue, qt.Commentf("request sent at %v rejected after %v", sent, elapsed))
					c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
					c.Check(resp.Header.Get("Connection") == "close" || resp.Close, qt.IsTrue)
				default:
					c.Errorf("request sent at %v: got status %d, want 200 or 503", sent, resp.StatusCode)
				}
			})
			time.Sleep(300 * time.Millisecond)
		}
		all.Wait()
		c.Check(served >= 6, qt.IsTrue, qt.Commentf("got %d requests served, want at least 6", served))
		c.Check(refused >= 5, qt.IsTrue, qt.Commentf("got %d requests rejected, want at least 5", refused))
	})
}
