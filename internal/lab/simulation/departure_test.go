package simulation

import (
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/client"
)

// lateHeartbeat is a heartbeat that a host sent before its departure was acknowledged, and that is delivered afterwards.
type lateHeartbeat struct {
	host *Host
	body []byte
}

// depart stops a host's heartbeats and announces its departure to a control process, which must acknowledge it. It returns a heartbeat
// that the host sent before.
func (cl *Cluster) depart(c *qt.C, at int, host *Host, call string) lateHeartbeat {
	host.cancel()
	time.Sleep(200 * time.Millisecond)
	late := lateHeartbeat{host: host, body: host.heartbeat()}
	host.mu.Lock()
	host.sequence++
	sequence := host.sequence
	host.mu.Unlock()
	status, elapsed := cl.startDraining(at, host, sequence, call)
	c.Assert(status, qt.Equals, 200)
	c.Check(elapsed < time.Second, qt.IsTrue, qt.Commentf("acknowledged after %v", elapsed))
	return late
}

// checkNotUsable delivers a late heartbeat to a control process and checks that no proxy uses the departed host. remaining is the number of
// hosts that haven't departed.
func (cl *Cluster) checkNotUsable(c *qt.C, at int, late lateHeartbeat, remaining int) {
	waitUntil(c, 12*time.Second, "the remaining hosts are usable again", func() bool { return cl.mostUsableHosts("desk") >= remaining })
	status, _ := cl.callOneFor(at, "instances.heartbeat", late.host.ID, late.body)
	c.Check(status, qt.Equals, 200)
	for range 40 { // 4 s, longer than the heartbeat timeout
		c.Assert(cl.mostUsableHosts("desk"), qt.Equals, remaining)
		time.Sleep(100 * time.Millisecond)
	}
}

// mostUsableHosts returns the largest number of hosts of a service that any proxy uses.
func (cl *Cluster) mostUsableHosts(service string) (most int) {
	for _, px := range cl.Proxies {
		most = max(most, px.Running.UsableHosts(service))
	}
	return most
}

// restartEach shuts down and starts the control processes one after the other, as a release does.
func (cl *Cluster) restartEach() {
	for _, node := range cl.Controls {
		node.Shutdown()
		startAfter(300*time.Millisecond, node)
		time.Sleep(4 * time.Second)
	}
}

// departureDowntime is the time after which the platform starts a process again.
const departureDowntime = 500 * time.Millisecond

// startAfter starts control processes that are down, after a time.
func startAfter(down time.Duration, nodes ...*ControlNode) {
	time.Sleep(down)
	for _, node := range nodes {
		node.mustStart()
	}
}

// killAllControl kills all control processes at once and starts them again.
func (cl *Cluster) killAllControl() {
	for _, node := range cl.Controls {
		node.Kill()
	}
	startAfter(departureDowntime, cl.Controls...)
}

// departureFaults are the faults that an acknowledged departure must survive. Each function returns when the fault is over.
var departureFaults = map[string]func(cluster *Cluster, node *ControlNode){
	"none": func(*Cluster, *ControlNode) {},
	"killed": func(_ *Cluster, node *ControlNode) {
		node.Kill()
		startAfter(departureDowntime, node)
	},
	"killed for 5 min": func(_ *Cluster, node *ControlNode) {
		node.Kill()
		startAfter(5*time.Minute, node)
	},
	"SIGTERM": func(_ *Cluster, node *ControlNode) {
		node.Shutdown()
		startAfter(departureDowntime, node)
	},
	"disk lost": func(_ *Cluster, node *ControlNode) {
		node.Kill()
		node.Disk.Wipe()
		startAfter(departureDowntime, node)
	},
	"replaced": func(_ *Cluster, node *ControlNode) {
		node.Replace()
		node.mustStart()
		time.Sleep(10 * time.Second)
	},
	"release":            func(cluster *Cluster, _ *ControlNode) { cluster.restartEach() },
	"all killed at once": func(cluster *Cluster, _ *ControlNode) { cluster.killAllControl() },
	"power lost at once": func(cluster *Cluster, _ *ControlNode) {
		for i, node := range cluster.Controls {
			node.Kill()
			node.Disk.PowerLoss(i%2 == 0)
		}
		startAfter(departureDowntime, cluster.Controls...)
	},
	"all processes killed at once": func(cluster *Cluster, _ *ControlNode) {
		for _, px := range cluster.Proxies {
			px.Kill()
		}
		cluster.killAllControl()
		for _, px := range cluster.Proxies {
			if err := px.Start(); err != nil {
				cluster.violation("failed to start a proxy: %v", err)
			}
		}
	},
	"partitioned": func(cluster *Cluster, node *ControlNode) {
		cluster.setPartition(node, true)
		time.Sleep(8 * time.Second)
		cluster.setPartition(node, false)
	},
	"frozen for 70 s": func(cluster *Cluster, node *ControlNode) {
		cluster.Network.Freeze(node.Settings.IP, true)
		time.Sleep(70 * time.Second)
		cluster.Network.Freeze(node.Settings.IP, false)
	},
	"a minute":   func(*Cluster, *ControlNode) { time.Sleep(61 * time.Second) },
	"15 minutes": func(*Cluster, *ControlNode) { time.Sleep(15 * time.Minute) },
}

// Guards against a departed host being used again: a heartbeat of before its acknowledged departure arrives at a control process that
// has lost its memory, or after the time for which departed hosts are kept in memory.
func TestDepartureOutlivesFaults(t *testing.T) {
	for _, call := range []string{"instances.leave", "instances.heartbeat"} {
		for name, fault := range departureFaults {
			t.Run(call+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					layout := smallLayout
					layout.Zones = 3
					cluster := startCluster(c, layout)
					time.Sleep(4 * time.Second)
					at := 1
					late := cluster.depart(c, at, cluster.Hosts[len(cluster.Hosts)/2], call)
					time.Sleep(100 * time.Millisecond)
					fault(cluster, cluster.Controls[at])
					time.Sleep(5 * time.Second)
					cluster.checkNotUsable(c, at, late, len(cluster.Hosts)-1)
				})
			})
		}
	}
}

// Guards against a departure being forgotten by a restore: the snapshot is older than the departure, and all control processes restart
// before the late heartbeat arrives.
func TestDepartureOutlivesRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones = 3
		cluster := startCluster(c, layout)
		time.Sleep(4 * time.Second)
		http := cluster.httpClient(cluster.Network.Process("10.200.0.33"), 2*time.Second)
		defer http.CloseIdleConnections()
		operator := client.Client{Addresses: []string{cluster.controlAddress(0)}, HTTP: http, Timeout: 10 * time.Second}
		file := filepath.Join(t.TempDir(), "snapshot")
		_, err := operator.DownloadSnapshot(t.Context(), file)
		c.Assert(err, qt.IsNil)
		late := cluster.depart(c, 0, cluster.Hosts[0], "instances.leave")
		_, err = operator.RestoreSnapshot(t.Context(), file)
		c.Assert(err, qt.IsNil)
		cluster.killAllControl()
		time.Sleep(5 * time.Second)
		cluster.checkNotUsable(c, 0, late, len(cluster.Hosts)-1)
	})
}
