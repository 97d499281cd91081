package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A proxy whose own zone's control process fails subscribes to another one. It must probe the nearer process without interrupting its
// subscription, so that changes still reach it without delay, and move back once the nearer process has recovered.
func TestNearerControlIsTriedWhileConnected(t *testing.T) {
	for name, fault := range map[string]func(cluster *Cluster, node *ControlNode, on bool){
		"partitioned from the others": func(cluster *Cluster, node *ControlNode, on bool) { cluster.setPartition(node, on) },
		"receives nothing from the others": func(cluster *Cluster, node *ControlNode, on bool) {
			for _, x := range cluster.Controls {
				if x != node {
					cluster.Network.SetOneWayPartition(x.Settings.IP, node.Settings.IP, on)
				}
			}
		},
		"without power": func(cluster *Cluster, node *ControlNode, on bool) {
			if cluster.Network.SetPoweredOff(node.Settings.IP, on); on {
				node.Kill()
				node.Disk.PowerLoss(true)
			} else {
				node.mustStart()
			}
		},
		"frozen": func(cluster *Cluster, node *ControlNode, on bool) {
			cluster.Network.Freeze(node.Settings.IP, on)
			node.Disk.setHanging(on)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cluster := startCluster(c, Layout{Zones: 6, ProxiesPerZone: 2, Services: []string{"desk"}, Seed: 9})
				node := cluster.Controls[5]
				var px *ProxyNode
				for _, x := range cluster.Proxies {
					if x.Settings.Zone == node.Settings.Zone && x.Settings.IP != node.Settings.IP {
						px = x
					}
				}
				waitUntil(c, 5*time.Second, "proxy subscribes to its own zone's control process", func() bool { return cluster.connectedControl(px.Settings.IP, node.Settings.IP) })
				fault(cluster, node, true)
				time.Sleep(4500 * time.Millisecond) // until the proxy has detected the fault and moved
				start, worst := time.Now(), time.Duration(0)
				for n := 0; time.Since(start) < 15*time.Second; n++ {
					changed := safeRoute
					changed.Version = fmt.Sprintf("%08x", n+10)
					configure(c, cluster, cluster.ChangeBody(false, changed), 0)
					acknowledged := time.Now()
					for px.Running.RouteVersions()[safeRoute.Name] != uint64(n+10) && time.Since(acknowledged) < 5*time.Second {
						time.Sleep(5 * time.Millisecond)
					}
					worst = max(worst, time.Since(acknowledged))
					time.Sleep(130 * time.Millisecond)
				}
				c.Check(worst < 200*time.Millisecond, qt.IsTrue, qt.Commentf("change in force %v after its acknowledgement, want less than 200ms", worst))
				fault(cluster, node, false)
				back := waitUntil(c, 8*time.Second, "proxy moves back after the fault", func() bool {
					return cluster.connectedControl(px.Settings.IP, node.Settings.IP) && !cluster.connectedControl(px.Settings.IP, cluster.Controls[4].Settings.IP) && node.Status() == "in touch"
				})
				c.Logf("%s: changes in force after at most %v, proxy moved back after %v", name, worst, back)
			})
		})
	}
}
