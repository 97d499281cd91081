package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
)

// Updates in quick succession, such as a hundred hosts draining per second, must reach each proxy in batches. A single change must be
// sent without delay.
func TestUpdatesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone, layout.Rate = 6, 4, 10, 1
		cluster := startCluster(c, layout)
		time.Sleep(4 * time.Second)
		sent := stream.FramesWritten.Load()
		for _, host := range cluster.Hosts[:50] {
			host.Drain()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		frames := stream.FramesWritten.Load() - sent
		c.Logf("%d frames for 50 hosts, 24 proxies and 6 control processes", frames)
		c.Check(frames < 490, qt.IsTrue, qt.Commentf("%d", frames))
		for _, px := range cluster.Proxies {
			c.Check(px.Running.UsableHosts("desk"), qt.Equals, 10)
		}

		changed := safeRoute
		changed.Version = "0000000a"
		configure(c, cluster, cluster.ChangeBody(false, changed), 0)
		time.Sleep(40 * time.Millisecond) // one-way delay between regions
		for _, px := range cluster.Proxies {
			c.Check(px.Running.RouteVersions()[safeRoute.Name], qt.Equals, uint64(10), qt.Commentf(px.Settings.Name))
		}
	})
}
