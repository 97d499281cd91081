package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A host that leaves is answered once a majority of the control processes has the leave: it ends on that answer. A process that was
// partitioned a moment ago and doesn't know it answers nothing; the host goes on to another process.
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
				c.Check(elapsed < 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v in a calm", elapsed)) // a round trip between regions
				status, elapsed = cluster.startDraining(4, first, 1001, call)
				c.Check(status, qt.Equals, 200)
				c.Check(elapsed < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v once more", elapsed)) // it is known: the connection and the call alone

				host := zoneHosts(5)[0]
				cluster.setPartition(cluster.Controls[5], true)
				time.Sleep(100 * time.Millisecond)
				c.Check(cluster.Controls[5].Status(), qt.Equals, "in touch") // as far as it knows
				for n := range 3 {
					status, elapsed := cluster.startDraining(5, host, 1000+n, call)
					c.Check(status, qt.Equals, 503, qt.Commentf("try %d", n))
					c.Check(elapsed < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v while it is cut off", elapsed))
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

// The same by the host's own heartbeats: it reports that it drains to the process of its zone right after that was partitioned,
// ends when its time is over, and no proxy of another zone may have sent it anything later than drain-limit-s after its answer.
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

// Two control processes are partitioned together. The host's call reaches one, which can't inform a majority and answers 503, but
// informs the other, to which the host goes next. That one answers 503 too, whatever it knows from the first: proxies that
// subscribe to the other four don't know yet. It does so for a repeated heartbeat as well.
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
					c.Check(cluster.Controls[at].Status(), qt.Equals, "in touch") // as far as it knows
					status, elapsed := cluster.startDraining(at, host, 1000, call)
					c.Check(status, qt.Equals, 503, qt.Commentf("at %d", at))
					c.Check(elapsed < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
				}
				status, _ := cluster.startDraining(0, host, 1000, call)
				c.Check(status, qt.Equals, 200)
				partition(false)
				time.Sleep(4 * time.Second)
				for _, at := range []int{4, 5} {
					status, _ = cluster.startDraining(at, host, 1000, call)
					c.Check(status, qt.Equals, 200, qt.Commentf("at %d", at))
				}
				status, elapsed := cluster.startDraining(5, host, 1000, call)
				c.Check(status, qt.Equals, 200)
				c.Check(elapsed < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v once more", elapsed)) // it is known here: the connection and the call alone
			}, 0.9)
		})
	}
}

// A host is redirected to the control process of its zone only while that accepts heartbeats: not while it shuts down, which lasts
// a while, nor once it has started and has no quorum yet; then again. Else each process that the host goes to would report it anew
// to all.
func TestHeartbeatsGoWhereTheyAreAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.Rate = 5, 2 // of an odd core nobody is voted out for ending
		cluster := startCluster(c, layout)
		time.Sleep(4 * time.Second)
		node, sequence := cluster.Controls[4], 1000
		to := func() string {
			sequence++
			status, raw := cluster.callOneFor(0, "instances.heartbeat", "i-more", fmt.Appendf(nil, `{"address":"10.5.64.250:9000","information":{"service":"desk","version":"v1",`+
				`"zone-name":%q,"slot-count":3},"current-status":{"server-state":"ready","sequence":%d,"cold-remaining-s":0}}`, node.Settings.Zone, sequence))
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			var v map[string]string
			c.Assert(json.Unmarshal(raw, &v), qt.IsNil)
			return v["heartbeat-address"]
		}
		c.Check(to(), qt.Equals, node.Settings.ListenAddresses["control"])
		done := make(chan bool)
		go func() { node.running.Leave(); close(done) }()
		time.Sleep(100 * time.Millisecond) // the others have heard that it ends
		for ended := false; !ended; {
			c.Check(to(), qt.Equals, "")
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
			if at := to(); node.Status() != "in touch" { // the call takes a while
				c.Check(at, qt.Equals, "")
			}
			time.Sleep(20 * time.Millisecond)
		}
		waitUntil(c, 3*time.Second, "sent there again", func() bool { return to() == node.Settings.ListenAddresses["control"] })
	})
}
