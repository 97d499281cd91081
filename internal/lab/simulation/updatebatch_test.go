package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
)

// consensusMessages returns the number of messages that the consensus nodes of all control processes have sent.
func (cl *Cluster) consensusMessages() (sent int64) {
	for _, node := range cl.Controls {
		sent += node.running.ConsensusMessages()
	}
	return sent
}

// Updates in quick succession, such as a hundred hosts draining per second, must reach each proxy in batches, and their records must be
// decided in batches: one by one, each takes a message to the proposer, its result, and five each of Accept, Accepted and Commit. A
// single change must be sent without delay.
func TestUpdatesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone, layout.Rate = 6, 4, 10, 1
		cluster := startCluster(c, layout)
		time.Sleep(4 * time.Second)
		sent, agreed := stream.FramesWritten.Load(), cluster.consensusMessages()
		for _, host := range cluster.Hosts[:50] {
			host.Drain()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		agreed = cluster.consensusMessages() - agreed
		frames := stream.FramesWritten.Load() - sent - agreed
		c.Logf("%d frames and %d consensus messages for 50 hosts, 24 proxies and 6 control processes", frames, agreed)
		c.Check(agreed < 50*(2+3*5)/2, qt.IsTrue, qt.Commentf("%d", agreed))
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
