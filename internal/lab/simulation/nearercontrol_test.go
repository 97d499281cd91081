package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The control process of a proxy's zone is of no use for 20 s: partitioned from the others, without power, frozen. The proxy
// subscribes to another one. It probes now and then whether the nearer one is of use again, and keeps its subscription meanwhile: a
// change that is confirmed then is in force there as soon as at other times. Once the nearer one is of use, it moves.
func TestNearerControlIsTriedWhileConnected(t *testing.T) {
	for name, fault := range map[string]func(cluster *Cluster, node *ControlNode, on bool){
		"cut off from the others": func(cluster *Cluster, node *ControlNode, on bool) { cluster.setPartition(node, on) },
		"heard, and hears nobody": func(cluster *Cluster, node *ControlNode, on bool) {
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
				waitUntil(c, 5*time.Second, "hangs on its zone's", func() bool { return cluster.connectedControl(px.Settings.IP, node.Settings.IP) })
				fault(cluster, node, true)
				time.Sleep(4500 * time.Millisecond) // until it knows, and has left
				start, worst := time.Now(), time.Duration(0)
				for n := 0; time.Since(start) < 15*time.Second; n++ {
					changed := safeRoute
					changed.Version = fmt.Sprintf("%08x", n+10)
					configure(c, cluster, cluster.ChangeBody(false, changed), 0)
					at := time.Now()
					for px.Running.RouteVersions()[safeRoute.Name] != uint64(n+10) && time.Since(at) < 5*time.Second {
						time.Sleep(5 * time.Millisecond)
					}
					worst = max(worst, time.Since(at))
					time.Sleep(130 * time.Millisecond)
				}
				c.Check(worst < 200*time.Millisecond, qt.IsTrue, qt.Commentf("in force %v after it was confirmed", worst))
				fault(cluster, node, false)
				back := waitUntil(c, 8*time.Second, "moves once it is of use", func() bool {
					return cluster.connectedControl(px.Settings.IP, node.Settings.IP) && !cluster.connectedControl(px.Settings.IP, cluster.Controls[4].Settings.IP) && node.Status() == "in touch"
				})
				c.Logf("%s: in force after %v at the most, back after %v", name, worst, back)
			})
		})
	}
}
