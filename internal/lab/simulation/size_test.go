package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var atSize = flag.Bool("size", false, "play 3,200 routes, 33,000 shares, 4,200 hosts and 30 routers, and write the figures")

// TestAtSize runs a cluster of the size in docs/CAPACITY.md, but with only 30 proxies: it applies the configuration, restarts all
// proxies at once and sends changes. Times are virtual, of network and disks only; memory is that of all processes together.
func TestAtSize(t *testing.T) {
	if !*atSize {
		t.Skip("only with -size")
	}
	stopSampling := make(chan struct{})
	go func() { // samples the heap in real time
		var m runtime.MemStats
		peak := uint64(0)
		for n := 0; ; n++ {
			select {
			case <-stopSampling:
				t.Logf("| peak heap, all processes | %d MB |", peak>>20)
				return
			case <-time.After(time.Second):
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone, layout.Services = 3, 10, 7, nil
		for n := range 200 {
			layout.Services = append(layout.Services, fmt.Sprint("service-", n))
		}
		cluster := New(layout)
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		time.Sleep(5 * time.Second)
		t.Logf("| %d hosts, %d proxies started |", len(cluster.Hosts), len(cluster.Proxies))
		applyChange := func(label string, change []byte) {
			at := time.Now()
			status, by, reply := cluster.Call("configuration.modify", "", change, 60*time.Second, 0)
			t.Logf("| %s: %d bytes, status %d from process %d | %v |", label, len(change), status, by, time.Since(at))
			c.Assert(status, qt.Equals, 200, qt.Commentf("%.200s", reply))
		}
		var routes []Route
		for n := range 3200 {
			routes = append(routes, Route{Name: fmt.Sprintf("wide-%05d", n), Prefix: fmt.Sprintf("/wide/%d/", n), Service: layout.Services[n%200], Version: "00000001"})
		}
		applyChange("routes", cluster.ChangeBody(true, routes...))
		for batch := range 11 {
			rows := [][]any{}
			for n := batch * 3000; n < (batch+1)*3000; n++ {
				rows = append(rows, []any{fmt.Sprintf("share-%05d", n), layout.Services[n%200], "X-Agency", fmt.Sprintf("tenant-%05d", n), 1, 10, "00000001"})
			}
			raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"shares": map[string]any{"table-columns": []string{"name", "service",
				"caller-header", "caller", "per-s", "burst", "version"}, "table-rows": rows}}})
			applyChange(fmt.Sprint("quotas up to ", (batch+1)*3000), raw)
		}
		all := func(n int) bool {
			for _, px := range cluster.Proxies {
				if v := px.Running.RouteVersions(); !px.Running.Ready() || len(v) != 3200 || v["wide-00007"] != uint64(n) {
					return false
				}
			}
			return true
		}
		wait := func(label string, n int) {
			at := time.Now()
			for !all(n) && time.Since(at) < 60*time.Second {
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("| %s | at all proxies after %v, complete %v |", label, time.Since(at), all(n))
		}
		wait("the configuration", 1)
		for _, px := range cluster.Proxies {
			px.Kill()
		}
		time.Sleep(5 * time.Second)
		for _, px := range cluster.Proxies {
			c.Assert(px.Start(), qt.IsNil)
		}
		wait("30 proxies started at once", 1)
		for n := range 5 {
			routes[7].Version, routes[7].Prefix = fmt.Sprintf("%08x", n+2), fmt.Sprintf("/turn/%d/", n)
			applyChange("one route", cluster.ChangeBody(false, routes[7]))
			wait("it", n+2)
		}
	})
	close(stopSampling)
}
