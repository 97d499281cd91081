package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// departureLatency bounds the time in which a departure is answered without faults: round trips between regions to open the connection, of
// the call, to the proposer, and of its vote, and the interval between two batches of updates. A host waits for a second.
const departureLatency = 4*2*crossRegionDelay + 40*time.Millisecond

// A host may exit once its drain or leave is acknowledged, so the acknowledgement must wait until a majority of the control processes
// knows that it leaves. A process that hasn't detected yet that it is partitioned answers 503, and the host goes on to another one.
func TestShutdownOnceMajorityKnows(t *testing.T) {
	for _, call := range []string{"instances.heartbeat", "instances.leave"} {
		t.Run(call, func(t *testing.T) {
			layout := smallLayout
			layout.Zones, layout.Rate = 6, 2
			playScenario(t, layout, 22*time.Second, func(c *qt.C, cluster *Cluster) {
				zoneHosts := func(z int) (all []*Host) {
					for _, host := range cluster.Hosts {
						if host.Zone == zoneName(z) {
							all = append(all, host)
						}
					}
					return all
				}
				first := zoneHosts(4)[0]
				first.Drain()
				status, elapsed := cluster.startDraining(4, first, 1000, call)
				c.Check(status, qt.Equals, 200)
				c.Check(elapsed < departureLatency, qt.IsTrue, qt.Commentf("%v without a partition", elapsed))
				status, elapsed = cluster.startDraining(4, first, 1001, call)
				c.Check(status, qt.Equals, 200)
				c.Check(elapsed < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v when repeated", elapsed)) // known already: only the connection and the call

				host := zoneHosts(5)[0]
				cluster.setPartition(cluster.Controls[5], true)
				time.Sleep(100 * time.Millisecond)
				c.Check(cluster.Controls[5].Status(), qt.Equals, "in touch") // it hasn't detected the partition yet
				for n := range 3 {
					status, elapsed := cluster.startDraining(5, host, 1000+n, call)
					c.Check(status, qt.Equals, 503, qt.Commentf("attempt %d", n))
					c.Check(elapsed < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v while it is partitioned", elapsed))
				}
				status, _ = cluster.startDraining(0, host, 1003, call)
				c.Check(status, qt.Equals, 200)
				cluster.setPartition(cluster.Controls[5], false)
				time.Sleep(4 * time.Second)
				status, _ = cluster.startDraining(5, host, 1004, call)
				c.Check(status, qt.Equals, 200)
			}, 0.96)
		})
	}
}

// Hosts announce their drain by heartbeats to a control process that was partitioned just before. No proxy of another zone may send a
// host anything later than drain-limit-s after its drain was acknowledged.
func TestDrainDuringPartition(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			layout := smallLayout
			layout.Zones, layout.Rate, layout.Seed = 6, 2, seed+1
			playScenario(t, layout, 20*time.Second, func(c *qt.C, cluster *Cluster) {
				cluster.setPartition(cluster.Controls[5], true)
				for _, host := range cluster.Hosts {
					if host.Zone == zoneName(5) {
						host.Drain()
					}
				}
				cluster.StartHost("desk", 5, "v1", 0)
				cluster.StartHost("desk", 5, "v1", 0)
				time.Sleep(10 * time.Second)
				cluster.setPartition(cluster.Controls[5], false)
			}, 0.96)
		})
	}
}

// Two control processes are partitioned together from the other four. The first that the host calls informs only the second and
// answers 503. The second, already informed, must answer 503 too, also to a repeated call, because proxies subscribed to the other four
// still send requests to the host.
func TestShutdownWithTwoPartitioned(t *testing.T) {
	for _, call := range []string{"instances.heartbeat", "instances.leave"} {
		t.Run(call, func(t *testing.T) {
			layout := smallLayout
			layout.Zones, layout.Rate = 6, 2
			playScenario(t, layout, 14*time.Second, func(c *qt.C, cluster *Cluster) {
				host := cluster.Hosts[len(cluster.Hosts)-1]
				partition := func(on bool) {
					for _, node := range cluster.Controls[:4] {
						cluster.Network.SetPartition(cluster.Controls[4].Settings.IP, node.Settings.IP, on)
						cluster.Network.SetPartition(cluster.Controls[5].Settings.IP, node.Settings.IP, on)
					}
				}
				partition(true)
				time.Sleep(50 * time.Millisecond)
				for _, at := range []int{5, 4, 5} {
					c.Check(cluster.Controls[at].Status(), qt.Equals, "in touch") // it hasn't detected the partition yet
					status, elapsed := cluster.startDraining(at, host, 1000, call)
					c.Check(status, qt.Equals, 503, qt.Commentf("process %d", at))
					c.Check(elapsed < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
				}
				status, _ := cluster.startDraining(0, host, 1000, call)
				c.Check(status, qt.Equals, 200)
				partition(false)
				time.Sleep(4 * time.Second)
				for _, at := range []int{4, 5} {
					status, _ = cluster.startDraining(at, host, 1000, call)
					c.Check(status, qt.Equals, 200, qt.Commentf("process %d", at))
				}
				status, elapsed := cluster.startDraining(5, host, 1000, call)
				c.Check(status, qt.Equals, 200)
				c.Check(elapsed < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v when repeated", elapsed)) // known here already: only the connection and the call
			}, 0.9)
		})
	}
}

// A host is redirected to the control process of its zone only while that accepts heartbeats: not while it shuts down, and not after a
// restart until it has a quorum. Otherwise the host would move between processes, and each would announce it to all others again.
func TestHeartbeatRedirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.Rate = 5, 2 // with an odd number of members, none is removed when it shuts down
		cluster := startCluster(c, layout)
		time.Sleep(4 * time.Second)
		node, sequence := cluster.Controls[4], 1000
		redirectAddress := func() string {
			sequence++
			status, raw := cluster.callOneFor(0, "instances.heartbeat", "i-more", fmt.Appendf(nil, `{"address":"10.5.64.250:9000","information":{"service":"desk","version":"v1",`+
				`"zone-name":%q,"slot-count":3},"current-status":{"server-state":"ready","sequence":%d,"cold-remaining-s":0}}`, node.Settings.Zone, sequence))
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			var v map[string]string
			c.Assert(json.Unmarshal(raw, &v), qt.IsNil)
			return v["heartbeat-address"]
		}
		c.Check(redirectAddress(), qt.Equals, node.Settings.ListenAddresses["control"])
		done := make(chan bool)
		go func() { node.running.Leave(); close(done) }()
		time.Sleep(100 * time.Millisecond) // the others know that it is shutting down
		for ended := false; !ended; {
			c.Check(redirectAddress(), qt.Equals, "")
			select {
			case <-done:
				ended = true
			case <-time.After(50 * time.Millisecond):
			}
		}
		node.Kill()
		time.Sleep(300 * time.Millisecond)
		node.mustStart()
		for node.Status() != "in touch" {
			if at := redirectAddress(); node.Status() != "in touch" { // the status may change during the call
				c.Check(at, qt.Equals, "")
			}
			time.Sleep(20 * time.Millisecond)
		}
		waitUntil(c, 3*time.Second, "redirected there again", func() bool { return redirectAddress() == node.Settings.ListenAddresses["control"] })
	})
}
