package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Without a request, the traffic between regions grows with the voters and with gossip, one small datagram a process every four
// seconds, and not with routers times hosts; a host's drain crosses once for each control process, whatever the number of routers.
func TestIdleCost(t *testing.T) {
	type cost struct{ calm, drain int64 }
	costs := map[int]cost{}
	for _, routers := range []int{2, 15} { // in each of six zones
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			layout := smallLayout
			layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 6, routers, 4
			cluster := New(layout)
			c.Assert(cluster.Start(), qt.IsNil)
			defer cluster.Stop()
			time.Sleep(2 * time.Second)
			status, _, _ := cluster.Call("configuration.modify", "", cluster.ChangeBody(true, safeRoute, unsafeRoute), 5*time.Second, 0)
			c.Assert(status, qt.Equals, 200)
			time.Sleep(20 * time.Second)
			before, _ := cluster.Network.crossTraffic()
			time.Sleep(20 * time.Second)
			idle, _ := cluster.Network.crossTraffic()
			for _, host := range cluster.Hosts[:4] {
				host.Drain()
			}
			time.Sleep(20 * time.Second)
			drain, _ := cluster.Network.crossTraffic()
			costs[routers] = cost{(idle - before) / 20, (drain - 2*idle + before) / 4}
			for _, px := range cluster.Proxies {
				c.Check(px.Running.UsableHosts("desk"), qt.Equals, 20)
			}
		})
	}
	t.Logf("bytes a second between regions, and for a host's drain, by routers a zone: %+v", costs)
	c := qt.New(t)
	c.Check(costs[15].calm-costs[2].calm < 78*110, qt.IsTrue) // a shuffle of each router more
	c.Check(costs[15].drain < 6000, qt.IsTrue)                // the calm's own chance is in it; a copy for each router would be 9,000
}

// crossTraffic returns how many bytes have gone between regions, and how many within zones.
func (n *Network) crossTraffic() (regions, zones int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, sent := range n.SentBytes {
		switch from, to := zoneIndexOf(link.from), zoneIndexOf(link.to); {
		case from == to:
			zones += sent
		case from/2 != to/2:
			regions += sent
		}
	}
	return regions, zones
}
