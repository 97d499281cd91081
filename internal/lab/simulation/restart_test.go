package simulation

import (
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
	"portflow/internal/control/server"
)

// startSixZones starts a cluster of six zones with twelve proxies and twelve hosts, and gives it 4 s to settle.
func startSixZones(c *qt.C) *Cluster {
	layout := smallLayout
	layout.Zones, layout.Rate = 6, 2
	cluster := startCluster(c, layout)
	time.Sleep(4 * time.Second)
	return cluster
}

// readyProxies returns the names of the proxies that a control process reports as ready.
func (cl *Cluster) readyProxies(at int) (names []string, err error) {
	var status server.ClusterStatus
	_, raw := cl.callOneFor(at, "harbour.read", "", nil)
	if err := json.Unmarshal(raw, &status); err != nil {
		return nil, err
	}
	for _, proxy := range status.Proxies {
		if proxy.Ready {
			names = append(names, proxy.Name)
		}
	}
	return names, nil
}

// A host must not stay usable if it loses power while the control process that receives its heartbeats restarts: the restarted
// process never had a heartbeat of it, and the others don't track hosts of a reachable process. The other hosts must stay usable.
func TestHostLostWhileControlRestarts(t *testing.T) {
	for name, down := range map[string]time.Duration{"1 s": time.Second, "300 ms": 300 * time.Millisecond, "longer than the heartbeat timeout": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cluster := startSixZones(c)
				for _, px := range cluster.Proxies {
					c.Assert(px.Running.UsableHosts("desk"), qt.Equals, 12)
				}
				node, lost := cluster.Controls[5], (*Host)(nil)
				for _, host := range cluster.Hosts {
					if host.Zone == node.Settings.Zone {
						lost = host
					}
				}
				node.Kill()
				cluster.Network.SetPoweredOff(lost.IP(), true)
				lost.Crash()
				time.Sleep(down)
				node.mustStart()
				time.Sleep(9 * time.Second)
				for range 8 {
					for _, px := range cluster.Proxies {
						c.Check(px.Running.UsableHosts("desk"), qt.Equals, 11, qt.Commentf(px.Settings.Name))
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// A proxy that loses power while its control process restarts must be removed from the proxy list at every control process; the
// other proxies must stay.
func TestProxyLostWhileControlRestarts(t *testing.T) {
	for name, down := range map[string]time.Duration{"300 ms": 300 * time.Millisecond, "1 s": time.Second, "4 s": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cluster := startSixZones(c)
				proxies := func(at int) []string {
					names, err := cluster.readyProxies(at)
					c.Assert(err, qt.IsNil)
					return names
				}
				for at := range cluster.Controls {
					c.Assert(proxies(at), qt.HasLen, 12)
				}
				node, lost := cluster.Controls[5], (*ProxyNode)(nil)
				for _, px := range cluster.Proxies {
					if px.Settings.Zone == node.Settings.Zone && px.Settings.IP != node.Settings.IP {
						lost = px
					}
				}
				node.Kill()
				cluster.Network.SetPoweredOff(lost.Settings.IP, true)
				lost.Kill()
				time.Sleep(down)
				node.mustStart()
				time.Sleep(5 * time.Second)
				for range 6 {
					for at := range cluster.Controls {
						names := proxies(at)
						c.Check(names, qt.HasLen, 11, qt.Commentf("control process %d", at))
						c.Check(slices.Contains(names, lost.Settings.Name), qt.IsFalse, qt.Commentf("control process %d: %v", at, names))
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// A control process and the others remove each other's proxies if it is partitioned for longer than proxies may be without a
// subscription. After the partition all must list all proxies again; each process resends its own for that, but not to a process that
// starts, which receives the complete list anyway.
func TestProxyListAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := startSixZones(c)
		allKnown := func() bool {
			for at := range cluster.Controls {
				names, err := cluster.readyProxies(at)
				if err != nil || len(names) != 12 {
					return false
				}
			}
			return true
		}
		c.Assert(allKnown(), qt.IsTrue)
		cluster.setPartition(cluster.Controls[5], true)
		time.Sleep(7 * time.Second)
		c.Check(allKnown(), qt.IsFalse)
		cluster.setPartition(cluster.Controls[5], false)
		waitUntil(c, 5*time.Second, "every control process lists all proxies", allKnown)
		time.Sleep(4 * time.Second) // proxies move back to their own zone's control process
		c.Check(allKnown(), qt.IsTrue)

		sent := stream.FramesWritten.Load()
		time.Sleep(2 * time.Second)
		idle := stream.FramesWritten.Load() - sent
		sent = stream.FramesWritten.Load()
		cluster.Controls[2].Kill()
		time.Sleep(500 * time.Millisecond)
		cluster.Controls[2].mustStart()
		waitUntil(c, 5*time.Second, "every control process lists all proxies", allKnown)
		time.Sleep(3 * time.Second)
		c.Check(allKnown(), qt.IsTrue)
		c.Logf("%d frames for a restart, %d in two idle seconds", stream.FramesWritten.Load()-sent, idle)
		c.Check(stream.FramesWritten.Load()-sent < 560, qt.IsTrue, qt.Commentf("%d", stream.FramesWritten.Load()-sent))
	})
}
