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

// A proxy shuts down while clients that still have its address send requests. Hosts need 1.9 s for a request. What is sent within 3
// s is served, or may be cut where the grace doesn't suffice; what is sent later is never cut: the proxy rejects it at once, with
// Retry-After, and what it rejects hasn't run.
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
				if err != nil { // not listened for any more is no cut
					c.Check(sent <= 3*time.Second || elapsed < 200*time.Millisecond, qt.IsTrue, qt.Commentf("sent after %v, cut after %v: %v", sent, elapsed, err))
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch resp.StatusCode {
				case 200:
					served++
					c.Check(sent <= 3*time.Second, qt.IsTrue)
				case 503:
					if sent < 2600*time.Millisecond { // as it takes its last ones, for want of room
						break
					}
					refused++
					c.Check(elapsed < 200*time.Millisecond, qt.IsTrue, qt.Commentf("sent after %v, refused after %v", sent, elapsed))
					c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
					c.Check(resp.Header.Get("Connection") == "close" || resp.Close, qt.IsTrue)
				default:
					c.Errorf("sent after %v: %d", sent, resp.StatusCode)
				}
			})
			time.Sleep(300 * time.Millisecond)
		}
		all.Wait()
		c.Check(served >= 6, qt.IsTrue, qt.Commentf("%d served", served))
		c.Check(refused >= 5, qt.IsTrue, qt.Commentf("%d refused", refused))
	})
}
