package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Without requests, traffic between regions must grow only with the number of voting members and with gossip (one small datagram per
// process every four seconds), not with proxies times hosts. A host's drain crosses once per control process, not once per proxy.
func TestIdleCost(t *testing.T) {
	type cost struct{ calm, drain int64 }
	costs := map[int]cost{}
	for _, proxies := range []int{2, 15} { // per zone, in six zones
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			layout := smallLayout
			layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 6, proxies, 4
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
			costs[proxies] = cost{(idle - before) / 20, (drain - 2*idle + before) / 4}
			for _, px := range cluster.Proxies {
				c.Check(px.Running.UsableHosts("desk"), qt.Equals, 20)
			}
		})
	}
	t.Logf("bytes between regions, per second when idle and per drain of a host, by proxies per zone: %+v", costs)
	c := qt.New(t)
	c.Check(costs[15].calm-costs[2].calm < 78*110, qt.IsTrue) // the gossip of 78 more proxies
	c.Check(costs[15].drain < 6000, qt.IsTrue)                // includes variations of the idle traffic; a copy per proxy would take 9,000
}

// crossTraffic returns the number of bytes sent between regions and within zones so far.
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
